//! How a leadership ended: operators find the cause of a change of leaders here.

use std::fmt::{self, Display, Formatter};

use crate::leadership::{Leadership, Transfer};
use crate::types::Term;

/// Why a leader became a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepDownReason {
    /// No majority responded in time (check of quorum).
    QuorumLost,
    /// A member has a higher term: another process campaigned.
    HigherTerm {
        /// That term.
        term: Term,
    },
    /// Leadership was handed over on purpose.
    Transferred,
    /// A transfer of leadership timed out after its target had been asked to campaign.
    TransferTimedOut,
}

/// How a leadership ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepDown {
    /// The term that was led.
    pub term: Term,
    /// Why it ended.
    pub reason: StepDownReason,
    /// When a majority was last heard from, in nanoseconds of the steady clock.
    pub quorum_contact_at: u64,
    /// When the last lease expires, in nanoseconds of the steady clock; 0: there was none.
    pub lease_until: u64,
}

impl StepDown {
    /// The end of a leadership for this reason.
    pub(crate) fn of(leadership: &Leadership, reason: StepDownReason, quorum_contact_at: u64) -> StepDown {
        let was_handed_over = leadership.transfer.as_ref().is_some_and(Transfer::is_requested);
        let reason = match reason {
            StepDownReason::HigherTerm { .. } if was_handed_over => StepDownReason::Transferred,
            other => other,
        };
        StepDown { term: leadership.term, reason, quorum_contact_at, lease_until: leadership.granted_until() }
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
