//! Fault injection. Each submodule holds the faults of one kind of component.

mod clients;
mod cores;
mod edges;
mod final_fault;
mod groups;
mod power_loss;
mod replacement;
mod workers;

use crate::history::Span;
use crate::script::{FaultKind, InjectedFault};
use crate::time::{seconds, MS, SECOND};
use crate::world::event::Event;
use crate::world::World;

/// Delay before a fault is retried that would lose too many machines at the same time, in nanoseconds.
const RETRY_DELAY_NS: u64 = 500 * MS;
/// Longest power loss of all core machines right after a job was accepted, in nanoseconds.
const MAX_POWER_LOSS_AFTER_ACCEPT_NS: u64 = 4 * SECOND;

impl World {
    pub(super) fn fault_begins(&mut self, position: usize) {
        let fault = self.faults[position];
        let traffic_end = self.site.traffic_start + self.site.traffic_length;
        if fault.kind.loses_core() && self.lost_cores() >= self.site.tolerated_core_losses {
            if self.now + RETRY_DELAY_NS < traffic_end {
                self.queue.push(self.now + RETRY_DELAY_NS, Event::FaultBegins { fault: position });
            }
            return;
        }
        self.trace(|| format!("fault: {:?} for {:.1} s", fault.kind, seconds(fault.lasts)));
        let touched = self.carry_out(&fault);
        self.queue.push(self.now + fault.lasts, Event::FaultEnds { fault: position, touched });
    }

    pub(super) fn fault_ends(&mut self, position: usize, touched: &[usize]) {
        use FaultKind::*;
        let now = self.now;
        match self.faults[position].kind {
            AppliedLate => self.late_share = 0.0,
            AckLost => self.operator.lost_share = 0.0,
            GiveUp => self.clients.leave_early = false,
            GiveUpAndCancel => self.clients.leave_and_cancel = false,
            DiskSlow(_) => touched.iter().for_each(|machine| self.cores[*machine].disk_factor = 1),
            DiskFull(_) => {
                touched.iter().for_each(|machine| self.cores[*machine].directory.set_capacity(None));
            }
            ClockStep => touched.iter().for_each(|machine| self.cores[*machine].wall_clock_offset_ms = 0),
            WorkerSlow | WorkerFailing | WorkerStalled | WorkerBusy | WorkerMute | WorkerHang => {
                for worker in touched {
                    self.fleet.set_condition(*worker, now, |condition| *condition = Default::default());
                }
            }
            _ => {}
        }
    }

    /// Carries out a fault. Returns the affected workers or machines.
    fn carry_out(&mut self, fault: &InjectedFault) -> Vec<usize> {
        use FaultKind::*;
        match fault.kind {
            AllCoresKill => self.inject_on_all_cores(false, 0),
            AllCoresPower => self.inject_on_all_cores(true, fault.lasts),
            AllCoresAfterAccept => {
                self.power_loss_of_all_after_accept = Some(fault.lasts.min(MAX_POWER_LOSS_AFTER_ACCEPT_NS));
            }
            ClockStep => return self.jump_clock(fault),
            EdgesLost => self.kill_most_edges(fault.lasts),
            EdgeKill | EdgeFreeze | EdgePartition => self.inject_on_edge(fault),
            ResetConnections => self.reset_connections(fault),
            AppliedLate => {
                self.late_share = 0.05 + 0.45 * (fault.pick % 100) as f64 / 100.0;
                let span = Span { from: self.now, until: self.now + fault.lasts };
                self.history.late_orders.push(span);
            }
            ConfigChange => self.change_configuration(),
            ConfigRace => self.race_configurations(),
            BadConfig => self.send_bad_configuration(fault.pick),
            AckLost => {
                self.operator.lost_share = 0.7;
                self.change_configuration();
            }
            Burst => self.burst(fault, false),
            Poison => self.burst(fault, true),
            Cancels => self.cancel_many(fault),
            GiveUp => self.clients.leave_early = true,
            GiveUpAndCancel => self.clients.leave_and_cancel = true,
            kind if kind.loses_core() => return self.inject_on_core(fault),
            _ => return self.inject_on_workers(fault),
        }
        Vec::new()
    }
}
