//! Which answers may leave only under the leader's lease.
//!
//! What is committed stays so: an acceptance or a cancelling that was carried out may be told at any time. All else
//! speaks of the newest state (a version, a queue, a job that is not there, a job that will never run) and is wrong
//! once another leader has changed it, so it needs contact with a majority.

use messages::peer::{ClientReply, Outcome};

use super::ConfigurationReply;

/// When the operator may ask again where contact with a majority is missing, in milliseconds.
const RETRY_WITHOUT_LEASE_MS: u32 = 1_000;

/// Whether a client may be given this outcome under the leader's lease only.
fn client_reply_needs_lease(outcome: Outcome) -> bool {
    match outcome {
        Outcome::ACCEPTED | Outcome::CANCEL_DONE => false,
        Outcome::UNSURE | Outcome::OUTCOME_UNKNOWN | Outcome::NOT_LEADER => false,
        Outcome::STATE | Outcome::COUNT | Outcome::NO_ROUTE | Outcome::NO_SUCH_JOB => true,
        Outcome::INVALID | Outcome::OVERLOADED | Outcome::UNAVAILABLE => true,
    }
}

/// An answer to a client as it may leave: without the lease, one that needs it says that this process does not lead, so
/// that the request goes to the one that does.
pub fn client_reply_under_lease(reply: ClientReply, has_lease: bool) -> ClientReply {
    if has_lease || !client_reply_needs_lease(reply.outcome) {
        return reply;
    }
    ClientReply { outcome: Outcome::NOT_LEADER, ..ClientReply::default() }
}

impl ConfigurationReply {
    /// The answer as it may leave: without the lease, one that needs it says nothing of the state.
    pub fn under_lease(self, has_lease: bool) -> ConfigurationReply {
        if has_lease || !self.needs_lease() {
            return self;
        }
        ConfigurationReply::Unavailable { retry_after_ms: RETRY_WITHOUT_LEASE_MS }
    }

    /// Whether the operator may be given this answer under the leader's lease only.
    fn needs_lease(&self) -> bool {
        match self {
            ConfigurationReply::Accepted | ConfigurationReply::Unavailable { .. } => false,
            // A version is too low, or not the one built on, by the newest configuration.
            ConfigurationReply::Invalid { .. } | ConfigurationReply::Conflict { .. } => true,
            ConfigurationReply::Body { .. } => true,
        }
    }
}
