//! Faults of all core machines, or of many edges, at the same time.

use crate::time::{ms, MS};
use crate::world::{World, FIRST_EDGE};

/// Processes killed at the same time restart within this time of each other, in nanoseconds.
pub(super) const RESTART_SPREAD_NS: u64 = 900 * MS;
/// Percentage of the edges that `kill_most_edges` kills.
const LOST_EDGES_PERCENT: usize = 55;

impl World {
    pub(super) fn inject_on_all_cores(&mut self, power_lost: bool, lasts: u64) {
        let until = self.now + lasts.max(RESTART_SPREAD_NS);
        for machine in 0..self.cores.len() {
            if !self.cores[machine].exists {
                continue;
            }
            self.record_machine_fault(machine, until);
            let was_running = self.cores[machine].process.is_some();
            if was_running || (power_lost && self.cores[machine].powered) {
                self.end_core_process(machine, power_lost, false);
                let returns = lasts + self.rng.u64(0..RESTART_SPREAD_NS);
                let caught_up = self.now + returns + ms(self.site.bounds.catch_up_ms);
                self.cores[machine].lost_until = self.cores[machine].lost_until.max(caught_up);
                self.restart_core(machine, returns);
            }
        }
        self.record_core_fault(until);
    }

    pub(super) fn kill_all_edges(&mut self, down: u64) {
        self.kill_edges(self.edges.len(), down);
    }

    /// Kills more than half of the edges at the same time.
    pub(super) fn kill_most_edges(&mut self, down: u64) {
        self.kill_edges(self.edges.len() * LOST_EDGES_PERCENT / 100, down);
    }

    fn kill_edges(&mut self, count: usize, down: u64) {
        for edge in 0..count {
            self.record_machine_fault(FIRST_EDGE + edge, self.now + down + RESTART_SPREAD_NS);
            self.end_edge_process(edge);
            let returns = down + self.rng.u64(0..RESTART_SPREAD_NS);
            self.restart_edge(edge, returns);
        }
    }
}
