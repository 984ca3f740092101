//! Settings of one process of the group.

use std::time::Duration;

use crate::error::OptionsError;
use crate::types::NodeId;

/// The smallest permitted lease margin is the leader stickiness divided by this number. It allows for a
/// leader's clock that runs 2% slow and a voter's clock that runs 2% fast.
const CLOCK_RATE_DIVISOR: u32 = 25;

/// Settings of one process. Durations are measured on its monotonic clock.
#[derive(Clone, Debug)]
pub struct Options {
    /// Identity of this process.
    pub id: NodeId,
    /// Interval between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Minimum election timeout. Each election timeout is drawn at random between this value and twice this
    /// value. Must be the same on all processes.
    pub election_timeout: Duration,
    /// How long a process rejects vote requests after it last heard from a leader, and after its own restart.
    /// A lease is shorter than this by `lease_margin`. Must be the same on all processes.
    pub leader_stickiness: Duration,
    /// Interval between two unanimous elections that a restarted process starts.
    pub unanimous_election_interval: Duration,
    /// Delay between the campaigns of successive voters after the leader's process has exited.
    pub campaign_stagger: Duration,
    /// How much shorter a lease is than `leader_stickiness`, to allow for clocks that run at different rates.
    pub lease_margin: Duration,
    /// Target number of voters. A majority of them must survive the loss of as many disks as may be lost at
    /// one time. Learners are promoted until the group has this many voters, and surplus unresponsive voters
    /// are removed. A new group accepts no command before it has this many confirmed voters.
    pub target_voters: usize,
    /// Maximum size of the entries in one message, in bytes. A single entry is sent even if it is larger.
    pub max_entries_bytes: usize,
    /// Maximum size of the entries in flight to one follower, in bytes. One message may be in flight even if
    /// it is larger.
    pub max_inflight_bytes: usize,
    /// Maximum number of messages with entries in flight to one follower. Commands proposed while this limit
    /// is reached are sent later as one batch.
    pub max_inflight_messages: usize,
    /// Maximum size of the snapshot data in one message, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Number of entries before a snapshot's index that stay in the log, so that a follower that is slightly
    /// behind needs no snapshot.
    pub retained_entries: u64,
    /// Maximum size of the entries retained before a snapshot's index, in bytes, so that large entries do not
    /// fill the memory.
    pub retained_bytes: usize,
    /// Maximum size of the entries retained for followers that respond but are behind, or that are receiving
    /// an older snapshot, in bytes. Without these entries, such a follower would need another snapshot after
    /// each one.
    pub retained_bytes_for_followers: usize,
    /// Maximum number of entries that a learner may lack when it is promoted to voter.
    pub promotion_gap: u64,
    /// A voter that has not responded for this long may be replaced.
    pub replacement_timeout: Duration,
    /// A learner that has not responded for this long is removed.
    pub learner_timeout: Duration,
    /// Age of the oldest pending write from which on the disk counts as stalled. A leader then transfers
    /// leadership, and the process does not campaign.
    pub disk_stall_timeout: Duration,
}

impl Options {
    /// Default settings for this identity in a group of three voters.
    pub fn new(id: NodeId) -> Options {
        Options {
            id,
            heartbeat_interval: Duration::from_millis(50),
            election_timeout: Duration::from_millis(300),
            leader_stickiness: Duration::from_millis(150),
            unanimous_election_interval: Duration::from_millis(40),
            campaign_stagger: Duration::from_millis(60),
            lease_margin: Duration::from_millis(9),
            target_voters: 3,
            max_entries_bytes: 256 * 1024,
            max_inflight_bytes: 1024 * 1024,
            max_inflight_messages: 4,
            snapshot_chunk_bytes: 64 * 1024,
            retained_entries: 1024,
            retained_bytes: 2 * 1024 * 1024,
            retained_bytes_for_followers: 16 * 1024 * 1024,
            promotion_gap: 64,
            replacement_timeout: Duration::from_millis(2_000),
            learner_timeout: Duration::from_millis(5_000),
            disk_stall_timeout: Duration::from_millis(1_000),
        }
    }

    /// Checks that the settings are consistent.
    ///
    /// # Errors
    ///
    /// Returns the first violated rule.
    pub fn check(&self) -> Result<(), OptionsError> {
        let (heartbeat, election_timeout) = (self.heartbeat_interval, self.election_timeout);
        let (stickiness, margin) = (self.leader_stickiness, self.lease_margin);
        if heartbeat.saturating_mul(3) > election_timeout {
            return Err(OptionsError::Heartbeat(heartbeat, election_timeout));
        }
        if stickiness > election_timeout || heartbeat.saturating_mul(2) > stickiness {
            return Err(OptionsError::LeaderStickiness(stickiness, heartbeat, election_timeout));
        }
        let least_margin = stickiness / CLOCK_RATE_DIVISOR;
        if margin >= stickiness || margin < least_margin {
            return Err(OptionsError::LeaseMargin(margin, stickiness));
        }
        let zeros = [
            ("heartbeat_interval", heartbeat.is_zero()),
            ("unanimous_election_interval", self.unanimous_election_interval.is_zero()),
            ("target_voters", self.target_voters == 0),
            ("max_inflight_messages", self.max_inflight_messages == 0),
            ("snapshot_chunk_bytes", self.snapshot_chunk_bytes == 0),
        ];
        match zeros.iter().find(|(_, is_zero)| *is_zero) {
            Some((name, _)) => Err(OptionsError::Zero(name)),
            None => Ok(()),
        }
    }

    /// Duration of a lease, counted from the time at which the leader sent the messages that a majority
    /// acknowledged.
    pub(crate) fn lease(&self) -> Duration {
        self.leader_stickiness.saturating_sub(self.lease_margin)
    }
}
