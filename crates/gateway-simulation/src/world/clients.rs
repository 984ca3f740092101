//! Clients: arrivals of their requests, retries, and clients that leave before an answer.

use crate::customer::ClientRequest;
use crate::report;
use crate::units::{ns, ANSWER_SLACK_NS, MS, SECOND, START_NS};
use crate::world::state::{OpenRequest, ScheduledEvent};
use crate::world::World;
use gateway_decisions::{Event, Request, Time};
use rand::Rng;
use rand_distr::{Distribution, Exp1};

impl World<'_> {
    /// Schedules the next Poisson arrival of a plan's customers; none while their demand is 0.
    pub(super) fn schedule_arrival(&mut self, plan: usize) {
        let p = &self.scenario.plans[plan];
        let rate = f64::from(p.customers) * p.demand * self.demand_factor;
        if rate > 0.0 {
            let gap: f64 = Exp1.sample(&mut self.rng);
            self.schedule(self.now + ns(gap / rate, SECOND).max(1), ScheduledEvent::Arrival { plan });
        }
    }

    /// Delivers a client's request to one of its customer's gateways.
    pub(super) fn receive_request(&mut self, client_request: ClientRequest) {
        let plan = &self.scenario.plans[client_request.plan];
        let count = self.gateways.len();
        // A customer's requests come through `spread` consecutive gateways.
        let first = self.scenario.first_gateway(client_request.customer);
        let gateway = (first + self.rng.random_range(0..plan.spread as usize)) % count;
        let counted = self.now >= self.counted_from;
        let class = &self.scenario.classes[client_request.class];
        let value = class.points * plan.worth;
        let spread = plan.spread;
        if counted {
            self.report.requests += 1;
            let second = ((self.now - START_NS) / 1_000_000_000) as usize;
            self.report.seconds[second][0] += 1;
        }
        let customer = &mut self.customers[client_request.plan][client_request.customer as usize];
        let within = customer.is_within_quota(plan, self.now);
        let second = self.second();
        report::count(&mut self.report.quota, second, 2);
        if client_request.repeats == 0 && within {
            report::add(&mut self.report.work, second, 0, class.work_ms);
        }
        if counted && client_request.repeats == 0 && within {
            self.value[1] += value;
        }
        if !self.gateways[gateway].up {
            // The load balancer in front of the gateways notices, and the client retries at another gateway.
            self.report.gone += u64::from(counted);
            self.schedule_client_retry(client_request, 0);
            return;
        }
        let id = self.next_id;
        self.next_id += 1;
        let deadline = self.now + ns(class.deadline_ms, MS);
        self.oracle.request_received(id, client_request.class, deadline, gateway, self.now);
        let (arrived_at, within_quota, in_flight) = (self.now, None, None);
        let open_request = OpenRequest {
            client_request,
            gateway,
            arrived_at,
            deadline,
            ended: false,
            in_flight,
            attempts: 0,
            within_quota,
            counted,
        };
        self.requests.insert(id, open_request);
        if self.now < self.gateways[gateway].paused_until {
            self.oracle.waive_deadline(id);
        }
        let name = format!("{}/{}", client_request.plan, client_request.customer);
        let request = Request {
            spread,
            ..Request::new(id, client_request.class, client_request.plan, &name, deadline, 1.0)
        };
        let incarnation = self.gateways[gateway].incarnation;
        self.push_event(gateway, incarnation, Event::Request(request));
        self.schedule(deadline + ANSWER_SLACK_NS + 1, ScheduledEvent::RequestTimeOver { request: id });
        if self.scenario.clients.leaves > 0.0 && self.rng.random::<f64>() < self.scenario.clients.leaves {
            let after = self.rng.random_range(0..deadline - self.now);
            self.schedule(self.now + after, ScheduledEvent::ClientLeaves { request: id });
        }
    }

    /// Schedules a client's next retry, unless it has used all its retries. `advice` is the advised delay in
    /// nanoseconds, 0 if none was given.
    pub(super) fn schedule_client_retry(&mut self, client_request: ClientRequest, advice: Time) {
        if let Some(delay) = self.scenario.clients.retry_delay(client_request.repeats, advice, &mut self.rng)
        {
            let client_request = ClientRequest { repeats: client_request.repeats + 1, ..client_request };
            self.schedule(self.now + delay, ScheduledEvent::ClientRetry { client_request });
        }
    }

    /// Ends a request whose client no longer waits for the answer.
    pub(super) fn client_leaves(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.ended) else { return };
        request.ended = true;
        let (gateway, counted) = (request.gateway, request.counted);
        self.report.gone += u64::from(counted);
        self.oracle.request_abandoned(id);
        let incarnation = self.gateways[gateway].incarnation;
        self.push_event(gateway, incarnation, Event::ClientGone { id });
    }
}
