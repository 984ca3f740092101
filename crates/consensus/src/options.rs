//! Settings of one process of the group.

use std::time::Duration;

use crate::error::OptionsError;
use crate::types::NodeId;

/// The least lease margin is the leader stickiness divided by this: the leader's clock may run 2% slow, and a voter's
/// 2% fast.
const CLOCK_RATE_DIVISOR: u32 = 25;

/// Settings of one process. Durations are measured on its steady clock.
#[derive(Clone, Debug)]
pub struct Options {
    /// Identity of this process.
    pub id: NodeId,
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Least election timeout; each is drawn from it up to twice it. The same on all processes.
    pub election_timeout: Duration,
    /// How long a process rejects vote requests after it heard from a leader, and after its own start. A lease is
    /// shorter by the margin. The same on all processes.
    pub leader_stickiness: Duration,
    /// Time between two attempts of a restarted process to be elected by all voters.
    pub unanimous_election_interval: Duration,
    /// Time between the campaigns of two voters after the leader's process has ended.
    pub campaign_stagger: Duration,
    /// How much shorter a lease is than the leader stickiness, for clocks that run at different rates.
    pub lease_margin: Duration,
    /// Voters the group wants: a majority of them must outlive the disks that may be lost at one time. Learners are
    /// promoted up to it, unresponsive voters beyond it removed, and no command is taken before they are confirmed.
    pub target_voters: usize,
    /// Bytes of entries in one message, except that one entry always fits.
    pub max_entries_bytes: usize,
    /// Bytes of entries in flight to one follower, except that one message always fits.
    pub max_inflight_bytes: usize,
    /// Messages with entries in flight to one follower. What is proposed meanwhile goes out as one batch.
    pub max_inflight_messages: usize,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Entries retained behind a snapshot, so that a follower a little behind needs no snapshot.
    pub retained_entries: u64,
    /// Bytes of entries retained behind a snapshot: large entries must not fill the memory.
    pub retained_bytes: usize,
    /// Bytes of entries retained for followers that are behind but respond, or are receiving an older snapshot: else
    /// they would be sent one snapshot after the other.
    pub retained_bytes_for_followers: usize,
    /// Entries that a learner may lack when it is promoted.
    pub promotion_gap: u64,
    /// A voter that has not responded for this long may be replaced.
    pub replacement_timeout: Duration,
    /// A learner that has not responded for this long is removed.
    pub learner_timeout: Duration,
    /// Time without a finished write after which a leader transfers leadership.
    pub disk_stall_timeout: Duration,
}

impl Options {
    /// The usual settings for this identity in a group of three voters.
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

    /// Checks that the settings can work together.
    ///
    /// # Errors
    ///
    /// The first rule that they break.
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

    /// How long a lease lasts, counted from the sending of the message that a majority acknowledged.
    pub(crate) fn lease(&self) -> Duration {
        self.leader_stickiness.saturating_sub(self.lease_margin)
    }
}
