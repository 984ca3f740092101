//! Settings of one process of the group.

use crate::error::OptionsError;
use crate::types::NodeId;

const MILLISECOND: u64 = 1_000_000;
/// The least margin is the vote pause divided by this: the leader's clock may run 2% slow, and a voter's 2% fast.
const CLOCK_RATE_DIVISOR: u64 = 25;

/// Settings of one process. Times are nanoseconds of the steady clock.
#[derive(Clone, Debug)]
pub struct Options {
    /// Identity of this process.
    pub id: NodeId,
    /// Time between two heartbeats of a leader.
    pub heartbeat: u64,
    /// Least election timeout; each is drawn from it up to twice it. The same on all processes.
    pub election_timeout: u64,
    /// How long a process gives no vote after it heard a leader, and after its own start. A lease is shorter by the
    /// margin. The same on all processes.
    pub vote_pause: u64,
    /// Time between two attempts of a restarted process to be elected by all voters.
    pub unanimity_step: u64,
    /// Time between two voters that stand for election after the leader's process has ended.
    pub succession_step: u64,
    /// What the lease is shorter than the pause of votes, for clocks that run at different rates.
    pub lease_margin: u64,
    /// Voters the group wants. Learners are promoted up to it, silent voters beyond it removed.
    pub target_voters: usize,
    /// Bytes of entries in one message, except that one entry always fits.
    pub max_entries_bytes: usize,
    /// Bytes of entries under way to one follower, except that one message always fits.
    pub max_inflight_bytes: usize,
    /// Messages with entries under way to one follower. What comes meanwhile goes out as one batch.
    pub max_inflight_messages: usize,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Entries kept behind a snapshot, so that a follower a little behind needs no snapshot.
    pub kept_entries: u64,
    /// Bytes of entries kept behind a snapshot: large entries must not fill the memory.
    pub kept_bytes: usize,
    /// Bytes of entries kept for followers that are behind but answer, or are receiving an older snapshot: else they
    /// would be sent one snapshot after the other.
    pub kept_bytes_for_followers: usize,
    /// Entries that a learner may lack when it is promoted.
    pub promotion_gap: u64,
    /// Silence after which a voter may be replaced.
    pub voter_silence: u64,
    /// Silence after which a learner is dropped.
    pub learner_silence: u64,
    /// Time without a finished write after which a leader hands leadership over.
    pub disk_stall: u64,
}

impl Options {
    /// The usual settings for this identity in a group of three voters.
    pub fn new(id: NodeId) -> Options {
        Options {
            id,
            heartbeat: 50 * MILLISECOND,
            election_timeout: 300 * MILLISECOND,
            vote_pause: 150 * MILLISECOND,
            unanimity_step: 40 * MILLISECOND,
            succession_step: 60 * MILLISECOND,
            lease_margin: 9 * MILLISECOND,
            target_voters: 3,
            max_entries_bytes: 256 * 1024,
            max_inflight_bytes: 1024 * 1024,
            max_inflight_messages: 4,
            snapshot_chunk_bytes: 64 * 1024,
            kept_entries: 1024,
            kept_bytes: 2 * 1024 * 1024,
            kept_bytes_for_followers: 16 * 1024 * 1024,
            promotion_gap: 64,
            voter_silence: 2_000 * MILLISECOND,
            learner_silence: 5_000 * MILLISECOND,
            disk_stall: 1_000 * MILLISECOND,
        }
    }

    /// Whether the settings can work together.
    pub fn check(&self) -> Result<(), OptionsError> {
        let election_timeout = self.election_timeout;
        if self.heartbeat.saturating_mul(3) > election_timeout {
            return Err(OptionsError::Heartbeat(self.heartbeat, election_timeout));
        }
        if self.vote_pause > election_timeout || self.heartbeat.saturating_mul(2) > self.vote_pause {
            return Err(OptionsError::VotePause(self.vote_pause, self.heartbeat, election_timeout));
        }
        let least_margin = self.vote_pause / CLOCK_RATE_DIVISOR;
        if self.lease_margin >= self.vote_pause || self.lease_margin < least_margin {
            return Err(OptionsError::LeaseMargin(self.lease_margin, self.vote_pause));
        }
        let positive = [
            ("heartbeat", self.heartbeat),
            ("unanimity_step", self.unanimity_step),
            ("target_voters", self.target_voters as u64),
            ("max_inflight_messages", self.max_inflight_messages as u64),
            ("snapshot_chunk_bytes", self.snapshot_chunk_bytes as u64),
        ];
        match positive.iter().find(|(_, value)| *value == 0) {
            Some((name, _)) => Err(OptionsError::Zero(name)),
            None => Ok(()),
        }
    }

    /// How long a lease lasts from the sending of the round that a majority answered.
    pub(crate) fn lease(&self) -> u64 {
        self.vote_pause.saturating_sub(self.lease_margin)
    }
}
