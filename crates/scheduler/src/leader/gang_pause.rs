//! Admission pauses for gangs: other starts of a service pause so that a waiting gang can get capacity on
//! several workers at once.

use crate::placement::Demand;
use crate::state::State;
use crate::time::NANOS_PER_MS;

use super::demand::demand_of;
use super::event_loop::Leader;
use super::mechanisms::Mechanism;
use super::placement_choice::{choose_gang, PlacementContext};
use super::service::{Choice, Service, StepKind};
use super::timers::Timer;

/// How long a gang waits without capacity before other starts pause for it.
const GANG_WAIT_NS: u64 = 1_000 * NANOS_PER_MS;
/// Duration of such a pause.
const GANG_PAUSE_NS: u64 = 1_500 * NANOS_PER_MS;
/// Minimum time between the starts of two pauses.
const GANG_PAUSE_INTERVAL_NS: u64 = 6_000 * NANOS_PER_MS;

impl Leader {
    /// Returns whether other starts of the service must pause for a gang. If the waiting gang fits now, it is
    /// started and there is no pause.
    pub(super) fn pauses_for_gang(&mut self, state: &State, position: usize) -> bool {
        if !self.uses(Mechanism::GangAdmissionPauses) {
            return false;
        }
        let Some(since) = self.now.checked_sub(GANG_WAIT_NS) else { return false };
        let Some(step) = self.services[position].waiting_head(since, StepKind::Gang) else { return false };
        let stage = state.open_stage(step);
        let Some(stage) = stage else { return false };
        let Some(since) = self.services[position].ready(step).map(|ready| ready.since) else { return false };
        let Self { services, attempts, failed_on, settings, now, .. } = self;
        let context = PlacementContext::new(state, attempts, failed_on, settings, *now);
        let service = &mut services[position];
        if let Choice::Gang(workers) = choose_gang(&context, &service.fleet, step, stage, since) {
            service.remove_step(step);
            self.propose_gang(state, step, &workers);
            return false;
        }
        let demand = Demand { rack_local: false, ..demand_of(step, stage, &[]) };
        if self.now < service.gang_pause_started_at + GANG_PAUSE_INTERVAL_NS
            && self.now >= service.gang_pause_started_at + GANG_PAUSE_NS
        {
            return false;
        }
        if self.now >= service.gang_pause_started_at + GANG_PAUSE_INTERVAL_NS {
            if !service.fleet.could_ever_fit_gang(&demand, stage.count as usize) {
                return false;
            }
            service.gang_pause_started_at = self.now;
        }
        let until = service.gang_pause_started_at + GANG_PAUSE_NS;
        self.timers.set_no_later(until, Timer::Admit);
        true
    }

    /// Returns whether the last pause of a service for a gang has not ended yet.
    pub(super) fn is_paused_for_gang(&self, service: &Service) -> bool {
        let started_at = service.gang_pause_started_at;
        started_at > 0 && self.now < started_at + GANG_PAUSE_NS
    }
}
