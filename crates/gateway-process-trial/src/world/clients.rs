//! What clients do.

use crate::client::{Lost, Reply};
use crate::ledger::{Seen, SOCKETS};
use crate::world::state::OpenRequest;
use crate::world::World;
use bytes::Bytes;
use gateway_decisions::Time;
use gateway_simulation::customer::ClientRequest;
use gateway_simulation::report::{add, count};
use gateway_simulation::scenario::Runs;
use gateway_simulation::units::{ns, ANSWER_SLACK_NS, MS, SECOND, START_NS};
use http_body_util::Full;
use hyper::{Method, Request};
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// A request that a client has sent, once the answer is there or will not be.
struct Exchange {
    id: u64,
    asked: ClientRequest,
    at: Time,
    second: Option<usize>,
    counted: bool,
    /// Whether it was within the quota when it came to a server; it did not if it would still be the first.
    within: bool,
    first: bool,
}

impl World {
    /// Requests of a plan's customers, at random times, until it is dropped.
    pub async fn arrivals(self: Rc<Self>, plan: usize) {
        let p = &self.scenario.plans[plan];
        let mut at = self.clock.at(START_NS);
        loop {
            let rate = f64::from(p.customers) * p.demand * self.flood.get();
            if rate <= 0.0 {
                sleep(Duration::from_millis(50)).await;
                at = Instant::now();
                continue;
            }
            let gap: f64 = -(1.0 - self.rng.borrow_mut().random::<f64>()).ln() / rate;
            at += Duration::from_secs_f64(gap);
            sleep_until(at).await;
            let (customer, class) = {
                let mut rng = self.rng.borrow_mut();
                (rng.random_range(0..p.customers), self.scenario.class(rng.random()))
            };
            spawn_local(self.clone().ask(ClientRequest { plan, class, customer, repeats: 0 }));
        }
    }

    /// A gateway of the customer's, as the front deals requests out: among those that it has taken in.
    pub(super) fn gateway(&self, customer: u32, spread: u32) -> Option<usize> {
        let (first, count) = (self.scenario.first_gateway(customer), self.gateways.len());
        let own = (0..spread as usize).map(|n| (first + n) % count);
        let mut up: Vec<usize> = own.filter(|n| self.gateways[*n].taken_in.get()).collect();
        if up.is_empty() {
            up = (0..count).filter(|n| self.gateways[*n].taken_in.get()).collect();
        }
        let draw = self.rng.borrow_mut().random::<f64>();
        up.get((draw * up.len() as f64) as usize).copied()
    }

    /// One request, and what its client does after it.
    pub(super) async fn ask(self: Rc<Self>, asked: ClientRequest) {
        let mut asked = asked;
        while let Some(advice) = self.once(asked).await {
            let again = self.scenario.clients.retry_delay(asked.repeats, advice, &mut *self.rng.borrow_mut());
            let Some(after) = again else { return };
            sleep(Duration::from_nanos(after)).await;
            asked.repeats += 1;
        }
    }

    /// Asks once: the advice if it was not served.
    async fn once(&self, asked: ClientRequest) -> Option<Time> {
        let (plan, class) = (&self.scenario.plans[asked.plan], &self.scenario.classes[asked.class]);
        let (now, second, id) = (self.clock.now(), self.clock.second(), self.number());
        let counted = self.counts(now);
        self.count_asked(asked, now, second, counted);
        let Some(gateway) = self.gateway(asked.customer, plan.spread) else {
            self.figures.borrow_mut().report.gone += u64::from(counted);
            return Some(0);
        };
        let place = &self.gateways[gateway];
        let (life, deadline) = (place.life.get(), now + ns(class.deadline_ms, MS));
        let (work, leaves) = {
            let mut rng = self.rng.borrow_mut();
            let leaves = rng.random::<f64>() < self.scenario.clients.leaves;
            (class.work(&mut *rng), leaves.then(|| rng.random_range(0..deadline - now)))
        };
        self.note(now, Seen::Asked { id, class: asked.class, gateway });
        if now < place.paused_until.get() {
            self.note(now, Seen::Excused { id });
        }
        let open = OpenRequest { asked, gateway, work, first: true, within: false, counted, ended: false };
        self.open.borrow_mut().insert(id, open);
        let request = self.request(id, asked, deadline - now);
        let wait = deadline + ANSWER_SLACK_NS + SOCKETS - now;
        let limit = Duration::from_nanos(leaves.unwrap_or(wait));
        let reply = match request {
            Ok(request) => timeout(limit, place.idle.send(self.addresses.gateway(gateway), request)).await,
            Err(e) => unreachable!("a request of digits: {e}"),
        };
        let at = self.clock.now();
        // What is still on its way to a server is no invention: it stays known.
        let request = self.open.borrow_mut().get_mut(&id).map(|open| {
            open.ended = true;
            (open.within, open.first)
        });
        let (within, first) = request.unwrap_or_default();
        let exchange = Exchange { id, asked, at: now, second, counted, within, first };
        let advice = match reply {
            Ok(Ok(Reply { status: 200, .. })) => {
                self.served(&exchange, at);
                None
            }
            Ok(Ok(Reply { status, advice })) => {
                self.not_served(&exchange, at, matches!(status, 429 | 503));
                Some(advice.as_nanos() as Time)
            }
            Ok(Err(lost)) => {
                // A gateway that died, or is about to: a client finds out and asks elsewhere.
                if lost == Lost::Unreached || place.life.get() != life || !self.alive(gateway) {
                    self.note(now, Seen::Excused { id });
                }
                self.figures.borrow_mut().report.gone += u64::from(counted);
                Some(0)
            }
            Err(_) => {
                if leaves.is_some() {
                    self.note(at, Seen::Excused { id });
                }
                self.figures.borrow_mut().report.gone += u64::from(counted);
                leaves.is_none().then_some(0)
            }
        };
        self.note(deadline + ANSWER_SLACK_NS + 1, Seen::Due { id });
        advice
    }

    fn count_asked(&self, asked: ClientRequest, now: Time, second: Option<usize>, counted: bool) {
        let (plan, class) = (&self.scenario.plans[asked.plan], &self.scenario.classes[asked.class]);
        let within =
            self.customers.borrow_mut()[asked.plan][asked.customer as usize].is_within_quota(plan, now);
        let mut figures = self.figures.borrow_mut();
        count(&mut figures.report.seconds, second, 0);
        count(&mut figures.report.quota, second, 2);
        if asked.repeats == 0 && within {
            add(&mut figures.report.work, second, 0, class.work_ms);
        }
        if counted {
            figures.report.requests += 1;
            if asked.repeats == 0 && within {
                figures.worth[1] += class.points * plan.worth;
            }
        }
    }

    fn served(&self, exchange: &Exchange, at: Time) {
        let Exchange { id, asked, second, counted, within, .. } = *exchange;
        let (plan, class) = (&self.scenario.plans[asked.plan], &self.scenario.classes[asked.class]);
        let took = at - exchange.at;
        let mut figures = self.figures.borrow_mut();
        let report = &mut figures.report;
        self.note(at, Seen::Answered { id, refused: false });
        let in_time = took <= ns(class.aim_ms, MS);
        if counted {
            (report.on_time, report.late) =
                (report.on_time + u64::from(in_time), report.late + u64::from(!in_time));
            figures.times.push(took as f64 / MS);
            if in_time && within {
                figures.worth[0] += class.points * plan.worth;
            }
        }
        if in_time {
            count(&mut figures.report.seconds, second, 1);
            add(&mut figures.report.work, second, 1, class.work_ms);
        }
    }

    fn not_served(&self, exchange: &Exchange, at: Time, refused: bool) {
        let Exchange { id, asked, second, counted, first, .. } = *exchange;
        let plan = &self.scenario.plans[asked.plan];
        self.note(at, Seen::Answered { id, refused });
        let room = first
            && self.customers.borrow_mut()[asked.plan][asked.customer as usize].has_half_quota(plan, at);
        let report = &mut self.figures.borrow_mut().report;
        if refused && room {
            count(&mut report.quota, second, 3);
        }
        if counted && refused {
            report.refused += 1;
            report.refused_with_room += u64::from(room);
        } else if counted {
            report.failed += 1;
        }
    }

    /// No answer in time is owed for what a gateway has in hand.
    pub fn excuse(&self, gateway: usize) {
        let (open, now) = (self.open.borrow(), self.clock.now());
        for (id, _) in open.iter().filter(|(_, open)| open.gateway == gateway && !open.ended) {
            self.note(now, Seen::Excused { id: *id });
        }
    }

    fn request(
        &self,
        id: u64,
        asked: ClientRequest,
        wait: Time,
    ) -> hyper::http::Result<Request<Full<Bytes>>> {
        let (plan, class) = (&self.scenario.plans[asked.plan], &self.scenario.classes[asked.class]);
        let account = (asked.plan as u64) << 24 | u64::from(asked.customer);
        let first = self.scenario.first_gateway(asked.customer);
        let method = if class.effect == Runs::Safe { Method::GET } else { Method::POST };
        let mut request = Request::builder()
            .method(method)
            .uri("/api")
            .header("host", "origin.svc")
            .header("request-id", format!("{id:016x}"))
            .header("request-class", &class.name)
            .header("plan", &plan.name)
            .header("account", format!("{account:016x}"))
            .header("request-timeout", format!("{:.3}", wait as f64 / SECOND))
            .header("quota-info", format!("units=1,spread={},first={first}", plan.spread));
        if class.effect == Runs::Keyed {
            request = request.header("idempotency-key", format!("{id:032x}"));
        }
        let body = if class.effect == Runs::Safe { Bytes::new() } else { Bytes::from_static(b"an entry\n") };
        request.body(Full::new(body))
    }
}
