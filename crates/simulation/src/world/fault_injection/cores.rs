//! Faults of single core machines: process, power, disk, network and clock.

use crate::script::{FaultKind, InjectedFault, Target};
use crate::time::{ms, MS};
use crate::world::event::Event;
use crate::world::network::{Endpoint, Partition};
use crate::world::World;

/// Connections are refused within this time, in nanoseconds.
const MAX_REFUSAL_DELAY_NS: u64 = 60 * MS;
/// Period of a slow process, in nanoseconds. The process is frozen during the first part of each period.
const SLOW_PERIOD_NS: u64 = 60 * MS;
/// Frozen part of the period, in nanoseconds: the process runs at a fifth of its speed.
const FROZEN_TIME_NS: u64 = 48 * MS;
/// Factor by which a slow disk takes longer.
const SLOW_DISK_FACTOR: u64 = 30;
/// Size of a clock jump, in milliseconds.
const CLOCK_JUMP_MS: i64 = 2_000;

impl World {
    /// Number of core machines that count as lost.
    pub(super) fn lost_cores(&self) -> usize {
        let now = self.now;
        let lost = |machine: &&usize| {
            let core = &self.cores[**machine];
            core.exists && (core.lost_until > now || core.process.is_none() || core.frozen_until > now)
        };
        let all: Vec<usize> = (0..self.cores.len()).collect();
        all.iter().filter(lost).count()
    }

    fn target(&mut self, fault: &InjectedFault) -> Option<usize> {
        let running: Vec<usize> =
            (0..self.cores.len()).filter(|machine| self.cores[*machine].is_awake(self.now)).collect();
        let chosen = running.get(fault.pick as usize % running.len().max(1)).copied();
        match fault.kind.target() {
            Target::Leader => self.leader().or(chosen),
            Target::Oldest => running.into_iter().min_by_key(|machine| self.cores[*machine].disk_since),
            Target::Any => chosen,
        }
    }

    /// Injects a fault into a core machine, or arms one that waits for an acknowledgement. Returns the
    /// affected machine.
    pub(super) fn inject_on_core(&mut self, fault: &InjectedFault) -> Vec<usize> {
        if self.arm_power_loss(fault) {
            return Vec::new();
        }
        let Some(machine) = self.target(fault) else { return Vec::new() };
        let until = self.now + fault.lasts;
        self.record_core_loss(machine, until);
        self.inject_on_machine(machine, fault);
        vec![machine]
    }

    /// Arms a power loss that waits for an acknowledgement. Returns false for any other kind of fault.
    fn arm_power_loss(&mut self, fault: &InjectedFault) -> bool {
        use FaultKind::*;
        match fault.kind {
            AfterAckPower | AfterAckWipe => {
                self.operator.power_loss_after_acknowledgement =
                    Some((fault.kind == AfterAckWipe, fault.lasts));
                self.change_configuration();
            }
            AfterAcceptPower => self.power_loss_after_accept = Some(fault.lasts),
            AfterRecordPower => self.power_loss_after_record = Some(fault.lasts),
            _ => return false,
        }
        true
    }

    fn inject_on_machine(&mut self, machine: usize, fault: &InjectedFault) {
        use FaultKind::*;
        let until = self.now + fault.lasts;
        match fault.kind {
            CoreKill(_) => {
                self.end_core_process(machine, false, false);
                self.restart_core(machine, ms(100 + fault.pick % 900));
            }
            CorePower(_) => {
                self.end_core_process(machine, true, false);
                self.restart_core(machine, fault.lasts);
            }
            CoreWipe(_) => {
                self.end_core_process(machine, true, true);
                self.restart_core(machine, fault.lasts);
            }
            CoreReplace(_) => self.replace_core(machine),
            CoreReplacePlanned(_) => self.replace_core_as_planned(machine),
            CoreRefuse(_) => self.refuse_core(machine, until),
            CoreSlow(_) => self.slow_core(machine, until),
            CoreFreeze(_) => self.cores[machine].frozen_until = until,
            CorePartition(_) => self.partition(Partition::FromCores(machine), until),
            CorePartitionOneWay(_) => self.partition(Partition::SendsToCores(machine), until),
            CoreIsolate(_) => self.partition(Partition::FromAll(Endpoint::Core(machine)), until),
            CoreTerm(_) => self.stop_core(machine),
            DiskSlow(_) => self.cores[machine].disk_factor = SLOW_DISK_FACTOR,
            DiskStall(_) => self.cores[machine].disk_stalled_until = until,
            DiskFull(_) => {
                let directory = &self.cores[machine].directory;
                directory.set_capacity(Some(directory.used_bytes()));
            }
            _ => {}
        }
    }

    /// Records that a core machine is lost until the given time, plus the time it needs to catch up.
    pub(super) fn record_core_loss(&mut self, machine: usize, until: u64) {
        let caught_up = until + ms(self.site.bounds.catch_up_ms);
        self.cores[machine].lost_until = self.cores[machine].lost_until.max(caught_up);
        self.record_machine_fault(machine, until);
        self.record_core_fault(until);
    }

    /// Partitions a core machine from the other core machines by a filter that refuses connections in both
    /// directions.
    fn refuse_core(&mut self, machine: usize, until: u64) {
        self.partition(Partition::FromCores(machine), until);
        for other in (0..self.cores.len()).filter(|other| *other != machine) {
            for (refused_by, refused) in [(other, machine), (machine, other)] {
                let at = self.now + self.rng.u64(0..MAX_REFUSAL_DELAY_NS);
                let incarnation = self.cores[refused_by].incarnation;
                self.queue.push(at, Event::PeerRefused { machine: refused_by, incarnation, refused });
            }
        }
    }

    /// Slows a process down: it gets only a part of its time.
    fn slow_core(&mut self, machine: usize, until: u64) {
        let mut at = self.now;
        while at < until {
            self.queue.push(at, Event::CoreFreezes { machine, until: at + FROZEN_TIME_NS });
            at += SLOW_PERIOD_NS;
        }
    }

    pub(super) fn jump_clock(&mut self, fault: &InjectedFault) -> Vec<usize> {
        self.history.clocks_jump = true;
        let jump = if fault.pick & 1 == 0 { CLOCK_JUMP_MS } else { -CLOCK_JUMP_MS };
        let machine = fault.pick as usize / 2 % self.cores.len();
        self.cores[machine].wall_clock_offset_ms = jump;
        let until = self.now + fault.lasts;
        self.record_machine_fault(machine, until);
        self.record_core_fault(until);
        vec![machine]
    }
}
