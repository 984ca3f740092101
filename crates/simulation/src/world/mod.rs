//! The simulated world of one day: machines, network, disks, clocks, workers, platform, operator and clients.

mod calls;
mod clients;
mod cores;
mod edges;
mod event;
mod fault_injection;
mod idle;
mod network;
mod operator;
mod platform;
mod queue;
mod setting_up;
mod turns;

use std::collections::{BTreeMap, HashMap};

use fastrand::Rng;
use scheduler::ids::TaskKey;

use crate::digest::DayDigest;
use crate::history::{History, Span};
use crate::script::{InjectedFault, Script};
use crate::site::Site;
use crate::time::{ms, MS};
use crate::workers::Fleet;
use crate::workload::JobPlan;

use calls::WorkerCalls;
use clients::Clients;
use cores::CoreMachine;
use edges::{Connection, Edge};
use idle::IdleWatch;
use network::Network;
use operator::Operator;
use platform::Platform;
use queue::Queue;

pub(crate) use event::{Event, Intent};
pub use network::FIRST_EDGE;

/// Maximum number of events in a day. A higher number means an endless loop.
const MAX_EVENTS: u64 = 3_000_000;
/// Maximum number of events in a day that simulates processor time; such days have far more jobs.
const MAX_EVENTS_OF_LOADED_DAY: u64 = 60_000_000;
/// Maximum number of events within a millisecond. A higher number means a busy loop.
const MAX_EVENTS_PER_MS: u64 = 5_000;

/// A day that is being simulated.
pub struct World {
    site: Site,
    script: Script,
    rng: Rng,
    now: u64,
    queue: Queue<Event>,
    network: Network,
    cores: Vec<CoreMachine>,
    edges: Vec<Edge>,
    connections: Vec<Connection>,
    fleet: Fleet,
    fleet_wakes_at: u64,
    worker_calls: WorkerCalls,
    platform: Platform,
    operator: Operator,
    clients: Clients,
    jobs: Vec<JobPlan>,
    faults: Vec<InjectedFault>,
    idle: IdleWatch,
    /// Fraction of the orders that workers carry out late.
    late_share: f64,
    /// Time at which each task ended successfully, as listed by its worker.
    task_done_at: HashMap<TaskKey, u64>,
    incarnations: BTreeMap<String, usize>,
    /// The final fault is injected at the next acknowledgement.
    final_fault_armed: bool,
    /// After the next accepted job, the leader loses power for this long.
    power_loss_after_accept: Option<u64>,
    /// After the next accepted job, all core machines lose power for this long.
    power_loss_of_all_after_accept: Option<u64>,
    /// After a worker next drops ends that the leader recorded, the leader loses power for this long.
    power_loss_after_record: Option<u64>,
    history: History,
    /// Hashes all events if a digest is wanted.
    digest: Option<DayDigest>,
    trace: bool,
}

impl World {
    /// Creates the world of a day.
    pub fn new(site: Site, script: Script) -> World {
        setting_up::set_up(site, script)
    }

    /// Prints events to standard error.
    pub fn with_trace(mut self) -> World {
        self.trace = true;
        self
    }

    /// Simulates the day to its end and returns what was observed.
    pub fn play(mut self) -> History {
        self.play_to_end();
        self.history
    }

    /// Simulates the day to its end and returns the digest of all events as 64 hex digits.
    pub fn play_for_digest(mut self) -> String {
        self.digest = Some(DayDigest::default());
        self.play_to_end();
        let mut digest = self.digest.unwrap_or_default();
        for (machine, core) in self.cores.iter().enumerate() {
            digest.disk(machine, &core.directory);
        }
        digest.history(&self.history);
        digest.finish()
    }

    fn play_to_end(&mut self) {
        let end = self.day_end();
        let max_events = if self.site.processor.is_some() { MAX_EVENTS_OF_LOADED_DAY } else { MAX_EVENTS };
        let mut events = 0;
        let (mut millisecond, mut events_in_it) = (0, 0);
        while let Some((at, event)) = self.queue.pop() {
            if at > end {
                break;
            }
            events += 1;
            if std::mem::replace(&mut millisecond, at / MS) != at / MS {
                events_in_it = 0;
            }
            events_in_it += 1;
            if events > max_events || events_in_it > MAX_EVENTS_PER_MS {
                let text = format!("the day does not come to an end: {event:?}");
                self.record_process_fault(0, text.chars().take(200).collect());
                break;
            }
            self.now = self.now.max(at);
            if let Some(digest) = &mut self.digest {
                digest.event(self.now, &event);
            }
            self.handle_event(event);
            self.schedule_fleet();
        }
        self.now = end;
        self.fleet.advance(end, &mut self.history);
        self.history.ended_at = end;
    }

    fn day_end(&self) -> u64 {
        let closing = if self.script.closing.is_some() { ms(self.site.bounds.recovery_ms) } else { 0 };
        self.site.day_length() + closing + ms(self.site.bounds.finish_ms)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::CoreStarts { machine, power } => self.core_starts(machine, power),
            Event::CoreWakes { machine, incarnation, generation } => {
                self.core_wakes(machine, incarnation, generation);
            }
            Event::TurnBegins { machine, incarnation } => self.turn_begins(machine, incarnation),
            Event::TurnEnds { machine, incarnation, outputs } => {
                self.turn_ends(machine, incarnation, outputs);
            }
            Event::CoreFrame { machine, from, frame } => self.core_frame(machine, from, frame),
            Event::PeerLost { machine, incarnation, lost } => self.peer_lost(machine, incarnation, lost),
            Event::PeerRefused { machine, incarnation, refused } => {
                self.peer_refused(machine, incarnation, refused);
            }
            Event::CoreFreezes { machine, until } => self.freeze_core(machine, until),
            Event::CoreLeaves { machine, incarnation } => self.core_leaves(machine, incarnation),
            Event::DiskDone { machine, incarnation } => self.disk_done(machine, incarnation),
            Event::GraceEnds { machine, incarnation } => self.grace_ends(machine, incarnation),
            Event::EdgeStarts { edge } => self.edge_starts(edge),
            Event::EdgeWakes { edge, incarnation, generation } => {
                self.edge_wakes(edge, incarnation, generation);
            }
            Event::EdgeConnects { connection } => self.edge_connects(connection),
            Event::EdgeConnected { connection, stands } => self.edge_connected(connection, stands),
            Event::EdgeFrame { connection, frame } => self.edge_frame(connection, frame),
            Event::ToEdge { connection, frame } => self.frame_to_edge(connection, frame),
            Event::EdgeHungUp { connection } => self.edge_hung_up(connection),
            Event::CoreHungUp { connection } => self.core_hung_up(connection),
            Event::ReadinessAsked => self.ask_readiness(),
            Event::JobComes { job } => self.job_comes(job),
            Event::ClientSends { job, intent } => self.client_sends(job, intent),
            Event::ClientArrives { call, edge_incarnation } => self.client_arrives(call, edge_incarnation),
            Event::ClientAnswered { call, answer } => self.client_answered(call, answer),
            Event::ClientLeaves { call } => self.client_leaves(call),
            Event::ClientCounts { prefix } => self.count_queue(prefix),
            Event::CallArrives { call } => self.call_arrives(call),
            Event::CallAnswered { call, outcome } => self.call_answered(call, outcome),
            Event::FleetWakes { at } => self.fleet_wakes(at),
            Event::ListAsked { machine, incarnation, term } => self.list_asked(machine, incarnation, term),
            Event::ListArrives { machine, incarnation, term, version } => {
                self.list_arrives(machine, incarnation, term, version);
            }
            Event::WorkerBoots { worker } => self.worker_boots(worker),
            Event::WorkerLeaves { worker } => self.worker_leaves(worker),
            Event::WorkerUnlisted { instance } => self.worker_unlisted(&instance),
            Event::OperatorSends { order } => self.operator_sends(order),
            Event::OperatorArrives { exchange } => self.operator_arrives(exchange),
            Event::OperatorAnswered { exchange, reply } => self.operator_answered(exchange, reply),
            Event::OperatorGivesUp { exchange } => self.operator_gives_up(exchange),
            Event::ReadBack => self.read_back(),
            Event::OperatorQueries => self.operator_queries(),
            Event::FaultBegins { fault } => self.fault_begins(fault),
            Event::FaultEnds { fault, touched } => self.fault_ends(fault, &touched),
            Event::PartitionEnds => self.end_partitions(),
            Event::ChecksIdle => self.check_idle(),
            Event::PowerFails { machine, incarnation, wipe, lasts } => {
                self.power_fails(machine, incarnation, wipe, lasts);
            }
            Event::FirstConfiguration => self.send_first_configuration(),
            Event::FinalQuestions => self.read_all_jobs(),
            Event::Closing => self.arm_final_fault(),
        }
    }

    /// Schedules the next timer of the workers and sends the answers to long polls that became due.
    fn schedule_fleet(&mut self) {
        for (token, outcome) in std::mem::take(&mut self.fleet.answered) {
            self.send_worker_answer(token, outcome);
        }
        let next = self.fleet.next_timer();
        if next < self.fleet_wakes_at {
            self.fleet_wakes_at = next;
            self.queue.push(next, Event::FleetWakes { at: next });
        }
    }

    fn fleet_wakes(&mut self, at: u64) {
        if at != self.fleet_wakes_at {
            return;
        }
        self.fleet_wakes_at = u64::MAX;
        self.fleet.advance(self.now, &mut self.history);
    }

    fn record_process_fault(&mut self, machine: usize, text: String) {
        let at = self.now;
        self.history.process_faults.push(crate::history::ProcessFault { machine, at, text });
    }

    /// Records a fault of a machine from now until the given time.
    fn record_machine_fault(&mut self, machine: usize, until: u64) {
        let span = Span { from: self.now, until };
        self.history.machine_faults.push((machine, span));
    }

    fn record_core_fault(&mut self, until: u64) {
        let span = Span { from: self.now, until };
        self.history.core_faults.push(span);
    }

    fn trace(&self, text: impl FnOnce() -> String) {
        if self.trace {
            eprintln!("{:>9.4} {}", crate::time::seconds(self.now), text());
        }
    }
}
