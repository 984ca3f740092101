//! Core machines: their processes, disks and clocks.

use messages::peer::mod_PeerFrame::OneOfbody;
use messages::peer::{PeerFrame, Pong};
use scheduler::leader::LeaderSettings;
use storage::model::ModelDirectory;

use super::event::Event;
use super::network::Endpoint;
use super::turns::Turns;
use super::World;
use crate::core_process::{CoreEvent, CoreFrame, CoreOutput, CoreProcess, CoreSettings, SnapshotPolicy};
use crate::time::{ms, DAY_BEGINS_MS, MS, SECOND};

/// Pause before a failed write is retried, in nanoseconds.
const DISK_RETRY_NS: u64 = SECOND;
/// Time within which an edge's keepalive probes detect that the other machine is gone, in nanoseconds.
const KEEPALIVE_TIMEOUT_NS: u64 = 6 * SECOND;
/// Maximum number of disk operations that a write still completes when the process dies.
const MAX_HALTED_OPERATIONS: u64 = 6;
/// Number of seeds: the first machines of the core.
pub(super) const SEEDS: usize = 3;

/// A core machine.
pub(super) struct CoreMachine {
    pub(super) process: Option<CoreProcess>,
    /// Incremented at each start of the process.
    pub(super) incarnation: u32,
    /// Incremented when the machine loses power or its process dies. A pending start with an older value is
    /// dropped.
    pub(super) power: u32,
    pub(super) directory: ModelDirectory,
    /// The machine is part of the deployment.
    pub(super) exists: bool,
    /// The machine has power.
    pub(super) powered: bool,
    /// The process is frozen until this time.
    pub(super) frozen_until: u64,
    /// Factor by which syncs of the disk take longer.
    pub(super) disk_factor: u64,
    /// The disk finishes no write before this time.
    pub(super) disk_stalled_until: u64,
    /// Error of the wall clock, in milliseconds.
    pub(super) wall_clock_offset_ms: i64,
    /// The machine counts as lost until this time.
    pub(super) lost_until: u64,
    pub(super) had_first_start: bool,
    /// Time since which the disk has held its data without loss.
    pub(super) disk_since: u64,
    /// The machine was replaced: its process does not restart after it ends.
    pub(super) retired: bool,
    /// Turns of the process, on days that simulate processor time.
    pub(super) turns: Turns,
    /// The platform list that the machine read last: leadership term and list version.
    pub(super) last_list: Option<(u64, usize)>,
    /// Difference between the machine's monotonic clock and world time.
    pub(super) monotonic_offset: u64,
    /// Number of the latest timer; older timers are dropped.
    generation: u64,
    /// Time of the latest timer; `u64::MAX` if none is pending.
    wakes_at: u64,
}

impl CoreMachine {
    pub(super) fn new(seed: u64, exists: bool, monotonic_offset: u64) -> Self {
        CoreMachine {
            process: None,
            incarnation: 0,
            power: 0,
            directory: ModelDirectory::new(seed),
            exists,
            powered: exists,
            frozen_until: 0,
            disk_factor: 1,
            disk_stalled_until: 0,
            wall_clock_offset_ms: 0,
            lost_until: 0,
            had_first_start: false,
            disk_since: 0,
            retired: false,
            turns: Turns::default(),
            last_list: None,
            monotonic_offset,
            generation: 0,
            wakes_at: u64::MAX,
        }
    }

    /// Whether the process runs and is not frozen.
    pub(super) fn is_awake(&self, now: u64) -> bool {
        self.process.is_some() && self.frozen_until <= now
    }
}

impl World {
    pub(super) fn leader_settings(&self) -> LeaderSettings {
        LeaderSettings::from_bounds(&self.site.bounds)
    }

    pub(super) fn core_starts(&mut self, machine: usize, power: u32) {
        let core = &self.cores[machine];
        if core.power != power || core.process.is_some() || !core.exists {
            return;
        }
        let first = !core.had_first_start && machine < self.site.cores;
        let founders = if first { (0..SEEDS.min(self.site.cores)).collect() } else { Vec::new() };
        let settings = CoreSettings {
            machine,
            founders,
            seeds: (0..SEEDS.min(self.site.cores)).collect(),
            target_voters: (2 * self.site.tolerated_core_losses + 1).max(SEEDS.min(self.site.cores)),
            leader: self.leader_settings(),
            snapshot_policy: if self.site.processor.is_some() {
                SnapshotPolicy::USUAL
            } else {
                SnapshotPolicy::FREQUENT
            },
        };
        let rng = fastrand::Rng::with_seed(self.rng.u64(..));
        let now = self.now;
        let core = &mut self.cores[machine];
        core.had_first_start = true;
        core.powered = true;
        core.incarnation += 1;
        let monotonic_now = now + core.monotonic_offset;
        match CoreProcess::start(&settings, &core.directory, monotonic_now, rng) {
            Ok(process) => {
                core.process = Some(process);
                core.wakes_at = u64::MAX;
                self.trace(|| format!("core {machine} starts"));
                self.core_event(machine, CoreEvent::Tick);
            }
            Err(error) => self.record_process_fault(machine, format!("the store cannot be opened: {error}")),
        }
    }

    /// Ends a machine's process. If `power_lost`, data that was not synced may be lost as well.
    pub(super) fn end_core_process(&mut self, machine: usize, power_lost: bool, wipe: bool) {
        let now = self.now;
        let operations = self.rng.u64(0..=MAX_HALTED_OPERATIONS);
        let core = &mut self.cores[machine];
        if let Some(process) = core.process.as_mut() {
            process.halt_disk(operations);
        }
        core.process = None;
        core.turns.clear();
        core.power += 1;
        core.powered = !power_lost;
        core.frozen_until = core.frozen_until.min(now);
        if wipe {
            core.directory.erase();
            core.disk_since = now;
        } else if power_lost {
            core.directory.lose_power();
        } else {
            core.directory.kill();
        }
        self.trace(|| format!("core {machine} dies (power lost: {power_lost}, disk lost: {wipe})"));
        if power_lost {
            self.schedule_keepalive_timeouts(machine);
        } else {
            self.break_streams_of(machine);
        }
    }

    /// Schedules the time at which edges notice a machine without power. Such a machine closes no
    /// connections, so only the edges' keepalive probes find out.
    fn schedule_keepalive_timeouts(&mut self, machine: usize) {
        let at = self.now + KEEPALIVE_TIMEOUT_NS;
        for (position, connection) in self.connections.iter().enumerate() {
            if connection.core == machine && connection.is_open {
                self.queue.push(at, Event::EdgeHungUp { connection: position });
            }
        }
    }

    /// Closes the sockets of a dead process, as the machine's operating system does; the other ends are
    /// notified.
    fn break_streams_of(&mut self, machine: usize) {
        for other in 0..self.cores.len() {
            if other != machine {
                let incarnation = self.cores[other].incarnation;
                let event = Event::PeerLost { machine: other, incarnation, lost: machine };
                self.send_on_stream(Endpoint::Core(machine), Endpoint::Core(other), 0, event);
            }
        }
        for connection in 0..self.connections.len() {
            if self.connections[connection].core == machine && self.connections[connection].is_open {
                self.connections[connection].is_open = false;
                self.hang_up_edge(connection);
            }
        }
    }

    pub(super) fn core_wakes(&mut self, machine: usize, incarnation: u32, generation: u64) {
        let core = &self.cores[machine];
        if core.incarnation != incarnation || core.generation != generation || core.process.is_none() {
            return;
        }
        if core.frozen_until > self.now {
            let event = Event::CoreWakes { machine, incarnation, generation };
            self.queue.push(core.frozen_until, event);
            return;
        }
        self.cores[machine].wakes_at = u64::MAX;
        self.core_event(machine, CoreEvent::Tick);
    }

    pub(super) fn core_frame(&mut self, machine: usize, from: usize, frame: CoreFrame) {
        if self.cores[machine].process.is_none() {
            return;
        }
        if self.cores[machine].frozen_until > self.now {
            let event = Event::CoreFrame { machine, from, frame };
            self.queue.push(self.cores[machine].frozen_until, event);
            return;
        }
        self.core_event(machine, CoreEvent::Frame { from, frame });
    }

    pub(super) fn peer_lost(&mut self, machine: usize, incarnation: u32, lost: usize) {
        if self.cores[machine].incarnation != incarnation {
            return;
        }
        self.core_event_when_awake(machine, CoreEvent::PeerLost { machine: lost }, |_| Event::PeerLost {
            machine,
            incarnation,
            lost,
        });
    }

    /// Delivers the refusal of a connection to another core machine.
    pub(super) fn peer_refused(&mut self, machine: usize, incarnation: u32, refused: usize) {
        if self.cores[machine].incarnation != incarnation {
            return;
        }
        let event = CoreEvent::PeerRefused { machine: refused };
        self.core_event_when_awake(machine, event, |_| Event::PeerRefused { machine, incarnation, refused });
    }

    /// Freezes a running process until the given time.
    pub(super) fn freeze_core(&mut self, machine: usize, until: u64) {
        let core = &mut self.cores[machine];
        if core.process.is_some() {
            core.frozen_until = core.frozen_until.max(until);
        }
    }

    pub(super) fn disk_done(&mut self, machine: usize, incarnation: u32) {
        if self.cores[machine].incarnation != incarnation {
            return;
        }
        let stalled = self.cores[machine].disk_stalled_until;
        if stalled > self.now {
            self.queue.push(stalled, Event::DiskDone { machine, incarnation });
            return;
        }
        self.core_event_when_awake(machine, CoreEvent::DiskDone, |_| Event::DiskDone {
            machine,
            incarnation,
        });
    }

    /// Passes an event to a process, or reschedules it for the end of the freeze.
    pub(super) fn core_event_when_awake(
        &mut self,
        machine: usize,
        event: CoreEvent,
        again: impl FnOnce(CoreEvent) -> Event,
    ) {
        let core = &self.cores[machine];
        if core.process.is_none() {
            return;
        }
        if core.frozen_until > self.now {
            let until = core.frozen_until;
            self.queue.push(until, again(event));
            return;
        }
        self.core_event(machine, event);
    }

    /// Passes an event to a process and carries out its outputs.
    pub(super) fn core_event(&mut self, machine: usize, event: CoreEvent) {
        if self.site.processor.is_some() {
            self.enqueue_core_event(machine, event);
            return;
        }
        let now = self.now;
        let core = &mut self.cores[machine];
        let monotonic_now = now + core.monotonic_offset;
        let time_of_day_ms = (DAY_BEGINS_MS + now / MS).saturating_add_signed(core.wall_clock_offset_ms);
        let Some(process) = core.process.as_mut() else { return };
        let was_leading = process.is_leading();
        let mut out = Vec::new();
        process.handle(monotonic_now, time_of_day_ms, event, &mut out);
        let leads = process.is_leading();
        let holds_lease = process.holds_lease(monotonic_now);
        if leads != was_leading {
            let term = process.node().term();
            self.trace(|| {
                format!("core {machine} {} in term {term}", if leads { "leads" } else { "leads no longer" })
            });
        }
        for output in out {
            self.core_output(machine, output);
        }
        if holds_lease {
            self.check_leases(machine);
        }
        self.schedule_core(machine);
    }

    /// Checks that no other process, frozen or not, holds a lease at the same time as `holder`.
    pub(super) fn check_leases(&mut self, holder: usize) {
        let now = self.now;
        let holds_too = |machine: &usize| {
            let core = &self.cores[*machine];
            let process = core.process.as_ref().filter(|_| *machine != holder);
            process.is_some_and(|process| process.holds_lease(now + core.monotonic_offset))
        };
        if let Some(other) = (0..self.cores.len()).find(holds_too) {
            self.record_process_fault(
                holder,
                format!("machines {holder} and {other} hold a lease at one time"),
            );
        }
    }

    pub(super) fn schedule_core(&mut self, machine: usize) {
        let now = self.now;
        let core = &mut self.cores[machine];
        let Some(process) = &core.process else { return };
        let next = process.next_timer().saturating_sub(core.monotonic_offset).max(now + 1);
        if next >= core.wakes_at && core.wakes_at > now {
            return;
        }
        core.wakes_at = next;
        core.generation += 1;
        let event = Event::CoreWakes { machine, incarnation: core.incarnation, generation: core.generation };
        if process.next_timer() != u64::MAX {
            self.queue.push(next, event);
        }
    }

    pub(super) fn core_output(&mut self, machine: usize, output: CoreOutput) {
        if let Some(digest) = &mut self.digest {
            digest.core_output(self.now, machine, &output);
        }
        match output {
            CoreOutput::ToCore { machine: to, frame } => self.send_to_core(machine, to, frame),
            CoreOutput::Notice { connection, notice } => {
                self.send_to_edge(connection, OneOfbody::leader(notice));
            }
            CoreOutput::Reply { connection, reply } => {
                self.inject_after_acceptance(machine, &reply);
                self.send_to_edge(connection, OneOfbody::reply(reply));
            }
            CoreOutput::Pong { connection, number } => {
                self.send_to_edge(connection, OneOfbody::pong(Pong { number }));
            }
            CoreOutput::Operator { call, reply } => self.answer_operator(machine, call as usize, reply),
            CoreOutput::Call { term, call, address, instance, request } => {
                self.call_worker(machine, term, call, &address, instance, request);
            }
            CoreOutput::CancelCall { term, call } => self.cancel_worker_call(machine, term, call),
            CoreOutput::ReadInstances { term } => self.read_list(machine, term),
            CoreOutput::DiskBegins => self.disk_begins(machine),
            CoreOutput::DiskRetries => {
                let event = Event::DiskDone { machine, incarnation: self.cores[machine].incarnation };
                self.queue.push(self.now + DISK_RETRY_NS, event);
            }
            CoreOutput::Removed => {
                self.trace(|| format!("core {machine} was removed from the group"));
                self.end_core_process(machine, false, true);
                self.restart_core(machine, 0);
            }
            CoreOutput::Stopped => {
                if self.cores[machine].process.is_some() {
                    self.end_core_process(machine, false, false);
                    self.restart_core(machine, ms(300));
                }
            }
            CoreOutput::Failed(text) => self.record_process_fault(machine, text),
        }
    }

    fn disk_begins(&mut self, machine: usize) {
        let core = &self.cores[machine];
        let spread = self.rng.u64(0..=self.site.disk_sync / 2);
        let at = self.now + (self.site.disk_sync + spread) * core.disk_factor;
        self.queue.push(at, Event::DiskDone { machine, incarnation: core.incarnation });
    }

    fn send_to_core(&mut self, from: usize, to: usize, frame: CoreFrame) {
        if to >= self.cores.len() || !self.cores[to].powered || !self.cores[to].exists {
            return;
        }
        let event = Event::CoreFrame { machine: to, from, frame };
        self.send_on_stream(Endpoint::Core(from), Endpoint::Core(to), 0, event);
    }

    fn send_to_edge(&mut self, connection: u64, body: OneOfbody) {
        let connection = connection as usize;
        let Some(link) = self.connections.get(connection).filter(|link| link.is_open) else { return };
        let (from, to) = (Endpoint::Core(link.core), Endpoint::Edge(link.edge));
        let event = Event::ToEdge { connection, frame: PeerFrame { body } };
        self.send_on_stream(from, to, connection as u64 + 1, event);
    }

    pub(super) fn restart_core(&mut self, machine: usize, after: u64) {
        if self.cores[machine].retired {
            self.cores[machine].exists = false;
            return;
        }
        let power = self.cores[machine].power;
        self.queue.push(self.now + after, Event::CoreStarts { machine, power });
    }

    /// Sends SIGTERM: the process hands over and exits, or is killed after the grace period.
    pub(super) fn stop_core(&mut self, machine: usize) {
        let incarnation = self.cores[machine].incarnation;
        let grace = ms(self.site.bounds.grace_ms);
        self.queue.push(self.now + grace, Event::GraceEnds { machine, incarnation });
        if self.cores[machine].is_awake(self.now) {
            self.core_event(machine, CoreEvent::Stop);
        }
    }

    pub(super) fn grace_ends(&mut self, machine: usize, incarnation: u32) {
        if self.cores[machine].incarnation == incarnation && self.cores[machine].process.is_some() {
            self.end_core_process(machine, false, false);
            self.restart_core(machine, ms(300));
        }
    }

    /// The core machine that leads in the highest term, if any.
    pub(super) fn leader(&self) -> Option<usize> {
        let leads = |machine: &usize| {
            let process = self.cores[*machine].process.as_ref();
            process.is_some_and(CoreProcess::is_leading)
        };
        let term = |machine: &usize| {
            self.cores[*machine].process.as_ref().map_or(0, |process| process.node().term())
        };
        (0..self.cores.len()).filter(leads).max_by_key(term)
    }
}
