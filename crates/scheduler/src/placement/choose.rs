//! The worker for one task.

use super::blocks::Block;
use super::fleet::{Fleet, Slot, WorkerKey};
use super::matching::{Demand, Matcher, BEST_QUALITY, LIKE_QUALITY};
use super::resources::RESOURCES;
use std::cell::Cell;
use std::cmp::Reverse;

/// Weight of the capacity left of a resource that the task needs less of, beside the one it needs most of.
const LESSER_RESOURCE_WEIGHT: f64 = 0.25;
/// What it costs to put a task without GPUs where GPUs are free, beside the capacity left on an empty worker.
const SPARED_GPU_COST: f64 = 2.0;

impl Fleet {
    /// The worker for a task: one that has the label and the capacity and that anti-affinity allows. Among those
    /// whose quality is close to the best, the one with the least capacity left, so that large holes and GPUs
    /// stay free for tasks that need them. Where tasks are to be packed, first a worker that has some of the step,
    /// then one with capacity for most of those that wait. None if no worker has the capacity.
    pub fn place(&self, demand: &Demand) -> Option<WorkerKey> {
        self.place_by(&Matcher::new(self, demand)?)
    }

    /// As [`Fleet::place`], but only in the rack of the task's data, if the fleet has such a rack.
    pub fn place_near(&self, demand: &Demand) -> Option<WorkerKey> {
        self.place_by(&Matcher::new(self, demand)?.near_only())
    }

    /// Whether workers in the rack of the task's data may take it, now or once they have the capacity.
    pub fn may_fit_near(&self, demand: &Demand) -> bool {
        let Some(matcher) = Matcher::new(self, demand).map(Matcher::near_only) else { return false };
        let mut candidates = self.examine(|block| matcher.may_suit_in(block));
        candidates.any(|slot| matcher.may_suit(slot))
    }

    /// As [`Fleet::place`], but on ejected workers as well.
    pub fn place_as_last_resort(&self, demand: &Demand) -> Option<WorkerKey> {
        self.place_by(&Matcher::new(self, demand)?.including_ejected())
    }

    /// Whether workers that are not ejected may take the task, now or once they have the capacity.
    pub fn may_fit(&self, demand: &Demand) -> bool {
        let Some(matcher) = Matcher::new(self, demand) else { return false };
        let mut candidates = self.examine(|block| matcher.may_suit_in(block));
        demand.anti_affinity != Some(0) && candidates.any(|slot| matcher.may_suit(slot))
    }

    /// Whether the task would fit some worker that is not ejected, were nothing reserved. Workers that may take no
    /// starts now for other reasons count.
    pub fn could_fit_not_ejected(&self, demand: &Demand) -> bool {
        let Some(matcher) = Matcher::new(self, demand) else { return false };
        let possible = |slot: &Slot| matcher.allows(slot) && demand.need.fits_in(slot.capacity);
        let mut candidates = self.examine(|block| demand.need.fits_in(block.largest));
        candidates.any(|slot| !slot.ejected && possible(slot))
    }

    /// Whether an ejected worker may take the task, now or once it has the capacity.
    pub fn may_fit_ejected(&self, demand: &Demand) -> bool {
        let Some(matcher) = Matcher::new(self, demand).map(Matcher::including_ejected) else { return false };
        let mut candidates = self.examine(|block| demand.need.fits_in(block.ejected_capacity));
        candidates.any(|slot| slot.ejected && matcher.may_suit(slot))
    }

    fn place_by(&self, matcher: &Matcher) -> Option<WorkerKey> {
        let least_quality = LIKE_QUALITY * self.best_quality(matcher)?;
        let may_hold = |block: &Block| block.quality >= least_quality && matcher.suits_in(block);
        let alike = self.examine(may_hold).filter(|slot| matcher.quality(slot) >= least_quality);
        let waste = |slot: &Slot| if self.first_fit { 0.0 } else { self.waste(matcher, slot) };
        let rank = |slot: &Slot| (Reverse(matcher.packing_rank(slot)), waste(slot), slot.key);
        let ranks = alike.filter(|slot| matcher.suits(slot)).map(rank);
        let first = ranks.reduce(|a, b| if b < a { b } else { a });
        first.map(|(_, _, key)| key)
    }

    /// The best quality among the workers that suit, if any does.
    fn best_quality(&self, matcher: &Matcher) -> Option<f64> {
        let best = Cell::new(None);
        let is_better = |quality: f64| best.get().is_none_or(|best| quality > best);
        let candidates = self.examine(|block| is_better(block.quality) && matcher.suits_in(block));
        for slot in candidates {
            let quality = matcher.quality(slot);
            if !is_better(quality) || !matcher.suits(slot) {
                continue;
            }
            best.set(Some(quality));
            if quality >= BEST_QUALITY {
                break;
            }
        }
        best.get()
    }

    /// Whether the task would fit some worker, were nothing reserved. Workers that may take no starts now
    /// count.
    pub fn could_ever_fit(&self, demand: &Demand) -> bool {
        let Some(matcher) = Matcher::new(self, demand) else { return false };
        let possible = |slot: &Slot| matcher.allows(slot) && demand.need.fits_in(slot.capacity);
        let mut candidates = self.examine(|block| demand.need.fits_in(block.largest));
        demand.anti_affinity != Some(0) && candidates.any(possible)
    }

    /// What is wasted by putting the task on the worker: the capacity that is left there, as a share of the
    /// largest worker's, of the resource that the task needs most of, and a fraction of that of the others.
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
        left[dominant] + LESSER_RESOURCE_WEIGHT * lesser + if spares_gpus { SPARED_GPU_COST } else { 0.0 }
    }
}
