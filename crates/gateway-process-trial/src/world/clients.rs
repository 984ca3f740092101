//! The behaviour of clients: request generation, retries and accounting.

use crate::client::{Reply, RequestFailure};
use crate::ledger::{Event, SOCKET_ALLOWANCE_NS};
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

/// A request that has been answered, has failed or timed out.
struct Exchange {
    id: u64,
    asked: ClientRequest,
    at: Time,
    second: Option<usize>,
    counted: bool,
    /// Whether the request was within the quota when its first attempt reached a server; false if
    /// `unattempted`.
    within_quota: bool,
    /// Whether no attempt of the request had reached a server.
    unattempted: bool,
}

impl World {
    /// Sends requests of a plan's customers at random times, until the future is dropped.
    pub async fn generate_requests(self: Rc<Self>, plan: usize) {
        let p = &self.scenario.plans[plan];
        let mut at = self.clock.instant_at(START_NS);
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
            spawn_local(self.clone().run_client(ClientRequest { plan, class, customer, repeats: 0 }));
        }
    }

    /// Picks one of the customer's gateways that are in rotation; any gateway in rotation if none of them is.
    pub(super) fn pick_gateway(&self, customer: u32, spread: u32) -> Option<usize> {
        let (first, count) = (self.scenario.first_gateway(customer), self.gateways.len());
        let own = (0..spread as usize).map(|n| (first + n) % count);
        let mut up: Vec<usize> = own.filter(|n| self.gateways[*n].in_rotation.get()).collect();
        if up.is_empty() {
            up = (0..count).filter(|n| self.gateways[*n].in_rotation.get()).collect();
        }
        let draw = self.rng.borrow_mut().random::<f64>();
        up.get((draw * up.len() as f64) as usize).copied()
    }

    /// Sends a request, and repeats it as the scenario's clients do.
    pub(super) async fn run_client(self: Rc<Self>, asked: ClientRequest) {
        let mut asked = asked;
        while let Some(retry_after) = self.send_once(asked).await {
            let again =
                self.scenario.clients.retry_delay(asked.repeats, retry_after, &mut *self.rng.borrow_mut());
            let Some(after) = again else { return };
            sleep(Duration::from_nanos(after)).await;
            asked.repeats += 1;
        }
    }

    /// Sends a request once. Returns the time to wait before a retry if it was not served.
    async fn send_once(&self, asked: ClientRequest) -> Option<Time> {
        let (plan, class) = (&self.scenario.plans[asked.plan], &self.scenario.classes[asked.class]);
        let (now, second, id) = (self.clock.now(), self.clock.second(), self.next_id());
        let counted = self.is_counted(now);
        self.count_asked(asked, now, second, counted);
        let Some(gateway) = self.pick_gateway(asked.customer, plan.spread) else {
            self.figures.borrow_mut().report.gone += u64::from(counted);
            return Some(0);
        };
        let process = &self.gateways[gateway];
        let (incarnation, deadline) = (process.incarnation.get(), now + ns(class.deadline_ms, MS));
        let (work, leaves) = {
            let mut rng = self.rng.borrow_mut();
            let leaves = rng.random::<f64>() < self.scenario.clients.leaves;
            (class.work(&mut *rng), leaves.then(|| rng.random_range(0..deadline - now)))
        };
        self.record(now, Event::RequestSent { id, class: asked.class, gateway });
        if now < process.paused_until.get() {
            self.record(now, Event::RequestExcused { id });
        }
        let open = OpenRequest {
            asked,
            gateway,
            work,
            unattempted: true,
            within_quota: false,
            counted,
            ended: false,
        };
        self.open_requests.borrow_mut().insert(id, open);
        let request = self.request(id, asked, deadline - now);
        let wait = deadline + ANSWER_SLACK_NS + SOCKET_ALLOWANCE_NS - now;
        let limit = Duration::from_nanos(leaves.unwrap_or(wait));
        let reply = match request {
            Ok(request) => timeout(limit, process.idle.send(self.addresses.gateway(gateway), request)).await,
            Err(e) => unreachable!("a request of valid parts: {e}"),
        };
        let at = self.clock.now();
        // The entry stays, so that an attempt that is still on its way to a server is recognized.
        let request = self.open_requests.borrow_mut().get_mut(&id).map(|open| {
            open.ended = true;
            (open.within_quota, open.unattempted)
        });
        let (within_quota, unattempted) = request.unwrap_or_default();
        let exchange = Exchange { id, asked, at: now, second, counted, within_quota, unattempted };
        let retry_after = match reply {
            Ok(Ok(Reply { status: 200, .. })) => {
                self.served(&exchange, at);
                None
            }
            Ok(Ok(Reply { status, retry_after })) => {
                self.not_served(&exchange, at, matches!(status, 429 | 503));
                Some(retry_after.as_nanos() as Time)
            }
            Ok(Err(failure)) => {
                // The gateway died or is about to; the client notices and tries another gateway.
                if failure == RequestFailure::NotConnected
                    || process.incarnation.get() != incarnation
                    || !self.is_running(gateway)
                {
                    self.record(now, Event::RequestExcused { id });
                }
                self.figures.borrow_mut().report.gone += u64::from(counted);
                Some(0)
            }
            Err(_) => {
                if leaves.is_some() {
                    self.record(at, Event::RequestExcused { id });
                }
                self.figures.borrow_mut().report.gone += u64::from(counted);
                leaves.is_none().then_some(0)
            }
        };
        self.record(deadline + ANSWER_SLACK_NS + 1, Event::DeadlinePassed { id });
        retry_after
    }

    /// Counts a request that is sent.
    fn count_asked(&self, asked: ClientRequest, now: Time, second: Option<usize>, counted: bool) {
        let (plan, class) = (&self.scenario.plans[asked.plan], &self.scenario.classes[asked.class]);
        let within_quota =
            self.customers.borrow_mut()[asked.plan][asked.customer as usize].is_within_quota(plan, now);
        let mut figures = self.figures.borrow_mut();
        count(&mut figures.report.seconds, second, 0);
        count(&mut figures.report.quota, second, 2);
        if asked.repeats == 0 && within_quota {
            add(&mut figures.report.work, second, 0, class.work_ms);
        }
        if counted {
            figures.report.requests += 1;
            if asked.repeats == 0 && within_quota {
                figures.worth[1] += class.points * plan.worth;
            }
        }
    }

    /// Records a successful answer.
    fn served(&self, exchange: &Exchange, at: Time) {
        let Exchange { id, asked, second, counted, within_quota, .. } = *exchange;
        let (plan, class) = (&self.scenario.plans[asked.plan], &self.scenario.classes[asked.class]);
        let took = at - exchange.at;
        let mut figures = self.figures.borrow_mut();
        let report = &mut figures.report;
        self.record(at, Event::RequestAnswered { id, refused: false });
        let in_time = took <= ns(class.aim_ms, MS);
        if counted {
            (report.on_time, report.late) =
                (report.on_time + u64::from(in_time), report.late + u64::from(!in_time));
            figures.latencies_ms.push(took as f64 / MS);
            if in_time && within_quota {
                figures.worth[0] += class.points * plan.worth;
            }
        }
        if in_time {
            count(&mut figures.report.seconds, second, 1);
            add(&mut figures.report.work, second, 1, class.work_ms);
        }
    }

    /// Records an answer other than success; `refused` is whether the gateway rejected the request.
    fn not_served(&self, exchange: &Exchange, at: Time, refused: bool) {
        let Exchange { id, asked, second, counted, unattempted, .. } = *exchange;
        let plan = &self.scenario.plans[asked.plan];
        self.record(at, Event::RequestAnswered { id, refused });
        let room = unattempted
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

    /// Records that the requests open at a gateway need no answer in time.
    pub fn excuse_open_requests(&self, gateway: usize) {
        let (open, now) = (self.open_requests.borrow(), self.clock.now());
        for (id, _) in open.iter().filter(|(_, open)| open.gateway == gateway && !open.ended) {
            self.record(now, Event::RequestExcused { id: *id });
        }
    }

    /// Builds the HTTP request.
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
