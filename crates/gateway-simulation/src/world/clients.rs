//! Clients: when they ask, ask again and leave.

use crate::customer::ClientRequest;
use crate::report;
use crate::units::{ns, ANSWER_SLACK_NS, MS, SECOND, START_NS};
use crate::world::state::{Due, HeldRequest};
use crate::world::World;
use gateway_decisions::{Event, Request, Time};
use rand::Rng;
use rand_distr::{Distribution, Exp1};

impl World<'_> {
    pub(super) fn plan_arrival(&mut self, plan: usize) {
        let p = &self.scenario.plans[plan];
        let rate = f64::from(p.customers) * p.demand * self.flood;
        if rate > 0.0 {
            let gap: f64 = Exp1.sample(&mut self.rng);
            self.plan(self.now + ns(gap / rate, SECOND).max(1), Due::Arrival { plan });
        }
    }

    pub(super) fn ask(&mut self, asked: ClientRequest) {
        let plan = &self.scenario.plans[asked.plan];
        let count = self.gateways.len();
        // A customer's gateways are so many in a row.
        let first = self.scenario.first_gateway(asked.customer);
        let gateway = (first + self.rng.random_range(0..plan.spread as usize)) % count;
        let counted = self.now >= self.counted_from;
        let class = &self.scenario.classes[asked.class];
        let worth = class.points * plan.worth;
        let spread = plan.spread;
        if counted {
            self.report.requests += 1;
            let second = ((self.now - START_NS) / 1_000_000_000) as usize;
            self.report.seconds[second][0] += 1;
        }
        let customer = &mut self.customers[asked.plan][asked.customer as usize];
        let within = customer.is_within_quota(plan, self.now);
        let second = self.second();
        report::count(&mut self.report.quota, second, 2);
        if asked.repeats == 0 && within {
            report::add(&mut self.report.work, second, 0, class.work_ms);
        }
        if counted && asked.repeats == 0 && within {
            self.worth[1] += worth;
        }
        if !self.gateways[gateway].up {
            // The front finds out, and the client asks again elsewhere.
            self.report.gone += u64::from(counted);
            self.ask_again(asked, 0);
            return;
        }
        let id = self.next;
        self.next += 1;
        let deadline = self.now + ns(class.deadline_ms, MS);
        self.oracle.request_received(id, asked.class, deadline, gateway, self.now);
        let (at, within, out) = (self.now, None, None);
        let held =
            HeldRequest { asked, gateway, at, deadline, ended: false, out, attempts: 0, within, counted };
        self.requests.insert(id, held);
        if self.now < self.gateways[gateway].paused_until {
            self.oracle.waive_deadline(id);
        }
        let name = format!("{}/{}", asked.plan, asked.customer);
        let request = Request { spread, ..Request::new(id, asked.class, asked.plan, &name, deadline, 1.0) };
        let life = self.gateways[gateway].life;
        self.push_event(gateway, life, Event::Request(request));
        self.plan(deadline + ANSWER_SLACK_NS + 1, Due::Over { request: id });
        if self.scenario.clients.leaves > 0.0 && self.rng.random::<f64>() < self.scenario.clients.leaves {
            let after = self.rng.random_range(0..deadline - self.now);
            self.plan(self.now + after, Due::Leave { request: id });
        }
    }

    /// A client that was not served asks again, as often as its kind does.
    pub(super) fn ask_again(&mut self, asked: ClientRequest, advice: Time) {
        if let Some(after) = self.scenario.clients.retry_delay(asked.repeats, advice, &mut self.rng) {
            let asked = ClientRequest { repeats: asked.repeats + 1, ..asked };
            self.plan(self.now + after, Due::Again { asked });
        }
    }

    pub(super) fn client_leaves(&mut self, id: u64) {
        let Some(held) = self.requests.get_mut(&id).filter(|h| !h.ended) else { return };
        held.ended = true;
        let (gateway, counted) = (held.gateway, held.counted);
        self.report.gone += u64::from(counted);
        self.oracle.request_abandoned(id);
        let life = self.gateways[gateway].life;
        self.push_event(gateway, life, Event::ClientGone { id });
    }
}
