//! The worker for one task.

use super::fleet::Fleet;
use super::matching::{Demand, Matcher, BEST_QUALITY, LIKE_QUALITY, OFF_RACK_FACTOR};
use super::orders::FreeOrders;
use super::resources::{Resources, RESOURCE_COUNT};
use super::slot::{Slot, WorkerKey};
use std::cmp::Reverse;

/// Weight of the capacity left of a resource that the task needs less of, beside the one it needs most of.
const LESSER_RESOURCE_WEIGHT: f64 = 0.25;
/// What it costs to put a task without GPUs where GPUs are free, beside the capacity left on an empty worker.
const SPARED_GPU_COST: f64 = 2.0;
/// Wastes closer than this may be in another order than what they are computed from.
const WASTE_TOLERANCE: f64 = 1e-9;

impl Fleet {
    /// The worker for a task: one that has the label and the capacity and that anti-affinity allows. Among those
    /// whose quality is close to the best, the one with the least capacity left, so that large holes and GPUs
    /// stay free for tasks that need them. Where tasks are to be packed, first a worker that has some of the step,
    /// then one with capacity for most of those that wait. None if no worker has the capacity.
    pub fn place(&self, demand: &Demand) -> Option<WorkerKey> {
        let matcher = Matcher::new(self, demand)?;
        if self.shortages.borrow().cover(demand.need, matcher.constraint()) {
            return None;
        }
        let worker = self.place_by(&matcher);
        if worker.is_none() && demand.anti_affinity.is_none() {
            self.shortages.borrow_mut().add(demand.need, matcher.constraint());
        }
        worker
    }

    /// As [`Fleet::place`], but only in the rack of the task's data, if the fleet has such a rack.
    pub fn place_in_affinity_rack(&self, demand: &Demand) -> Option<WorkerKey> {
        self.place_by(&Matcher::new(self, demand)?.near_only())
    }

    /// Whether workers in the rack of the task's data may take it, now or once they have the capacity.
    pub fn may_fit_in_affinity_rack(&self, demand: &Demand) -> bool {
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
        if !self.has_ejected() {
            return false;
        }
        let Some(matcher) = Matcher::new(self, demand).map(Matcher::including_ejected) else { return false };
        let mut candidates = self.examine(|block| demand.need.fits_in(block.ejected_capacity));
        candidates.any(|slot| slot.ejected && matcher.may_suit(slot))
    }

    fn place_by(&self, matcher: &Matcher) -> Option<WorkerKey> {
        let least_quality = LIKE_QUALITY * self.best_quality(matcher)?;
        let suits = |slot: &Slot| matcher.quality(slot) >= least_quality && matcher.suits(slot);
        if matcher.is_bound_to_rack() {
            return self
                .first_by_rank(matcher, self.rack_slots(matcher.affinity()).filter(|slot| suits(slot)));
        }
        if self.first_fit {
            let candidates = self.orders_for(matcher)?.fewest_with(matcher.demand.need);
            let slots = candidates.iter().map(|(_, position)| self.examine_position(*position));
            return self.first_by_rank(matcher, slots.filter(|slot| suits(slot)));
        }
        if matcher.demand.tasks_to_pack > 0 {
            let slots = self.step_slots(&matcher.demand.step).filter(|slot| suits(slot));
            if let Some(worker) = self.first_by_rank(matcher, slots) {
                return Some(worker);
            }
        }
        let orders = self.orders_for(matcher)?;
        let packing_rank = self.best_packing_rank(matcher, orders, suits);
        self.fullest(matcher, orders, packing_rank, suits)
    }

    /// The first of these slots: most of the step's tasks fit there, then the least is wasted.
    fn first_by_rank<'a>(
        &self,
        matcher: &Matcher,
        slots: impl Iterator<Item = &'a Slot>,
    ) -> Option<WorkerKey> {
        let waste = |slot: &Slot| if self.first_fit { 0.0 } else { self.waste(matcher, slot) };
        let rank = |slot: &Slot| (Reverse(matcher.packing_rank(slot)), waste(slot), slot.key);
        let first = slots.map(rank).reduce(|a, b| if b < a { b } else { a });
        first.map(|(_, _, key)| key)
    }

    /// The best quality among the workers that suit, if any does.
    fn best_quality(&self, matcher: &Matcher) -> Option<f64> {
        let near = self.rack_slots(matcher.affinity()).filter(|slot| matcher.suits(slot));
        let mut best = near.map(|slot| matcher.quality(slot)).reduce(f64::max);
        if matcher.is_bound_to_rack() {
            return best;
        }
        let best_elsewhere = if matcher.affinity().is_some() { OFF_RACK_FACTOR } else { 1.0 } * BEST_QUALITY;
        for (_, position) in self.orders_for(matcher)?.fewest_with(matcher.demand.need) {
            if best.is_some_and(|best| best >= best_elsewhere) {
                break;
            }
            let slot = self.examine_position(*position);
            if matcher.suits(slot) {
                let quality = matcher.quality(slot);
                best = Some(best.map_or(quality, |best| best.max(quality)));
            }
        }
        best
    }

    /// The highest packing rank among the workers that suit, none of which has a task of the step. The emptiest come
    /// first: once a worker of which one resource allows no higher rank is reached, no later one has a higher rank.
    fn best_packing_rank(
        &self,
        matcher: &Matcher,
        orders: &FreeOrders,
        suits: impl Fn(&Slot) -> bool,
    ) -> u64 {
        let Demand { need, tasks_to_pack, .. } = *matcher.demand;
        if tasks_to_pack == 0 {
            return 0;
        }
        let resource = self.dominant(need);
        let least = need.amounts()[resource];
        let mut best = 0;
        for (free, position) in orders.with_at_least(resource, least).iter().rev() {
            if free.checked_div(least).unwrap_or(u64::MAX).min(tasks_to_pack) <= best {
                break;
            }
            let slot = self.examine_position(*position);
            if suits(slot) {
                best = best.max(matcher.packing_rank(slot));
            }
        }
        best
    }

    /// Of the workers that suit and have this packing rank, the one where the least is wasted. They are examined by
    /// what is free of the resource that the task needs most of, until that alone is a greater waste.
    fn fullest(
        &self,
        matcher: &Matcher,
        orders: &FreeOrders,
        packing_rank: u64,
        suits: impl Fn(&Slot) -> bool,
    ) -> Option<WorkerKey> {
        let need = matcher.demand.need;
        let resource = self.dominant(need);
        let least = need.times(packing_rank.max(1)).amounts()[resource];
        let mut best: Option<(f64, WorkerKey)> = None;
        for (_, position) in orders.with_at_least(resource, least) {
            let slot = self.examine_position(*position);
            let least_waste = slot.free().minus(need).shares_of(self.largest)[resource];
            if best.is_some_and(|(waste, _)| least_waste > waste + WASTE_TOLERANCE) {
                break;
            }
            if suits(slot) && matcher.packing_rank(slot) == packing_rank {
                let rank = (self.waste(matcher, slot), slot.key);
                best = Some(best.filter(|best| *best <= rank).unwrap_or(rank));
            }
        }
        best.map(|(_, key)| key)
    }

    /// The workers with the label that is asked for, in order of what is free there; none if none may take starts.
    pub(super) fn orders_for(&self, matcher: &Matcher) -> Option<&FreeOrders> {
        self.orders.with_label(matcher.constraint())
    }

    /// The resource of which a need is the largest share of what the largest worker has.
    fn dominant(&self, need: Resources) -> usize {
        let needed = need.shares_of(self.largest);
        let larger = |most: usize, next: usize| if needed[next] > needed[most] { next } else { most };
        (1..RESOURCE_COUNT).fold(0, larger)
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
        let dominant = self.dominant(need);
        let left = slot.free().minus(need).shares_of(self.largest);
        let lesser = left.iter().sum::<f64>() - left[dominant];
        let spares_gpus = need.gpu == 0 && slot.free().gpu > 0;
        left[dominant] + LESSER_RESOURCE_WEIGHT * lesser + if spares_gpus { SPARED_GPU_COST } else { 0.0 }
    }
}
