//! Retries: which attempts may be followed by another.

use crate::decide::gateway::Gateway;
use crate::interface::{Effect, RequestId};

/// Whether a retry is charged to the retry budget.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RetryCost {
    /// The attempt cost the server nothing.
    Free,
    /// The attempt may have run, or a full server rejected it. A retry adds load to the other servers.
    Charged,
}

impl Gateway {
    /// Whether a request whose attempt ended without an answer for the client may be sent again.
    fn may_retry(&self, id: RequestId, cost: RetryCost) -> bool {
        let request = &self.pending[&id];
        let class = &self.settings.classes[request.class];
        let repeatable = match (request.first_run, class.effect) {
            (None, _) | (Some(_), Effect::Safe) => true,
            (Some(first), Effect::Keyed) => self.now + self.settings.tick < first.sent_at + class.key_ttl,
            (Some(_), Effect::Unsafe) => false,
        };
        repeatable
            && request.attempts < self.settings.try_limit
            && self.now < request.latest_send
            && (cost == RetryCost::Free || self.retry_budget.covers_retry())
    }

    /// Puts a request at the head of its queue for another attempt, if that is allowed. Returns whether it
    /// is.
    pub(super) fn retry(&mut self, id: RequestId, cost: RetryCost) -> bool {
        if !self.may_retry(id, cost) {
            return false;
        }
        if cost == RetryCost::Charged {
            self.retry_budget.charge();
        }
        let request = &self.pending[&id];
        let (resource, plan) = (self.dominant_resource(request.units), request.plan);
        self.sub_schedulers[resource].queues[plan].push_front(id);
        true
    }
}
