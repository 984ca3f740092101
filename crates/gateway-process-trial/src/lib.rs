//! Trials: the real gateways, and the real registry where one is wished, as processes of their own on loopback, among
//! stand-ins for roll servers, list, meter and clients. Every connection between two of them goes through a relay, where
//! faults strike it. A trial plays the lab's scenarios, with the same words for the same faults.
#![forbid(unsafe_code)]

mod addresses;
pub mod client;
mod clock;
mod ends;
mod figures;
mod ledger;
mod list;
mod net;
pub mod process;
mod registration;
mod serving;
mod stand_in;
mod tap;
mod wire;
mod world;

pub use figures::{quantile, Figures};
pub use registration::renew;

use crate::addresses::{Addresses, Target, MOST_SERVERS};
use crate::net::Net;
use crate::process::{end_all, path_text, Folder, Program};
use crate::world::World;
use gateway_decisions::Effect;
use gateway_protocol::list::State;
use gateway_simulation::link::Link;
use gateway_simulation::scenario::{Fault, Scenario, Trouble};
use gateway_simulation::units::{ns, MS, SECOND, START_NS};
use gateway_simulation::Breach;
use program_support::config::Errors;
use rand::Rng;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit, Signal};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// A killed gateway starts again after this.
const GATEWAY_DOWN: Duration = Duration::from_millis(500);
/// How long the front sends clients to a gateway that is gone, or is to end.
const FRONT: Duration = Duration::from_secs(1);
const FRONT_TERM: Duration = Duration::from_millis(300);
/// How long a drained server goes on before it stops, and how long it is away in a release.
const DRAIN: Duration = Duration::from_secs(2);
const AWAY: Duration = Duration::from_secs(1);
/// How long all gateways may take to be ready where the play waits for them.
const READY: Duration = Duration::from_secs(60);
/// Descriptors of this program for each gateway beside its addresses, and for itself.
const EACH: u64 = 24;
const OWN: u64 = 200;
const TURN: Duration = Duration::from_millis(10);

/// What a trial came to.
pub struct TrialResult {
    pub figures: Figures,
    pub breach: Option<Box<Breach>>,
}

/// Checks what a trial asks beside what the scenario's own check does.
pub fn check(scenario: &Scenario) -> Result<(), Errors> {
    let mut wrong = Vec::new();
    if scenario.servers.count > MOST_SERVERS {
        let count = scenario.servers.count;
        wrong.push(format!("servers.count is {count}: {MOST_SERVERS} at most have an address in a trial"));
    }
    let overlaps = |a: &Fault, b: &Fault| a.at_s < b.at_s + b.for_s && b.at_s < a.at_s + a.for_s;
    let restarts = |f: &Fault| matches!(f.kind, Trouble::Restart | Trouble::Rolling);
    let faults = &scenario.faults;
    for (n, fault) in faults.iter().enumerate().filter(|(_, f)| restarts(f)) {
        let other = faults.iter().enumerate().take(n).find(|(_, f)| restarts(f) && overlaps(f, fault));
        if let Some((other, _)) = other {
            wrong.push(format!(
                "faults[{n}] restarts gateways while faults[{other}] does: one after the other"
            ));
        }
    }
    let (gateways, targets) = (u64::from(scenario.gateways.count), u64::from(scenario.servers.count) + 1);
    let needed = gateways * (targets + EACH) + OWN;
    let limit = getrlimit(Resource::Nofile);
    match limit.maximum {
        Some(most) if most < needed => wrong.push(format!(
            "{needed} descriptors are needed, and {most} are the most: raise the hard limit (ulimit -Hn), or name \
             fewer gateways or servers"
        )),
        _ => {}
    }
    if wrong.is_empty() {
        Ok(())
    } else {
        Err(Errors(wrong))
    }
}

/// Plays a scenario once with the programs of a folder. To be used on a local runtime. Dropped, it ends all it has started.
pub async fn play(scenario: &Scenario, seed: u64, programs: &Path) -> Result<TrialResult, Errors> {
    check(scenario)?;
    // The soft limit is this program's own to raise.
    let most = getrlimit(Resource::Nofile).maximum;
    setrlimit(Resource::Nofile, Rlimit { current: most, maximum: most })
        .map_err(|e| Errors::single(format!("descriptors: {e}")))?;
    let folder = Folder::new("trial")?;
    let world = World::new(scenario, seed, Addresses::new()?);
    let _gateways = Gateways(world.clone());
    let trial = Trial { world, programs: programs.to_path_buf(), folder: Rc::new(folder) };
    trial.play().await
}

/// Has all gateways end with it: the world itself may outlast the trial, in tasks and links that know it.
struct Gateways(Rc<World>);

impl Drop for Gateways {
    fn drop(&mut self) {
        let programs = self.0.gateways.iter().filter_map(|place| place.program.borrow_mut().take());
        let mut programs: Vec<Program> = programs.collect();
        end_all(&mut programs);
    }
}

#[derive(Clone)]
struct Trial {
    world: Rc<World>,
    programs: PathBuf,
    folder: Rc<Folder>,
}

impl Trial {
    async fn play(self) -> Result<TrialResult, Errors> {
        let (world, scenario) = (&self.world, &self.world.scenario);
        // Ends with the trial, whatever comes of it.
        let mut tasks = JoinSet::new();
        tasks.spawn_local(lateness(world.clone()));
        let count = (scenario.gateways.count as usize, scenario.servers.count as usize);
        let net = Net::open(&world.addresses, count.0, count.1, world.clock.clone(), world.clone())?;
        let _ = world.net.set(net);
        let mut registry = self.registry()?;
        for n in 0..count.1 {
            world.announce(n, State::Ready);
        }
        if registry.is_some() {
            // All announcements are made before a gateway reads the list.
            sleep(Duration::from_millis(300)).await;
        }
        let begun = Instant::now();
        world.begin();
        for n in 0..count.0 {
            self.start(n)?;
            tokio::task::yield_now().await;
        }
        if !scenario.list.together {
            let ready = async {
                while !world.gateways.iter().all(|place| place.taken_in.get()) {
                    sleep(Duration::from_millis(20)).await;
                    // One that has ended will not be ready.
                    if let Some(what) = self.lost() {
                        return Err(Errors::single(what));
                    }
                }
                Ok(())
            };
            timeout(READY, ready).await.unwrap_or_else(|_| Err(self.not_ready(begun)))?;
            world.begin();
            world.figures.borrow_mut().list.clear();
        }
        tasks.spawn_local(world.clone().meter());
        for plan in 0..scenario.plans.len() {
            tasks.spawn_local(world.clone().arrivals(plan));
        }
        for n in 0..scenario.faults.len() {
            tasks.spawn_local(self.clone().strike(n));
        }
        let end = world.clock.at(START_NS + ns(scenario.seconds, SECOND));
        while Instant::now() < end {
            sleep((end - Instant::now()).min(Duration::from_millis(100))).await;
            if let Some(what) = world.broken.borrow_mut().take() {
                return Err(Errors::single(what));
            }
        }
        // Nothing new is asked; what was asked gets its answer.
        tasks.abort_all();
        let longest = scenario.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        sleep(Duration::from_secs_f64(longest / 1000.0) + Duration::from_millis(100)).await;
        self.measure(begun.elapsed());
        let lost = self.lost();
        drop(Gateways(world.clone()));
        registry.iter_mut().for_each(|program| program.signal(Signal::TERM));
        drop(registry);
        if let Some(what) = lost {
            return Err(Errors::single(what));
        }
        let mut figures = world.figures.take();
        (figures.report.scenario, figures.report.seed) = (scenario.name.clone(), 0);
        figures.report.seconds.truncate(scenario.seconds.ceil() as usize);
        figures.close();
        Ok(TrialResult { figures, breach: world.ledger().check(scenario).err() })
    }

    fn not_ready(&self, begun: Instant) -> Errors {
        let late = self.world.gateways.iter().enumerate().filter(|(_, place)| !place.taken_in.get());
        let said = late.map(|(n, place)| {
            let program = place.program.borrow();
            format!("n{n}{}", program.as_ref().map(Program::last_log_line).unwrap_or_default())
        });
        let said: Vec<String> = said.take(5).collect();
        Errors::single(format!("not ready after {:.0} s: {}", begun.elapsed().as_secs_f64(), said.join(", ")))
    }

    // ---- Programs ----

    fn registry(&self) -> Result<Option<Program>, Errors> {
        if !self.world.scenario.list.registry {
            return Ok(None);
        }
        let list = self.folder.path("list");
        let arguments =
            ["--dir", path_text(&list), "--readers", "127.0.0.1:0", "--registrars", "127.0.0.1:0"];
        let calls = (self.world.scenario.list.capacity as u32).to_string();
        let bound = if calls == "0" { vec![] } else { vec!["--calls-per-s", calls.as_str()] };
        let arguments = [&arguments[..], &["--grace-ms", "0"], &bound].concat();
        let log = self.folder.path("registry.log");
        let mut program = Program::start(&self.programs, "sprucehatch-registry", &arguments, log)?;
        let at =
            [program.logged_address("Readers call at ")?, program.logged_address("Registrars call at ")?];
        let _ = self.world.registry.set(at);
        Ok(Some(program))
    }

    /// Starts a gateway, from nothing.
    fn start(&self, n: usize) -> Result<(), Errors> {
        let world = &self.world;
        let known = world.scenario.list.known;
        let name = format!("n{n}");
        let configuration = configuration(world, n, known).to_string();
        let file = self.folder.file(&format!("{name}.json"), &configuration)?;
        let log = self.folder.path(&format!("{name}.log"));
        let program =
            Program::start(&self.programs, "sprucehatch-gateway", &["--config", path_text(&file)], log)?;
        // What the configuration names is listed there, drained ones too.
        let listed =
            (0..world.stand_ins.len()).filter(|m| known && world.stand_ins[*m].state.get() != State::Gone);
        world.born(n, program, listed.collect());
        spawn_local(world.clone().front(n));
        Ok(())
    }

    /// Kills a gateway without a word.
    fn kill(&self, n: usize) {
        let world = self.world.clone();
        world.excuse(n);
        let place = &world.gateways[n];
        let life = place.life.get();
        if let Some(program) = place.program.borrow_mut().as_mut() {
            program.kill();
        }
        spawn_local(async move {
            sleep(FRONT).await;
            // Unless another process is ready by then.
            if world.gateways[n].life.get() == life {
                world.leave_out(n);
            }
        });
    }

    async fn restart(&self, n: usize) {
        self.world.leave_out(n);
        if let Err(Errors(what)) = self.start(n) {
            self.world.refused(what.join("; "));
        }
    }

    /// Has a gateway end as at a planned restart, and starts it again.
    async fn replace(self, n: usize) {
        let place = &self.world.gateways[n];
        let signal = |signal| {
            if let Some(program) = place.program.borrow_mut().as_mut() {
                program.signal(signal);
            }
        };
        signal(Signal::TERM);
        sleep(FRONT_TERM).await;
        self.world.leave_out(n);
        let longest = self.world.scenario.classes.iter().map(|c| c.deadline_ms).fold(3000.0, f64::max);
        let end = Instant::now() + Duration::from_secs_f64(longest / 1000.0 + 0.7);
        while self.world.alive(n) && Instant::now() < end {
            sleep(Duration::from_millis(20)).await;
        }
        self.kill(n);
        self.restart(n).await;
    }

    /// Who has ended though nobody had it end.
    fn lost(&self) -> Option<String> {
        let mut lost = Vec::new();
        for (n, place) in self.world.gateways.iter().enumerate() {
            let mut program = place.program.borrow_mut();
            if let Some((program, status)) =
                program.as_mut().and_then(|p| p.ended().map(|status| (p, status)))
            {
                lost.push(format!("gateway n{n} ended with {status}{}", program.last_log_line()));
            }
        }
        (!lost.is_empty()).then(|| lost.join("; "))
    }

    fn measure(&self, span: Duration) {
        let mut figures = self.world.figures.borrow_mut();
        for place in &self.world.gateways {
            let program = place.program.borrow();
            // One that was started anew has less to show.
            let Some(used) =
                program.as_ref().filter(|_| place.life.get() == 1).and_then(Program::resource_usage)
            else {
                continue;
            };
            figures.processor_ms.push((used.processor_ms as f64 / span.as_secs_f64()) as u64);
            figures.memory_kb.push(used.memory_kb);
            figures.descriptors.push(used.descriptors);
        }
    }

    // ---- Faults ----

    async fn strike(self, number: usize) {
        let world = &self.world;
        let fault = &world.scenario.faults[number];
        let (begin, end) = (ns(fault.at_s, SECOND), ns(fault.at_s + fault.for_s, SECOND));
        sleep_until(world.clock.at(START_NS + begin)).await;
        let struck = world.scenario.fault_targets(fault, &mut *world.rng.borrow_mut());
        let Some(net) = world.net.get() else { return };
        let span = Duration::from_secs_f64(fault.for_s);
        let each = span / struck.len().max(1) as u32;
        match fault.kind {
            Trouble::Kill => struck.iter().for_each(|n| self.server_down(*n)),
            Trouble::Silent => struck.iter().for_each(|n| net.server(*n, |s| s.silent = true)),
            Trouble::Slow => {
                struck.iter().for_each(|n| world.stand_ins[*n].model.borrow_mut().slowdown = fault.factor);
            }
            Trouble::Fail => struck.iter().for_each(|n| world.stand_ins[*n].fails.set(fault.factor)),
            Trouble::Refuse => {
                struck.iter().for_each(|n| world.stand_ins[*n].model.borrow_mut().refusing = true);
            }
            Trouble::Release => {
                for n in struck {
                    spawn_local(self.clone().replace_server(n));
                    sleep(each).await;
                }
                return;
            }
            Trouble::Cut | Trouble::Reset | Trouble::Delay => {
                if let Some(Ok(link)) = Link::of(fault, &world.scenario) {
                    let struck = link.resolve(&world.scenario, &mut *world.rng.borrow_mut());
                    net.begin(number, fault.kind, struck, fault.factor);
                }
            }
            Trouble::Restart => {
                struck.iter().for_each(|n| self.kill(*n));
                sleep(GATEWAY_DOWN).await;
                for n in &struck {
                    self.restart(*n).await;
                    tokio::task::yield_now().await;
                }
                return;
            }
            Trouble::Rolling => {
                for n in struck {
                    spawn_local(self.clone().replace(n));
                    sleep(each).await;
                }
                return;
            }
            Trouble::Pause => self.signal_all(&struck, Signal::STOP, Some(span)),
            Trouble::Hangup => return self.signal_all(&struck, Signal::HUP, None),
            Trouble::ListDown => net.list_silent(true),
            Trouble::Flood => world.flood.set(world.flood.get() * fault.factor),
            Trouble::MeterDown => world.meter_down.set(world.meter_down.get() + 1),
        }
        sleep_until(world.clock.at(START_NS + end)).await;
        match fault.kind {
            Trouble::Kill => struck.iter().for_each(|n| self.server_up(*n)),
            Trouble::Silent => struck.iter().for_each(|n| net.server(*n, |s| s.silent = false)),
            Trouble::Slow => {
                struck.iter().for_each(|n| world.stand_ins[*n].model.borrow_mut().slowdown = 1.0);
            }
            Trouble::Fail => struck.iter().for_each(|n| world.stand_ins[*n].fails.set(0.0)),
            Trouble::Refuse => {
                struck.iter().for_each(|n| world.stand_ins[*n].model.borrow_mut().refusing = false);
            }
            Trouble::Cut | Trouble::Reset | Trouble::Delay => net.finish(number),
            Trouble::Pause => self.signal_all(&struck, Signal::CONT, None),
            Trouble::ListDown => net.list_silent(false),
            Trouble::Flood if fault.factor > 0.0 => world.flood.set(world.flood.get() / fault.factor),
            Trouble::Flood => world.flood.set(1.0),
            Trouble::MeterDown => world.meter_down.set(world.meter_down.get() - 1),
            Trouble::Release | Trouble::Restart | Trouble::Rolling | Trouble::Hangup => {}
        }
    }

    /// `still` is how long they stand still.
    fn signal_all(&self, gateways: &[usize], signal: Signal, still: Option<Duration>) {
        for n in gateways.iter().filter(|n| self.world.alive(**n)) {
            let place = &self.world.gateways[*n];
            if let Some(still) = still {
                place.paused_until.set(self.world.clock.now() + still.as_nanos() as u64);
                self.world.excuse(*n);
            }
            if let Some(program) = place.program.borrow_mut().as_mut() {
                program.signal(signal);
            }
        }
    }

    fn server_down(&self, n: usize) {
        let stand_in = &self.world.stand_ins[n];
        if stand_in.up.get() {
            stand_in.die();
            self.present(n);
            self.world.announce(n, State::Gone);
        }
    }

    fn server_up(&self, n: usize) {
        let stand_in = &self.world.stand_ins[n];
        if !stand_in.up.get() {
            stand_in.start(self.world.clock.now());
            self.present(n);
            self.world.announce(n, State::Ready);
        }
    }

    fn present(&self, n: usize) {
        let stand_in = &self.world.stand_ins[n];
        if let Some(net) = self.world.net.get() {
            net.server(n, |s| (s.down, s.life) = (!stand_in.up.get(), stand_in.life.get()));
        }
    }

    /// A server is drained, stops, and starts again.
    async fn replace_server(self, n: usize) {
        let stand_in = &self.world.stand_ins[n];
        if !stand_in.up.get() || stand_in.state.get() != State::Ready {
            return;
        }
        stand_in.model.borrow_mut().draining = true;
        self.world.announce(n, State::Terminating);
        sleep(DRAIN).await;
        self.server_down(n);
        sleep(AWAY).await;
        self.server_up(n);
    }
}

/// Measures how late the event loop turns.
async fn lateness(world: Rc<World>) {
    loop {
        let due = Instant::now() + TURN;
        sleep_until(due).await;
        // The timer itself goes by milliseconds.
        let late = Instant::now().saturating_duration_since(due + Duration::from_millis(1));
        world.figures.borrow_mut().lateness.push(late);
    }
}

/// What a gateway is told at its start, as the platform words it.
fn configuration(world: &World, n: usize, known: bool) -> Value {
    let scenario = &world.scenario;
    let s = scenario.settings(n as u32, scenario.zone_of_gateway(n) as u32);
    let services = s.classes.iter().map(|c| {
        json!({
            "name": c.name, "on_time": c.latency_target, "deadline": c.deadline, "key_ttl": c.key_ttl, "points": c.value,
            "effect": match c.effect { Effect::Safe => "safe", Effect::Keyed => "keyed", Effect::Unsafe => "unsafe" },
            "group": format!("{:?}", c.group).to_lowercase(),
        })
    });
    let plans = s.plans.iter().map(|p| {
        json!({
            "name": p.name, "quota_rate": p.rate, "depth": p.depth, "never_over_rate": p.ceiling_rate,
            "ceiling_burst": p.ceiling_burst, "value_factor": p.value_factor,
        })
    });
    let address = |at: SocketAddr| at.to_string();
    let mut whole = json!({
        "name": format!("n{n}"),
        "listen": address(world.addresses.gateway(n)),
        "ops": address(world.addresses.operators(n)),
        "discovery": address(world.addresses.of(n, Target::List)),
        "seed": format!("{:016x}", world.rng.borrow_mut().random::<u64>()),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "az": s.zone, "dcs": scenario.zones, "me": n, "siblings": s.gateways, "discovery": "subscribe",
            "tick": s.tick,
            "extra": {"meter_period": s.meter_period},
            "limits": {
                "cancelling": s.cancelling, "connect_timeout": ns(250.0, MS),
                "keepalive": ns(scenario.servers.idle_s, SECOND), "max_retry_after": s.max_retry_after,
                "retry_after": s.retry_after, "second_copies": false, "try_limit": s.try_limit,
            },
            "obligations": {
                "answer_slack": s.answer_slack, "ask_within": s.list_max_age, "cold": s.warm_up_time,
                "cold_from": s.warm_up_from, "fall": s.overload_tolerance, "fall_multiple": s.overload_multiple,
            },
            "prices": {"cross_zone": s.cross_zone_price},
            "plans": plans.collect::<Value>(), "services": services.collect::<Value>(),
        },
    });
    if known {
        // A list that is worded is read again.
        whole["known"] = serde_json::from_str(&world.service.whole(n)).unwrap_or_default();
    }
    whole
}
