//! Watermarks for the ends that a worker lists: reported, acknowledged and confirmed.

/// Watermarks over the sequence numbers of a worker's ends.
///
/// A worker lists an end until a lease renewal tells it by `LastSeen` that the end is durable. An end is
/// first reported to the caller. The caller acknowledges it once it is committed. It is confirmed once the
/// worker has answered a call that carried its number, so that the worker has forgotten it. The
/// acknowledged watermark never exceeds the reported one, so that a worker forgets no end that was not
/// stored.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndWatermarks {
    acknowledged: u64,
    reported: u64,
    confirmed: u64,
}

impl EndWatermarks {
    /// Creates the watermarks of a new session. Ends up to `acknowledged` are durable from earlier
    /// sessions, but the worker may not know this yet.
    pub(super) fn new(acknowledged: u64) -> Self {
        EndWatermarks { acknowledged, reported: acknowledged, confirmed: 0 }
    }

    /// Sequence number up to which ends are durable.
    pub(super) fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Sequence number up to which ends were reported to the caller.
    pub(super) fn reported(&self) -> u64 {
        self.reported
    }

    /// Records an end as reported.
    pub(super) fn report(&mut self, sequence: u64) {
        self.reported = sequence;
    }

    /// Records that ends up to `sequence` are durable; true if some of them were not before.
    pub(super) fn acknowledge(&mut self, sequence: u64) -> bool {
        let reached = sequence.min(self.reported);
        let advances = reached > self.acknowledged;
        self.acknowledged = self.acknowledged.max(reached);
        advances
    }

    /// Records that the worker has certainly received the notice that ends up to `last_seen` are durable.
    pub(super) fn confirm(&mut self, last_seen: u64) {
        self.confirmed = self.confirmed.max(last_seen);
    }

    /// Whether some reported ends are not acknowledged yet.
    pub(super) fn has_unacknowledged(&self) -> bool {
        self.acknowledged < self.reported
    }

    /// Whether the worker has certainly received the notice that all reported ends are durable.
    pub(super) fn all_confirmed(&self) -> bool {
        self.confirmed >= self.reported
    }
}
