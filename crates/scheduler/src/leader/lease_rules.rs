//! Which answers may leave only under the leader's lease.
//!
//! What is committed stays so: an acceptance or a cancelling that was carried out may be told at any time. All else
//! speaks of the newest state (a version, a queue, a job that is not there, a job that will never run) and is wrong
//! once another leader has changed it, so it needs contact with a majority.

use messages::peer::Outcome;

use super::ConfigurationReply;

/// Whether a client may be given this outcome under the leader's lease only.
pub fn client_reply_needs_lease(outcome: Outcome) -> bool {
    match outcome {
        Outcome::ACCEPTED | Outcome::CANCEL_DONE => false,
        Outcome::UNSURE | Outcome::OUTCOME_UNKNOWN | Outcome::NOT_LEADER => false,
        Outcome::STATE | Outcome::COUNT | Outcome::NO_ROUTE | Outcome::NO_SUCH_JOB => true,
        Outcome::INVALID | Outcome::OVERLOADED | Outcome::UNAVAILABLE => true,
    }
}

impl ConfigurationReply {
    /// Whether the operator may be given this answer under the leader's lease only.
    pub fn needs_lease(&self) -> bool {
        match self {
            ConfigurationReply::Accepted | ConfigurationReply::Unavailable { .. } => false,
            // A version is too low, or not the one built on, by the newest configuration.
            ConfigurationReply::Invalid { .. } | ConfigurationReply::Conflict { .. } => true,
            ConfigurationReply::Body { .. } => true,
        }
    }
}
