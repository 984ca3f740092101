//! The attempt that goes to a server: its time limit, and what it takes of every budget.

use crate::decide::gateway::{Gateway, ATTEMPTS, UNITS};
use crate::interface::{Action, Charge, Effect, Name, RequestId, Time};
use crate::state::{nanos, InFlightAttempt};

/// Usual times of a request after which its server is taken to hang.
const HANG_TIMES: u64 = 4;
/// Tenths of the time left to the latency target that an attempt may take in any case.
const WAIT_TENTHS: u64 = 6;

impl Gateway {
    /// Sends an attempt of a request to a server, and charges every budget that it takes from.
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
        self.charge_peer(Charge::Sent { customer, units: new_units });
        self.note_in_flight_at(&server);
        out.push(Action::Send { id, server, attempt_deadline });
    }

    /// Until when an attempt sent now may take. Beyond the paper: a repeatable request leaves a server that
    /// hangs while the latency target is in reach. A large one takes long anywhere: to begin it anew wastes
    /// its work.
    fn time_limit(&self, id: RequestId) -> Time {
        let request = &self.pending[&id];
        let class = &self.settings.classes[request.class];
        let target_end = request.arrived + class.latency_target;
        let size = (request.units / self.mean_units.max(1e-9)).max(1.0);
        let usual = nanos(self.usual_seconds[request.class] * size);
        let wait_limit = (HANG_TIMES * usual).max(target_end.saturating_sub(self.now) * WAIT_TENTHS / 10);
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

    /// Counts an attempt among those in flight at a server.
    fn count_at_server(&mut self, server: &Name) {
        let server = self.servers.get_mut(server).expect("chosen from the servers");
        if server.in_flight == 0 {
            server.last_heard = self.now;
        }
        server.in_flight += 1;
        server.open_connections = server.open_connections.max(server.in_flight);
    }
}
