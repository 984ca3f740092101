//! Sending an attempt: its timeout, and what it takes from each budget.

use crate::decide::gateway::{Gateway, ATTEMPTS, UNITS};
use crate::interface::{Action, Charge, Effect, Name, RequestId, Time};
use crate::state::{nanos, InFlightAttempt};

/// A server counts as hung after this many mean answer times, scaled by the size of the request.
const HANG_ANSWER_TIMES: u64 = 4;
/// Minimum timeout of an attempt, in tenths of the time left until the latency target.
const MIN_TIMEOUT_TENTHS: u64 = 6;

impl Gateway {
    /// Sends an attempt of a request to a server and charges it to every budget.
    pub(super) fn send(&mut self, id: RequestId, server: Name, out: &mut Vec<Action>) {
        let memory_seconds = self.memory_seconds();
        self.charge_handshake(&server);
        let attempt_deadline = self.time_limit(id);
        self.count_at_server(&server);
        let request = self.pending.get_mut(&id).expect("picked from the pending requests");
        let first = request.attempts == 0;
        let attempt = request.attempts;
        request.in_flight =
            Some(InFlightAttempt { server: server.clone(), sent_at: self.now, attempt, cancelled: false });
        request.attempts += 1;
        let (units, customer) = (request.units, request.customer.clone());
        let new_units = if first { units } else { 0.0 };
        if let Some(customer) = self.customers.get_mut(&customer) {
            customer.in_flight += 1;
            customer.ceiling_level -= new_units;
        }
        if first {
            self.retry_budget.earn(self.shedding.open_share, memory_seconds);
        }
        self.retry_budget.count_sent(self.now, memory_seconds);
        self.sub_schedulers[ATTEMPTS].in_flight += 1.0;
        self.sub_schedulers[UNITS].in_flight += units;
        self.record_charge_for_peer(Charge::Sent { customer, units: new_units });
        self.record_in_flight_for_peer(&server);
        out.push(Action::Send { id, server, attempt_deadline });
    }

    /// The deadline of an attempt that is sent now. Not in the paper: a request that can be retried leaves a
    /// server that hangs while the latency target can still be met. A large request takes long on any server,
    /// and a restart would waste the work done, so its timeout grows with its size.
    fn time_limit(&self, id: RequestId) -> Time {
        let request = &self.pending[&id];
        let class = &self.settings.classes[request.class];
        let target_end = request.arrived + class.latency_target;
        let size = (request.units / self.mean_units.max(1e-9)).max(1.0);
        let usual = nanos(self.mean_answer_seconds[request.class] * size);
        let wait_limit =
            (HANG_ANSWER_TIMES * usual).max(target_end.saturating_sub(self.now) * MIN_TIMEOUT_TENTHS / 10);
        let may_retry = class.effect != Effect::Unsafe
            && request.attempts + 1 < self.settings.try_limit
            && self.retry_budget.covers_retry();
        let may_leave = may_retry && !class.stream && !request.relayed;
        if may_leave && self.now + wait_limit + usual < target_end {
            (self.now + wait_limit).min(request.deadline)
        } else {
            request.deadline
        }
    }

    /// Counts an attempt as in flight at a server.
    fn count_at_server(&mut self, server: &Name) {
        let server = self.servers.get_mut(server).expect("chosen from the servers");
        if server.in_flight == 0 {
            server.last_heard = self.now;
        }
        server.in_flight += 1;
        server.open_connections = server.open_connections.max(server.in_flight);
    }
}
