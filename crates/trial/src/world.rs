//! All that takes part in one trial, and what clients do.

use crate::client::{Idle, Lost, Reply};
use crate::clock::{unix_ms, Clock};
use crate::figures::Figures;
use crate::ledger::{Ledger, Seen, SOCKETS};
use crate::list::{entry, Said, Service};
use crate::net::{Addresses, Ends, Far, Net, Target, Wire};
use crate::process::Program;
use crate::roll::{self, Roll};
use bytes::Bytes;
use granitehub::Time;
use granitehub_protocol::call::{self, Call};
use granitehub_protocol::list::State;
use granitehub_protocol::registration::{Announcement, ENTRIES};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use lab::customer::{Asked, Customer};
use lab::report::{add, count, flow, Vain};
use lab::scenario::{ns, Runs, Scenario, METER, MS, SECOND, SLACK, START};
use lab::server::Server;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::duplex;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{interval, sleep, sleep_until, timeout, Instant};

/// Between two looks at whether a gateway is ready, at most.
const LOOK: Duration = Duration::from_millis(200);
/// How long a server is listed at the registry after its last renewal.
const LEASE: Duration = Duration::from_secs(2);

/// One gateway: its process and what the front knows of it.
#[derive(Default)]
pub struct Place {
    pub program: RefCell<Option<Program>>,
    pub idle: Idle,
    /// The front sends clients there.
    pub taken_in: Cell<bool>,
    /// It stands still until then.
    pub still: Cell<Time>,
    /// Its starts so far.
    pub life: Cell<u32>,
    /// The start of each server that it was told of.
    told: RefCell<HashMap<usize, u64>>,
}

/// A request as long as it may matter.
struct Open {
    asked: Asked,
    gateway: usize,
    work: Time,
    first: bool,
    within: bool,
    counted: bool,
    ended: bool,
}

pub struct World {
    pub scenario: Scenario,
    pub clock: Clock,
    pub addresses: Addresses,
    pub rng: RefCell<ChaCha8Rng>,
    pub net: OnceCell<Rc<Net<World>>>,
    pub rolls: Vec<Roll>,
    pub service: Service,
    /// Where the real registry's readers and registrars call.
    pub registry: OnceCell<[SocketAddr; 2]>,
    announcers: RefCell<HashMap<usize, JoinHandle<()>>>,
    pub places: Vec<Place>,
    pub figures: RefCell<Figures>,
    vain: RefCell<Vain>,
    pub flood: Cell<f64>,
    pub meter_down: Cell<u32>,
    pub broken: RefCell<Option<String>>,
    ledger: RefCell<Ledger>,
    open: RefCell<HashMap<u64, Open>>,
    customers: RefCell<Vec<Vec<Customer>>>,
    next: Cell<u64>,
}

impl World {
    pub fn new(scenario: &Scenario, seed: u64, addresses: Addresses) -> Rc<Self> {
        let customers =
            scenario.plans.iter().map(|p| vec![Customer::new(p.depth, START); p.customers as usize]);
        Rc::new(World {
            clock: Clock::default(),
            addresses,
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            net: OnceCell::new(),
            rolls: (0..scenario.servers.count).map(|_| Roll::new(Server::new(scenario.build()))).collect(),
            service: Service::new(scenario.list.clone(), unix_ms()),
            registry: OnceCell::new(),
            announcers: RefCell::default(),
            places: (0..scenario.gateways.count).map(|_| Place::default()).collect(),
            figures: RefCell::new(Figures { gateways: scenario.gateways.count, ..Figures::default() }),
            vain: RefCell::default(),
            flood: Cell::new(1.0),
            meter_down: Cell::new(0),
            broken: RefCell::new(None),
            ledger: RefCell::default(),
            open: RefCell::default(),
            customers: RefCell::new(customers.collect()),
            next: Cell::new(1),
            scenario: scenario.clone(),
        })
    }

    pub fn number(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }

    pub fn note(&self, at: Time, seen: Seen) {
        self.ledger.borrow_mut().note(at, seen);
    }

    /// The play begins.
    pub fn begin(&self) {
        let later = self.clock.begin();
        self.ledger.borrow_mut().begin(later);
    }

    pub fn ledger(&self) -> Ledger {
        self.ledger.take()
    }

    /// Whether what happens at this time counts.
    fn counts(&self, at: Time) -> bool {
        at >= START + ns(self.scenario.uncounted_s, SECOND) && at < START + ns(self.scenario.seconds, SECOND)
    }

    pub fn refused(&self, what: String) {
        self.broken.borrow_mut().get_or_insert(what);
    }

    // ---- Servers and the list ----

    /// An attempt came to a server: its work, and its customer. None if no client sent it.
    pub fn arrived(&self, id: u64, server: usize, gateway: usize, at: Time) -> Option<(Time, (usize, u32))> {
        let mut open = self.open.borrow_mut();
        let Some(request) = open.get_mut(&id) else {
            self.note(at, Seen::Invented { id, server });
            return None;
        };
        self.note(at, Seen::Sent { id, server, gateway });
        let asked = request.asked;
        let mut figures = self.figures.borrow_mut();
        let second = self.clock.second();
        count(&mut figures.report.flow, second, flow::ATTEMPTS);
        if request.first {
            let plan = &self.scenario.plans[asked.plan];
            let customer = &mut self.customers.borrow_mut()[asked.plan][asked.customer as usize];
            request.within = customer.take(plan, self.clock.now());
            self.note(at, Seen::Drawn { plan: asked.plan, customer: asked.customer });
            count(&mut figures.report.flow, second, flow::FIRST);
            count(&mut figures.report.quota, second, 0);
            if !request.within {
                count(&mut figures.report.quota, second, 1);
            }
            if request.counted {
                figures.report.passed += 1;
                figures.report.beyond += u64::from(!request.within);
            }
        }
        request.first = false;
        if request.counted {
            let zones = [self.scenario.zone_of_gateway(gateway), self.scenario.zone_of_server(server)];
            figures.report.attempts += 1;
            figures.report.crossings += u64::from(zones[0] != zones[1]);
        }
        Some((request.work, (asked.plan, asked.customer)))
    }

    /// What the meter says of a customer.
    pub fn metered(&self, (plan, customer): (usize, u32)) -> Option<f64> {
        self.customers.borrow()[plan][customer as usize].metered
    }

    /// Whether a gateway was told of this start of a server.
    pub fn knows(&self, gateway: usize, server: usize, boot_ms: u64) -> bool {
        self.places[gateway].told.borrow().get(&server) == Some(&boot_ms)
    }

    pub async fn meter(self: Rc<Self>) {
        let mut every = interval(Duration::from_nanos(METER));
        // The first comes at once, and nothing was used before.
        every.tick().await;
        loop {
            every.tick().await;
            self.sample();
            let on = self.meter_down.get() == 0;
            for (plan, customers) in self.scenario.plans.iter().zip(self.customers.borrow_mut().iter_mut()) {
                customers.iter_mut().for_each(|customer| customer.meter(plan, on));
            }
        }
    }

    /// Notes in the middle of a second what all servers can do that want something new.
    fn sample(&self) {
        let now = self.clock.now();
        let cores = &mut self.figures.borrow_mut().report.cores;
        // A tick may be late, but not by half a second.
        if now < START + cores.len() as Time * 2 * METER + METER {
            return;
        }
        let silent = |n| self.net.get().is_some_and(|net| net.is_silent(n));
        let wanting = self
            .rolls
            .iter()
            .enumerate()
            .filter(|(n, roll)| roll.up.get() && roll.state.get() == State::Ready && !silent(*n));
        let sum = wanting.fold([0.0; 2], |sum, (_, roll)| {
            let one = roll.model.borrow().cores(now);
            [sum[0] + one[0], sum[1] + one[1]]
        });
        cores.push(sum);
    }

    /// An attempt comes to a server that serves nothing.
    pub fn in_vain(&self, server: usize) {
        let second = self.clock.second();
        self.vain.borrow_mut().count(&mut self.figures.borrow_mut().report.flow, second, server);
    }

    /// The list is to tell of a server as it is now.
    pub fn announce(self: &Rc<Self>, n: usize, state: State) {
        let roll = &self.rolls[n];
        roll.state.set(state);
        let endpoint = self.addresses.anybody(n).to_string();
        let zone = &self.scenario.zones[self.scenario.zone_of_server(n)];
        let cell = self.scenario.cell_of_server(n);
        let boot_ms = roll.boot_ms.get();
        let Some([_, registrars]) = self.registry.get().copied() else {
            return self.service.change(entry(n, endpoint, zone, cell, state, boot_ms));
        };
        let past = match state {
            State::Ready => {
                let announcement = Announcement {
                    endpoint,
                    az: zone.clone(),
                    model: "stand-in".to_string(),
                    pod_group: cell,
                    capacity_hint: 1.0,
                    boot_ms,
                    lease_ms: LEASE.as_millis() as u64,
                };
                let task = spawn_local(renew(format!("s-{n}"), announcement, registrars));
                self.announcers.borrow_mut().insert(n, task)
            }
            State::Terminating => {
                let path = format!("{ENTRIES}/s-{n}/drain");
                let body = Bytes::from(format!(r#"{{"boot_ms":{boot_ms}}}"#));
                spawn_local(call::make(registrars, Call { method: Method::POST, path, body }, LEASE));
                None
            }
            State::Gone => self.announcers.borrow_mut().remove(&n),
        };
        if let Some(task) = past {
            task.abort();
        }
    }

    // ---- Clients ----

    /// Requests of a plan's customers, at random times, until it is dropped.
    pub async fn arrivals(self: Rc<Self>, plan: usize) {
        let p = &self.scenario.plans[plan];
        let mut at = self.clock.at(START);
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
            spawn_local(self.clone().ask(Asked { plan, class, customer, repeats: 0 }));
        }
    }

    /// A gateway of the customer's, as the front deals requests out: among those that it has taken in.
    fn gateway(&self, customer: u32, spread: u32) -> Option<usize> {
        let (first, count) = (self.scenario.first_gateway(customer), self.places.len());
        let own = (0..spread as usize).map(|n| (first + n) % count);
        let mut up: Vec<usize> = own.filter(|n| self.places[*n].taken_in.get()).collect();
        if up.is_empty() {
            up = (0..count).filter(|n| self.places[*n].taken_in.get()).collect();
        }
        let draw = self.rng.borrow_mut().random::<f64>();
        up.get((draw * up.len() as f64) as usize).copied()
    }

    /// One request, and what its client does after it.
    async fn ask(self: Rc<Self>, asked: Asked) {
        let mut asked = asked;
        while let Some(advice) = self.once(asked).await {
            let again = self.scenario.clients.returns(asked.repeats, advice, &mut *self.rng.borrow_mut());
            let Some(after) = again else { return };
            sleep(Duration::from_nanos(after)).await;
            asked.repeats += 1;
        }
    }

    /// Asks once: the advice if it was not served.
    async fn once(&self, asked: Asked) -> Option<Time> {
        let (plan, class) = (&self.scenario.plans[asked.plan], &self.scenario.classes[asked.class]);
        let (now, second, id) = (self.clock.now(), self.clock.second(), self.number());
        let counted = self.counts(now);
        let seconds = |figures: &mut Figures, what| count(&mut figures.report.seconds, second, what);
        {
            let within = self.customers.borrow_mut()[asked.plan][asked.customer as usize].within(plan, now);
            let mut figures = self.figures.borrow_mut();
            seconds(&mut figures, 0);
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
        let Some(gateway) = self.gateway(asked.customer, plan.spread) else {
            self.figures.borrow_mut().report.gone += u64::from(counted);
            return Some(0);
        };
        let place = &self.places[gateway];
        let (life, deadline) = (place.life.get(), now + ns(class.deadline_ms, MS));
        let (work, leaves) = {
            let mut rng = self.rng.borrow_mut();
            let leaves = rng.random::<f64>() < self.scenario.clients.leaves;
            (class.work(&mut *rng), leaves.then(|| rng.random_range(0..deadline - now)))
        };
        self.note(now, Seen::Asked { id, class: asked.class, gateway });
        if now < place.still.get() {
            self.note(now, Seen::Excused { id });
        }
        let open = Open { asked, gateway, work, first: true, within: false, counted, ended: false };
        self.open.borrow_mut().insert(id, open);
        let request = self.request(id, asked, deadline - now);
        let wait = deadline + SLACK + SOCKETS - now;
        let limit = Duration::from_nanos(leaves.unwrap_or(wait));
        let reply = match request {
            Ok(request) => timeout(limit, place.idle.ask(self.addresses.gateway(gateway), request)).await,
            Err(e) => unreachable!("a request of digits: {e}"),
        };
        let at = self.clock.now();
        let took = at - now;
        // What is still on its way to a server is no invention: it stays known.
        let request = self.open.borrow_mut().get_mut(&id).map(|open| {
            open.ended = true;
            (open.within, open.first)
        });
        let (within, first) = request.unwrap_or_default();
        let mut figures = self.figures.borrow_mut();
        let report = &mut figures.report;
        let advice = match reply {
            Ok(Ok(Reply { status: 200, .. })) => {
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
                    seconds(&mut figures, 1);
                    add(&mut figures.report.work, second, 1, class.work_ms);
                }
                None
            }
            Ok(Ok(Reply { status, advice })) => {
                let refused = matches!(status, 429 | 503);
                self.note(at, Seen::Answered { id, refused });
                let room = first
                    && self.customers.borrow_mut()[asked.plan][asked.customer as usize].has_room(plan, at);
                if refused && room {
                    count(&mut figures.report.quota, second, 3);
                }
                let report = &mut figures.report;
                if counted && refused {
                    report.refused += 1;
                    report.refused_with_room += u64::from(room);
                } else if counted {
                    report.failed += 1;
                }
                Some(advice.as_nanos() as Time)
            }
            Ok(Err(lost)) => {
                // A gateway that died, or is about to: a client finds out and asks elsewhere.
                if lost == Lost::Unreached || place.life.get() != life || !self.alive(gateway) {
                    self.note(now, Seen::Excused { id });
                }
                report.gone += u64::from(counted);
                Some(0)
            }
            Err(_) => {
                if leaves.is_some() {
                    self.note(at, Seen::Excused { id });
                }
                report.gone += u64::from(counted);
                leaves.is_none().then_some(0)
            }
        };
        drop(figures);
        self.note(deadline + SLACK + 1, Seen::Due { id });
        advice
    }

    /// No answer in time is owed for what a gateway has in hand.
    pub fn excuse(&self, gateway: usize) {
        let (open, now) = (self.open.borrow(), self.clock.now());
        for (id, _) in open.iter().filter(|(_, open)| open.gateway == gateway && !open.ended) {
            self.note(now, Seen::Excused { id: *id });
        }
    }

    fn request(&self, id: u64, asked: Asked, wait: Time) -> hyper::http::Result<Request<Full<Bytes>>> {
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

    // ---- Gateways ----

    pub fn alive(&self, gateway: usize) -> bool {
        self.places[gateway].program.borrow_mut().as_mut().is_some_and(|program| program.ended().is_none())
    }

    /// A gateway's process has begun, with the servers that its configuration lists.
    pub fn born(&self, gateway: usize, program: Program, listed: Vec<usize>) {
        let place = &self.places[gateway];
        let boots = listed.iter().map(|n| (*n, self.rolls[*n].boot_ms.get()));
        place.told.replace(boots.collect());
        place.life.set(place.life.get() + 1);
        place.still.set(0);
        self.note(self.clock.now(), Seen::Born { gateway, listed });
        place.program.replace(Some(program));
    }

    /// Takes a gateway in once it says that it is ready.
    pub async fn front(self: Rc<Self>, gateway: usize) {
        let (place, begun, life) = (&self.places[gateway], Instant::now(), self.places[gateway].life.get());
        let (looks, mut pause) = (Idle::default(), Duration::from_millis(20));
        while place.life.get() == life {
            let look = Request::get("/ready").header("host", "front").body(Full::default());
            let Ok(look) = look else { return };
            let reply = timeout(Duration::from_secs(2), looks.ask(self.addresses.gateway(gateway), look));
            if matches!(reply.await, Ok(Ok(Reply { status: 200, .. }))) && place.life.get() == life {
                place.taken_in.set(true);
                self.figures.borrow_mut().ready_s.push(begun.elapsed().as_secs_f64());
                return;
            }
            sleep(pause).await;
            pause = (pause * 2).min(LOOK);
        }
    }

    /// The front sends nobody there any more.
    pub fn leave_out(&self, gateway: usize) {
        self.places[gateway].taken_in.set(false);
        self.places[gateway].idle.clear();
    }
}

/// Registers, and renews the lease for as long as it is polled.
pub async fn renew(name: String, announcement: Announcement, registrars: SocketAddr) {
    let path = format!("{ENTRIES}/{name}");
    let lease = Duration::from_millis(announcement.lease_ms);
    let renewal = Bytes::from(format!(r#"{{"boot_ms":{}}}"#, announcement.boot_ms));
    let announcement = Bytes::from(serde_json::to_vec(&announcement).unwrap_or_default());
    let mut every = interval(lease / 4);
    let mut listed = false;
    loop {
        every.tick().await;
        let call = match listed {
            true => Call { method: Method::POST, path: format!("{path}/renew"), body: renewal.clone() },
            false => Call { method: Method::PUT, path: path.clone(), body: announcement.clone() },
        };
        // One that the registry does not know, or that it did not answer, is announced anew.
        listed = call::make(registrars, call, lease / 4).await.is_ok_and(|answer| answer.yes());
    }
}

impl Ends for World {
    async fn connected(self: Rc<Self>, target: Target, wire: Rc<Wire>) -> Option<Far> {
        match target {
            Target::Server(n) => {
                let mut figures = self.figures.borrow_mut();
                if let Some(at) = self.clock.second() {
                    if figures.opened.len() <= at {
                        figures.opened.resize(at + 1, 0);
                    }
                    figures.opened[at] += 1;
                }
                figures.report.connections += u64::from(self.counts(self.clock.now()));
                drop(figures);
                roll::connect(&self, n, wire)
            }
            Target::List => match self.registry.get() {
                Some([readers, _]) => TcpStream::connect(readers).await.ok().map(Far::There),
                None => {
                    let (near, far) = duplex(64 << 10);
                    spawn_local(async move {
                        let service = service_fn(|request| async {
                            let answer = self.service.answer(request, &wire).await;
                            let mut figures = self.figures.borrow_mut();
                            let second = self.clock.second();
                            count(&mut figures.list, second, 0);
                            if answer.status() != 200 {
                                count(&mut figures.list, second, 1);
                            }
                            Ok::<_, Infallible>(answer)
                        });
                        let _ = http1::Builder::new().serve_connection(TokioIo::new(far), service).await;
                    });
                    Some(Far::Here(near))
                }
            },
        }
    }

    fn closed(&self, wire: &Wire, reset: bool) {
        if let Some((id, sent)) = wire.out.take() {
            let ending = if reset { granitehub::Ending::Cut } else { granitehub::Ending::Undone };
            self.note(self.clock.now(), Seen::Over { id, sent, ending });
        }
    }

    fn told(&self, wire: &Wire, bytes: &[u8]) {
        let place = &self.places[wire.gateway];
        let (now, gateway) = (self.clock.now().max(place.still.get()), wire.gateway);
        for said in wire.tap.borrow_mut().feed(bytes) {
            if self.registry.get().is_some() {
                let mut figures = self.figures.borrow_mut();
                let second = self.clock.second();
                count(&mut figures.list, second, 0);
                if matches!(said, Said::Else) {
                    count(&mut figures.list, second, 1);
                }
            }
            let Said::List(list) = said else { continue };
            let mut told = place.told.borrow_mut();
            let number = |uid: &str| uid.strip_prefix("s-")?.parse::<usize>().ok();
            let named: Vec<(usize, bool, u64)> = list
                .targets
                .iter()
                .filter_map(|t| Some((number(&t.uid)?, t.state == State::Ready, t.boot_ms)))
                .collect();
            if list.all {
                for server in told.keys().filter(|n| named.iter().all(|(named, ..)| named != *n)) {
                    self.note(now, Seen::Told { gateway, server: *server, wanted: false });
                }
            }
            for (server, wanted, boot_ms) in named {
                told.insert(server, boot_ms);
                self.note(now, Seen::Told { gateway, server, wanted });
            }
        }
    }

    fn broken(&self, what: String) {
        self.refused(what);
    }
}
