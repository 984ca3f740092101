//! The worker for one task.

use super::fleet::{Fleet, Slot, WorkerKey};
use super::matching::{Demand, Matcher, ALIKE, BEST_QUALITY};
use super::resources::RESOURCES;
use std::cmp::Reverse;

/// What the room left of a resource that the task needs less of weighs beside the one it needs most of.
const LESSER: f64 = 0.25;
/// What it costs to put a task without GPUs where GPUs are free, beside the room left on a whole worker.
const GPU_SPARED: f64 = 2.0;

impl Fleet {
    /// The worker for a task: one that has the label, the room and the place by anti-affinity. Among those
    /// whose quality is close to the best, the one with the least room left, so that large holes and GPUs
    /// stay free for those who need them. Where tasks are to be together, first a worker that has some of the step,
    /// then one with room for most of those that wait. None if no worker has room.
    pub fn place(&self, demand: &Demand) -> Option<WorkerKey> {
        self.place_by(&Matcher::new(self, demand)?)
    }

    /// As [`Fleet::place`], but only in the rack of the task's data, if the fleet has such a rack.
    pub fn place_near(&self, demand: &Demand) -> Option<WorkerKey> {
        self.place_by(&Matcher::new(self, demand)?.near_only())
    }

    /// Whether workers in the rack of the task's data may take it, now or once they have room.
    pub fn may_fit_near(&self, demand: &Demand) -> bool {
        let Some(matcher) = Matcher::new(self, demand).map(Matcher::near_only) else { return false };
        self.slots.iter().any(|slot| matcher.may_suit(slot))
    }

    /// As [`Fleet::place`], but on resting workers as well.
    pub fn place_as_last_resort(&self, demand: &Demand) -> Option<WorkerKey> {
        self.place_by(&Matcher::new(self, demand)?.resting_too())
    }

    /// Whether workers that do not rest may take the task, now or once they have room.
    pub fn may_fit(&self, demand: &Demand) -> bool {
        let Some(matcher) = Matcher::new(self, demand) else { return false };
        demand.anti_affinity != Some(0) && self.slots.iter().any(|slot| matcher.may_suit(slot))
    }

    /// Whether the task would fit some worker that does not rest, were nothing reserved. Workers that may take no
    /// starts now for other reasons count.
    pub fn could_fit_sound(&self, demand: &Demand) -> bool {
        let Some(matcher) = Matcher::new(self, demand) else { return false };
        let possible = |slot: &Slot| matcher.allows(slot) && demand.need.fits_in(slot.capacity);
        self.slots.iter().any(|slot| !slot.resting && possible(slot))
    }

    /// Whether a resting worker may take the task, now or once it has room.
    pub fn may_fit_resting(&self, demand: &Demand) -> bool {
        let Some(matcher) = Matcher::new(self, demand).map(Matcher::resting_too) else { return false };
        self.slots.iter().any(|slot| slot.resting && matcher.may_suit(slot))
    }

    fn place_by(&self, matcher: &Matcher) -> Option<WorkerKey> {
        let least_quality = ALIKE * self.best_quality(matcher)?;
        let alike = self.slots.iter().filter(|slot| matcher.quality(slot) >= least_quality);
        let waste = |slot: &Slot| if self.first_fit { 0.0 } else { self.waste(matcher, slot) };
        let rank = |slot: &Slot| (Reverse(matcher.gathers(slot)), waste(slot), slot.key);
        let ranks = alike.filter(|slot| matcher.suits(slot)).map(rank);
        let first = ranks.reduce(|a, b| if b < a { b } else { a });
        first.map(|(_, _, key)| key)
    }

    /// The best quality among the workers that suit, if any does.
    fn best_quality(&self, matcher: &Matcher) -> Option<f64> {
        let mut best = None;
        for slot in &self.slots {
            let quality = matcher.quality(slot);
            if best.is_some_and(|best| quality <= best) || !matcher.suits(slot) {
                continue;
            }
            best = Some(quality);
            if quality >= BEST_QUALITY {
                break;
            }
        }
        best
    }

    /// Whether the task would fit some worker, were nothing reserved. Workers that may take no starts now
    /// count.
    pub fn could_ever_fit(&self, demand: &Demand) -> bool {
        let Some(matcher) = Matcher::new(self, demand) else { return false };
        let possible = |slot: &Slot| matcher.allows(slot) && demand.need.fits_in(slot.capacity);
        demand.anti_affinity != Some(0) && self.slots.iter().any(possible)
    }

    /// What is wasted by putting the task on the worker: the room that is left there, as a share of the
    /// largest worker's, of the resource that the task needs most of, and a part of that of the others.
    pub(super) fn waste(&self, matcher: &Matcher, slot: &Slot) -> f64 {
        let need = matcher.demand.need;
        let needed = need.shares_of(self.largest);
        let left = slot.free().minus(need).shares_of(self.largest);
        let mut dominant = 0;
        for resource in 1..RESOURCES {
            if needed[resource] > needed[dominant] {
                dominant = resource;
            }
        }
        let lesser = left.iter().sum::<f64>() - left[dominant];
        let spares_gpus = need.gpu == 0 && slot.free().gpu > 0;
        left[dominant] + LESSER * lesser + if spares_gpus { GPU_SPARED } else { 0.0 }
    }
}
