//! Records why a leader stepped down, so that operators can find the cause of a leader change.

use std::fmt::{self, Display, Formatter};

use crate::leadership::{Leadership, Transfer};
use crate::types::Term;

/// Why a leader became a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepDownReason {
    /// No majority responded in time (CheckQuorum).
    QuorumLost,
    /// A message from another process had a higher term: another process has campaigned.
    HigherTerm {
        /// The higher term.
        term: Term,
    },
    /// Leadership was transferred to another process as requested.
    Transferred,
    /// A leadership transfer timed out after its target had been asked to campaign, or after a proposal had
    /// been dropped during the transfer.
    TransferTimedOut,
}

/// How a process's leadership ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepDown {
    /// Term in which the process was the leader.
    pub term: Term,
    /// Reason for stepping down.
    pub reason: StepDownReason,
    /// Time at which a majority was last heard from, in nanoseconds of the monotonic clock.
    pub quorum_contact_at: u64,
    /// Time at which the last lease expires, in nanoseconds of the monotonic clock; 0 if no lease was held in
    /// this term.
    pub lease_until: u64,
}

impl StepDown {
    /// Records the end of a leadership for this reason. A higher term after a requested transfer counts as
    /// `Transferred`.
    pub(crate) fn of(leadership: &Leadership, reason: StepDownReason, quorum_contact_at: u64) -> StepDown {
        let was_handed_over = leadership.transfer.as_ref().is_some_and(Transfer::is_requested);
        let reason = match reason {
            StepDownReason::HigherTerm { .. } if was_handed_over => StepDownReason::Transferred,
            other => other,
        };
        StepDown {
            term: leadership.term,
            reason,
            quorum_contact_at,
            lease_until: leadership.latest_lease_until(),
        }
    }
}

impl Display for StepDownReason {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            StepDownReason::QuorumLost => formatter.write_str("reason=quorum-lost"),
            StepDownReason::HigherTerm { term } => write!(formatter, "reason=higher-term higher_term={term}"),
            StepDownReason::Transferred => formatter.write_str("reason=transferred"),
            StepDownReason::TransferTimedOut => formatter.write_str("reason=transfer-timed-out"),
        }
    }
}
