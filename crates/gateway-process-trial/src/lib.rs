//! Trials run the real gateways, and the real registry if the scenario asks for it, as separate processes on
//! loopback. Backend servers, meter and clients are stand-ins, as is the list service without a registry.
//! Every connection between a gateway and a server or the list passes through a TCP relay that injects
//! faults. Trials run the simulator's scenarios, with the same names for the same faults.
#![forbid(unsafe_code)]

mod addresses;
pub mod client;
mod clock;
mod connection;
mod figures;
mod ledger;
mod link_handler;
mod list;
mod list_responses;
mod net;
pub mod process;
mod registration;
mod serving;
mod stand_in;
mod world;

pub use figures::{quantile, Figures};
pub use registration::renew;

use crate::addresses::{Addresses, Target, MAX_SERVERS};
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

/// The time from the kill of a gateway to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// How long clients are still sent to a gateway after it was killed, and after it was told to terminate.
const ROTATION_LAG_AFTER_KILL: Duration = Duration::from_secs(1);
const ROTATION_LAG_AFTER_TERM: Duration = Duration::from_millis(300);
/// In a release: how long a draining server keeps running, and how long it is down.
const DRAIN_TIME: Duration = Duration::from_secs(2);
const RELEASE_DOWNTIME: Duration = Duration::from_secs(1);
/// How long all gateways may take to become ready, where the run waits for that.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// File descriptors of this program: for each gateway in addition to its addresses, and for the program
/// itself.
const DESCRIPTORS_PER_GATEWAY: u64 = 24;
const OWN_DESCRIPTORS: u64 = 200;
/// The interval between two samples of the event loop lag.
const LAG_SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// The result of a trial: its measurements, and the first broken rule.
pub struct TrialResult {
    pub figures: Figures,
    pub breach: Option<Box<Breach>>,
}

/// Checks the requirements of a trial that the scenario's own validation does not cover.
pub fn check(scenario: &Scenario) -> Result<(), Errors> {
    let mut errors = Vec::new();
    if scenario.servers.count > MAX_SERVERS {
        let count = scenario.servers.count;
        errors.push(format!("servers.count is {count}: a trial has addresses for at most {MAX_SERVERS}"));
    }
    let overlaps = |a: &Fault, b: &Fault| a.at_s < b.at_s + b.for_s && b.at_s < a.at_s + a.for_s;
    let restarts = |f: &Fault| matches!(f.kind, Trouble::Restart | Trouble::Rolling);
    let faults = &scenario.faults;
    for (n, fault) in faults.iter().enumerate().filter(|(_, f)| restarts(f)) {
        let other = faults.iter().enumerate().take(n).find(|(_, f)| restarts(f) && overlaps(f, fault));
        if let Some((other, _)) = other {
            errors.push(format!(
                "faults[{n}] restarts gateways while faults[{other}] does: they must not overlap"
            ));
        }
    }
    let (gateways, targets) = (u64::from(scenario.gateways.count), u64::from(scenario.servers.count) + 1);
    let needed = gateways * (targets + DESCRIPTORS_PER_GATEWAY) + OWN_DESCRIPTORS;
    let limit = getrlimit(Resource::Nofile);
    match limit.maximum {
        Some(most) if most < needed => errors.push(format!(
            "{needed} file descriptors are needed, but the hard limit is {most}: raise it (ulimit -Hn), or \
             use fewer gateways or servers"
        )),
        _ => {}
    }
    if errors.is_empty() {
        Ok(())
    } else {
        Err(Errors(errors))
    }
}

/// Runs a scenario once with the programs in a folder. Needs a local runtime. When the future is dropped, all
/// started processes are stopped.
pub async fn play(scenario: &Scenario, seed: u64, programs: &Path) -> Result<TrialResult, Errors> {
    check(scenario)?;
    // A process may raise its own soft limit up to the hard limit.
    let hard_limit = getrlimit(Resource::Nofile).maximum;
    setrlimit(Resource::Nofile, Rlimit { current: hard_limit, maximum: hard_limit })
        .map_err(|e| Errors::single(format!("raising the limit of file descriptors: {e}")))?;
    let folder = Folder::new("trial")?;
    let world = World::new(scenario, seed, Addresses::new()?);
    let _gateways = StopGatewaysOnDrop(world.clone());
    let trial = Trial { world, programs: programs.to_path_buf(), folder: Rc::new(folder) };
    trial.play().await
}

/// Stops all gateways when dropped. The world itself may outlive the trial, since tasks and relays hold
/// references to it.
struct StopGatewaysOnDrop(Rc<World>);

impl Drop for StopGatewaysOnDrop {
    fn drop(&mut self) {
        let programs = self.0.gateways.iter().filter_map(|process| process.program.borrow_mut().take());
        let mut programs: Vec<Program> = programs.collect();
        end_all(&mut programs);
    }
}

/// A trial in progress.
#[derive(Clone)]
struct Trial {
    world: Rc<World>,
    programs: PathBuf,
    folder: Rc<Folder>,
}

impl Trial {
    /// Runs the scenario and collects its results.
    async fn play(self) -> Result<TrialResult, Errors> {
        let (world, scenario) = (&self.world, &self.world.scenario);
        // Dropping the set aborts the tasks, also if the trial fails.
        let mut tasks = JoinSet::new();
        tasks.spawn_local(measure_event_loop_lag(world.clone()));
        let counts = (scenario.gateways.count as usize, scenario.servers.count as usize);
        let net = Net::open(&world.addresses, counts.0, counts.1, world.clock.clone(), world.clone())?;
        let _ = world.net.set(net);
        let mut registry = self.registry()?;
        for n in 0..counts.1 {
            world.announce(n, State::Ready);
        }
        if registry.is_some() {
            // Gives the announcements time to arrive before a gateway reads the list.
            sleep(Duration::from_millis(300)).await;
        }
        let started = Instant::now();
        world.set_start();
        for n in 0..counts.0 {
            self.start(n)?;
            tokio::task::yield_now().await;
        }
        if !scenario.list.together {
            let ready = async {
                while !world.gateways.iter().all(|process| process.in_rotation.get()) {
                    sleep(Duration::from_millis(20)).await;
                    // A gateway that has exited never becomes ready.
                    if let Some(error) = self.unexpected_exits() {
                        return Err(Errors::single(error));
                    }
                }
                Ok(())
            };
            timeout(READY_TIMEOUT, ready).await.unwrap_or_else(|_| Err(self.not_ready(started)))?;
            world.set_start();
            world.figures.borrow_mut().list.clear();
        }
        tasks.spawn_local(world.clone().run_meter());
        for plan in 0..scenario.plans.len() {
            tasks.spawn_local(world.clone().generate_requests(plan));
        }
        for n in 0..scenario.faults.len() {
            tasks.spawn_local(self.clone().inject_fault(n));
        }
        let end = world.clock.instant_at(START_NS + ns(scenario.seconds, SECOND));
        while Instant::now() < end {
            sleep((end - Instant::now()).min(Duration::from_millis(100))).await;
            if let Some(error) = world.failure.borrow_mut().take() {
                return Err(Errors::single(error));
            }
        }
        // No new requests are sent; open requests still get their answers.
        tasks.abort_all();
        let longest = scenario.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        sleep(Duration::from_secs_f64(longest / 1000.0) + Duration::from_millis(100)).await;
        self.record_resource_usage(started.elapsed());
        let exits = self.unexpected_exits();
        drop(StopGatewaysOnDrop(world.clone()));
        registry.iter_mut().for_each(|program| program.signal(Signal::TERM));
        drop(registry);
        if let Some(error) = exits {
            return Err(Errors::single(error));
        }
        let mut figures = world.figures.take();
        (figures.report.scenario, figures.report.seed) = (scenario.name.clone(), 0);
        figures.report.seconds.truncate(scenario.seconds.ceil() as usize);
        figures.finalize();
        Ok(TrialResult { figures, breach: world.take_events().check(scenario).err() })
    }

    /// The error for gateways that did not become ready in time, with the last log lines of up to five.
    fn not_ready(&self, started: Instant) -> Errors {
        let late = self.world.gateways.iter().enumerate().filter(|(_, process)| !process.in_rotation.get());
        let waiting = late.map(|(n, process)| {
            let program = process.program.borrow();
            format!("n{n}{}", program.as_ref().map(Program::last_log_line).unwrap_or_default())
        });
        let waiting: Vec<String> = waiting.take(5).collect();
        Errors::single(format!(
            "gateways not ready after {:.0} s: {}",
            started.elapsed().as_secs_f64(),
            waiting.join(", ")
        ))
    }

    // Programs

    /// Starts the real registry, if the scenario asks for it, and waits for its addresses.
    fn registry(&self) -> Result<Option<Program>, Errors> {
        if !self.world.scenario.list.registry {
            return Ok(None);
        }
        let list = self.folder.path("list");
        let arguments =
            ["--dir", path_text(&list), "--readers", "127.0.0.1:0", "--registrars", "127.0.0.1:0"];
        let calls = (self.world.scenario.list.capacity as u32).to_string();
        let rate_limit = if calls == "0" { vec![] } else { vec!["--calls-per-s", calls.as_str()] };
        let arguments = [&arguments[..], &["--grace-ms", "0"], &rate_limit].concat();
        let log = self.folder.path("registry.log");
        let mut program = Program::start(&self.programs, "sprucehatch-registry", &arguments, log)?;
        let at =
            [program.logged_address("Readers call at ")?, program.logged_address("Registrars call at ")?];
        let _ = self.world.registry.set(at);
        Ok(Some(program))
    }

    /// Starts a new process for a gateway.
    fn start(&self, n: usize) -> Result<(), Errors> {
        let world = &self.world;
        let known = world.scenario.list.known;
        let name = format!("n{n}");
        let configuration = configuration(world, n, known).to_string();
        let file = self.folder.file(&format!("{name}.json"), &configuration)?;
        let log = self.folder.path(&format!("{name}.log"));
        let program =
            Program::start(&self.programs, "sprucehatch-gateway", &["--config", path_text(&file)], log)?;
        // The configuration lists all servers that are not gone, draining ones included.
        let listed =
            (0..world.stand_ins.len()).filter(|m| known && world.stand_ins[*m].state.get() != State::Gone);
        world.gateway_started(n, program, listed.collect());
        spawn_local(world.clone().wait_until_ready(n));
        Ok(())
    }

    /// Kills a gateway without notice (SIGKILL).
    fn kill(&self, n: usize) {
        let world = self.world.clone();
        world.excuse_open_requests(n);
        let process = &world.gateways[n];
        let incarnation = process.incarnation.get();
        if let Some(program) = process.program.borrow_mut().as_mut() {
            program.kill();
        }
        spawn_local(async move {
            sleep(ROTATION_LAG_AFTER_KILL).await;
            // A newer process may have taken the gateway's place by then.
            if world.gateways[n].incarnation.get() == incarnation {
                world.remove_from_rotation(n);
            }
        });
    }

    /// Takes a gateway out of rotation and starts a new process for it.
    async fn restart(&self, n: usize) {
        self.world.remove_from_rotation(n);
        if let Err(Errors(error)) = self.start(n) {
            self.world.fail(error.join("; "));
        }
    }

    /// Terminates a gateway as in a planned restart, and starts it again.
    async fn restart_gracefully(self, n: usize) {
        let process = &self.world.gateways[n];
        let signal = |signal| {
            if let Some(program) = process.program.borrow_mut().as_mut() {
                program.signal(signal);
            }
        };
        signal(Signal::TERM);
        sleep(ROTATION_LAG_AFTER_TERM).await;
        self.world.remove_from_rotation(n);
        let longest = self.world.scenario.classes.iter().map(|c| c.deadline_ms).fold(3000.0, f64::max);
        let end = Instant::now() + Duration::from_secs_f64(longest / 1000.0 + 0.7);
        while self.world.is_running(n) && Instant::now() < end {
            sleep(Duration::from_millis(20)).await;
        }
        self.kill(n);
        self.restart(n).await;
    }

    /// Describes the gateways that exited although nothing stopped them.
    fn unexpected_exits(&self) -> Option<String> {
        let mut exits = Vec::new();
        for (n, process) in self.world.gateways.iter().enumerate() {
            let mut program = process.program.borrow_mut();
            if let Some((program, status)) =
                program.as_mut().and_then(|p| p.ended().map(|status| (p, status)))
            {
                exits.push(format!("gateway n{n} ended with {status}{}", program.last_log_line()));
            }
        }
        (!exits.is_empty()).then(|| exits.join("; "))
    }

    /// Records the resource usage of the gateways that ran from the start, `span` ago.
    fn record_resource_usage(&self, span: Duration) {
        let mut figures = self.world.figures.borrow_mut();
        for process in &self.world.gateways {
            let program = process.program.borrow();
            // A restarted gateway has not been running for the whole trial.
            let Some(used) =
                program.as_ref().filter(|_| process.incarnation.get() == 1).and_then(Program::resource_usage)
            else {
                continue;
            };
            figures.processor_ms.push((used.processor_ms as f64 / span.as_secs_f64()) as u64);
            figures.memory_kb.push(used.memory_kb);
            figures.descriptors.push(used.descriptors);
        }
    }

    // Faults

    /// Waits for the time of a fault of the scenario, applies the fault, and ends it after its duration.
    async fn inject_fault(self, number: usize) {
        let world = &self.world;
        let fault = &world.scenario.faults[number];
        let (begin, end) = (ns(fault.at_s, SECOND), ns(fault.at_s + fault.for_s, SECOND));
        sleep_until(world.clock.instant_at(START_NS + begin)).await;
        let affected = world.scenario.fault_targets(fault, &mut *world.rng.borrow_mut());
        let Some(net) = world.net.get() else { return };
        let span = Duration::from_secs_f64(fault.for_s);
        let interval = span / affected.len().max(1) as u32;
        match fault.kind {
            Trouble::Kill => affected.iter().for_each(|n| self.stop_server(*n)),
            Trouble::Silent => affected.iter().for_each(|n| net.update_server(*n, |s| s.silent = true)),
            Trouble::Slow => {
                affected.iter().for_each(|n| world.stand_ins[*n].model.borrow_mut().slowdown = fault.factor);
            }
            Trouble::Fail => {
                affected.iter().for_each(|n| world.stand_ins[*n].failure_probability.set(fault.factor));
            }
            Trouble::Refuse => {
                affected.iter().for_each(|n| world.stand_ins[*n].model.borrow_mut().refusing = true);
            }
            Trouble::Release => {
                for n in affected {
                    spawn_local(self.clone().release_server(n));
                    sleep(interval).await;
                }
                return;
            }
            Trouble::Cut | Trouble::Reset | Trouble::Delay => {
                if let Some(Ok(link)) = Link::of(fault, &world.scenario) {
                    let affected = link.resolve(&world.scenario, &mut *world.rng.borrow_mut());
                    net.begin_fault(number, fault.kind, affected, fault.factor);
                }
            }
            Trouble::Restart => {
                affected.iter().for_each(|n| self.kill(*n));
                sleep(RESTART_DELAY).await;
                for n in &affected {
                    self.restart(*n).await;
                    tokio::task::yield_now().await;
                }
                return;
            }
            Trouble::Rolling => {
                for n in affected {
                    spawn_local(self.clone().restart_gracefully(n));
                    sleep(interval).await;
                }
                return;
            }
            Trouble::Pause => self.signal_all(&affected, Signal::STOP, Some(span)),
            Trouble::Hangup => return self.signal_all(&affected, Signal::HUP, None),
            Trouble::ListDown => net.set_list_silent(true),
            Trouble::Flood => world.flood.set(world.flood.get() * fault.factor),
            Trouble::MeterDown => world.meter_down.set(world.meter_down.get() + 1),
        }
        sleep_until(world.clock.instant_at(START_NS + end)).await;
        match fault.kind {
            Trouble::Kill => affected.iter().for_each(|n| self.start_server(*n)),
            Trouble::Silent => affected.iter().for_each(|n| net.update_server(*n, |s| s.silent = false)),
            Trouble::Slow => {
                affected.iter().for_each(|n| world.stand_ins[*n].model.borrow_mut().slowdown = 1.0);
            }
            Trouble::Fail => affected.iter().for_each(|n| world.stand_ins[*n].failure_probability.set(0.0)),
            Trouble::Refuse => {
                affected.iter().for_each(|n| world.stand_ins[*n].model.borrow_mut().refusing = false);
            }
            Trouble::Cut | Trouble::Reset | Trouble::Delay => net.end_fault(number),
            Trouble::Pause => self.signal_all(&affected, Signal::CONT, None),
            Trouble::ListDown => net.set_list_silent(false),
            Trouble::Flood if fault.factor > 0.0 => world.flood.set(world.flood.get() / fault.factor),
            Trouble::Flood => world.flood.set(1.0),
            Trouble::MeterDown => world.meter_down.set(world.meter_down.get() - 1),
            Trouble::Release | Trouble::Restart | Trouble::Rolling | Trouble::Hangup => {}
        }
    }

    /// Sends a signal to running gateways. `pause` is how long the gateways stay paused, if the signal pauses
    /// them.
    fn signal_all(&self, gateways: &[usize], signal: Signal, pause: Option<Duration>) {
        for n in gateways.iter().filter(|n| self.world.is_running(**n)) {
            let process = &self.world.gateways[*n];
            if let Some(pause) = pause {
                process.paused_until.set(self.world.clock.now() + pause.as_nanos() as u64);
                self.world.excuse_open_requests(*n);
            }
            if let Some(program) = process.program.borrow_mut().as_mut() {
                program.signal(signal);
            }
        }
    }

    /// Crashes a server, unless it is down already.
    fn stop_server(&self, n: usize) {
        let stand_in = &self.world.stand_ins[n];
        if stand_in.up.get() {
            stand_in.crash();
            self.update_links(n);
            self.world.announce(n, State::Gone);
        }
    }

    /// Starts a server again, unless it is up already.
    fn start_server(&self, n: usize) {
        let stand_in = &self.world.stand_ins[n];
        if !stand_in.up.get() {
            stand_in.start(self.world.clock.now());
            self.update_links(n);
            self.world.announce(n, State::Ready);
        }
    }

    /// Tells the relays whether a server is up, and its incarnation.
    fn update_links(&self, n: usize) {
        let stand_in = &self.world.stand_ins[n];
        if let Some(net) = self.world.net.get() {
            net.update_server(n, |s| {
                (s.down, s.incarnation) = (!stand_in.up.get(), stand_in.incarnation.get());
            });
        }
    }

    /// Drains a server, stops it and starts it again.
    async fn release_server(self, n: usize) {
        let stand_in = &self.world.stand_ins[n];
        if !stand_in.up.get() || stand_in.state.get() != State::Ready {
            return;
        }
        stand_in.model.borrow_mut().draining = true;
        self.world.announce(n, State::Terminating);
        sleep(DRAIN_TIME).await;
        self.stop_server(n);
        sleep(RELEASE_DOWNTIME).await;
        self.start_server(n);
    }
}

/// Samples the lag of this program's event loop.
async fn measure_event_loop_lag(world: Rc<World>) {
    loop {
        let due = Instant::now() + LAG_SAMPLE_INTERVAL;
        sleep_until(due).await;
        // The timer has a resolution of one millisecond.
        let late = Instant::now().saturating_duration_since(due + Duration::from_millis(1));
        world.figures.borrow_mut().event_loop_lags.push(late);
    }
}

/// A gateway's configuration file, in the platform's format.
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
        "discovery": address(world.addresses.relay(n, Target::List)),
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
        // The list is rendered as text for the gateway and parsed again.
        whole["known"] = serde_json::from_str(&world.list_service.full_list_text(n)).unwrap_or_default();
    }
    whole
}
