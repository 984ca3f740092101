//! Power losses just after a machine acknowledged something.

use messages::peer::{ClientReply, Outcome};

use crate::time::MS;
use crate::world::event::Event;
use crate::world::World;

/// A machine loses power within this time of an acknowledgement, in nanoseconds.
const MAX_POWER_LOSS_DELAY_NS: u64 = 4 * MS;

impl World {
    /// Injects the faults that wait for the acceptance of a job.
    pub(in crate::world) fn inject_after_acceptance(&mut self, machine: usize, reply: &ClientReply) {
        if reply.outcome != Outcome::ACCEPTED {
            return;
        }
        if let Some(lasts) = self.power_loss_after_accept.take() {
            self.schedule_power_loss(machine, false, lasts);
        }
        if let Some(lasts) = self.power_loss_of_all_after_accept.take() {
            self.inject_on_all_cores(true, lasts);
        }
    }

    /// Injects the fault that waits for a worker to drop ends that the leader recorded. `machine` is the
    /// leader.
    pub(in crate::world) fn inject_after_record(&mut self, machine: usize) {
        if let Some(lasts) = self.power_loss_after_record.take() {
            self.schedule_power_loss(machine, false, lasts);
        }
    }

    /// Injects the faults that wait for the acknowledgement of a configuration change.
    pub(in crate::world) fn inject_after_acknowledgement(&mut self, machine: usize) {
        if let Some((wipe, lasts)) = self.operator.power_loss_after_acknowledgement.take() {
            self.schedule_power_loss(machine, wipe, lasts);
        }
        if std::mem::take(&mut self.final_fault_armed) {
            self.final_fault(machine);
        }
    }

    fn schedule_power_loss(&mut self, machine: usize, wipe: bool, lasts: u64) {
        if self.lost_cores() >= self.site.tolerated_core_losses {
            return;
        }
        let at = self.now + self.rng.u64(0..MAX_POWER_LOSS_DELAY_NS);
        self.record_core_loss(machine, at + lasts);
        let incarnation = self.cores[machine].incarnation;
        self.queue.push(at, Event::PowerFails { machine, incarnation, wipe, lasts });
    }

    pub(in crate::world) fn power_fails(&mut self, machine: usize, incarnation: u32, wipe: bool, lasts: u64) {
        if self.cores[machine].incarnation == incarnation && self.cores[machine].process.is_some() {
            self.end_core_process(machine, true, wipe);
            self.restart_core(machine, lasts);
        }
    }
}
