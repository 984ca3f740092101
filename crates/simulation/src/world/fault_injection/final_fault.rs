//! The fault at the end of a day, right after an acknowledgement.

use crate::history::Span;
use crate::script::Closing;
use crate::time::ms;
use crate::world::World;

use super::groups::RESTART_SPREAD_NS;

impl World {
    pub(in crate::world) fn arm_final_fault(&mut self) {
        self.final_fault_armed = true;
        self.change_configuration();
    }

    pub(super) fn final_fault(&mut self, machine: usize) {
        let Some(closing) = self.script.closing else { return };
        let down = ms(self.rng.u64(1_000..3_000));
        self.trace(|| format!("final fault: {closing:?}"));
        self.history.final_fault = Some(Span { from: self.now, until: self.now + down + RESTART_SPREAD_NS });
        match closing {
            Closing::PowerOffAll => {
                self.inject_on_all_cores(true, down);
                self.kill_all_edges(down);
            }
            Closing::KillAll => {
                self.inject_on_all_cores(false, 0);
                self.kill_all_edges(0);
            }
            Closing::WipeAfterAck => {
                let may_wipe = self.lost_cores() < self.site.tolerated_core_losses;
                self.record_core_loss(machine, self.now + down);
                if may_wipe {
                    self.end_core_process(machine, true, true);
                    self.restart_core(machine, down);
                }
                if self.rng.bool() {
                    self.inject_on_all_cores(true, down);
                    // Edge machines do not count as lost machines and may lose power at the same moment.
                    if self.rng.bool() {
                        self.kill_all_edges(down);
                    }
                }
            }
        }
    }
}
