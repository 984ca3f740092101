//! Replacement of core machines by empty spare machines.

use crate::time::{ms, SECOND};
use crate::world::event::Event;
use crate::world::World;

/// In a planned replacement, the old machine is asked to stop this long after the spare one starts, in
/// nanoseconds.
const PLANNED_OVERLAP_NS: u64 = SECOND;

impl World {
    pub(super) fn replace_core(&mut self, machine: usize) {
        let Some(spare) =
            (0..self.cores.len()).find(|other| !self.cores[*other].exists && *other >= self.site.cores)
        else {
            return;
        };
        if self.cores[spare].incarnation > 0 {
            return;
        }
        self.end_core_process(machine, true, true);
        self.cores[machine].exists = false;
        self.cores[spare].exists = true;
        let until = self.now + SECOND;
        self.record_core_loss(spare, until);
        self.restart_core(spare, SECOND);
    }

    /// Starts an empty spare machine, then asks the replaced machine to stop for good.
    pub(super) fn replace_core_as_planned(&mut self, machine: usize) {
        let is_spare = |other: &usize| !self.cores[*other].exists && self.cores[*other].incarnation == 0;
        let Some(spare) = (self.site.cores..self.cores.len()).find(is_spare) else { return };
        self.cores[spare].exists = true;
        let until = self.now + PLANNED_OVERLAP_NS;
        self.record_core_loss(spare, until);
        self.restart_core(spare, 0);
        let incarnation = self.cores[machine].incarnation;
        self.queue.push(until, Event::CoreLeaves { machine, incarnation });
    }

    /// Asks a replaced core machine to stop.
    pub(in crate::world) fn core_leaves(&mut self, machine: usize, incarnation: u32) {
        if self.cores[machine].incarnation != incarnation {
            return;
        }
        self.record_core_loss(machine, self.now + ms(self.site.bounds.grace_ms));
        self.cores[machine].retired = true;
        self.stop_core(machine);
    }
}
