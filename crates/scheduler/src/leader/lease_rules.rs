//! Rules for which replies may be sent only under the leader lease.
//!
//! Committed facts are final, so that an accepted submission or an executed cancellation can be reported at
//! any time. All other replies depend on the newest state (a version, a queue, a missing job, a job that will
//! never run). They become wrong once another leader changes that state, and therefore require contact with a
//! majority.

use messages::peer::{ClientReply, Outcome};

use super::interface::ConfigurationReply;

/// Retry delay for the operator while there is no contact with a majority.
const RETRY_WITHOUT_LEASE_MS: u32 = 1_000;

/// Returns whether this outcome may be sent to a client only under the leader lease.
fn client_reply_needs_lease(outcome: Outcome) -> bool {
    match outcome {
        Outcome::ACCEPTED | Outcome::CANCEL_DONE => false,
        Outcome::UNSURE | Outcome::OUTCOME_UNKNOWN | Outcome::NOT_LEADER => false,
        Outcome::STATE | Outcome::COUNT | Outcome::NO_ROUTE | Outcome::NO_SUCH_JOB => true,
        Outcome::INVALID | Outcome::OVERLOADED | Outcome::UNAVAILABLE => true,
    }
}

/// Returns the reply that may be sent to a client. Without the lease, a reply that needs it becomes
/// `NOT_LEADER`, so that the request is sent to the actual leader.
pub fn client_reply_under_lease(reply: ClientReply, has_lease: bool) -> ClientReply {
    if has_lease || !client_reply_needs_lease(reply.outcome) {
        return reply;
    }
    ClientReply { outcome: Outcome::NOT_LEADER, ..ClientReply::default() }
}

impl ConfigurationReply {
    /// Returns the reply that may be sent to the operator. Without the lease, a reply that needs it becomes
    /// `Unavailable`, which reveals nothing about the state.
    pub fn under_lease(self, has_lease: bool) -> ConfigurationReply {
        if has_lease || !self.needs_lease() {
            return self;
        }
        ConfigurationReply::Unavailable { retry_after_ms: RETRY_WITHOUT_LEASE_MS }
    }

    /// Returns whether this reply may be sent to the operator only under the leader lease.
    fn needs_lease(&self) -> bool {
        match self {
            ConfigurationReply::Accepted | ConfigurationReply::Unavailable { .. } => false,
            // Whether a version is too low or not the one to build on depends on the newest configuration.
            ConfigurationReply::Invalid { .. } | ConfigurationReply::Conflict { .. } => true,
            ConfigurationReply::Body { .. } => true,
        }
    }
}
