//! Choice of the worker for a single task.

use super::fleet::Fleet;
use super::free_capacity::SortedSlots;
use super::matching::{Demand, Matcher, MAX_QUALITY, OFF_RACK_FACTOR, SIMILAR_QUALITY_RATIO};
use super::resources::{Resources, RESOURCE_COUNT};
use super::slot::{Slot, WorkerKey};
use std::cmp::Reverse;

/// Weight of the capacity left over in each resource other than the dominant one of the task, relative to
/// the dominant one.
const SECONDARY_RESOURCE_WEIGHT: f64 = 0.25;
/// Penalty for placing a task that needs no GPU on a worker with free GPUs. An empty worker with the
/// largest capacity counts as a waste of 1 in its dominant resource.
const FREE_GPU_PENALTY: f64 = 2.0;
/// Tolerance when the waste of two workers is compared. Rounding can order two wastes that differ by less
/// than this otherwise than the free capacities from which they are computed.
const WASTE_TOLERANCE: f64 = 1e-9;

impl Fleet {
    /// Chooses the worker for a task, or returns `None` if no worker has the capacity now.
    ///
    /// A candidate has the requested label and enough free capacity, and anti-affinity allows the task on
    /// it. Among the candidates whose quality is close to the best, the one with the least capacity left
    /// over is chosen, so that large contiguous capacity and GPUs stay free for the tasks that need them.
    /// If tasks of the step are to be packed, a worker that already has tasks of the step comes first, then
    /// one with capacity for most of the tasks that wait.
    pub fn place(&self, demand: &Demand) -> Option<WorkerKey> {
        let matcher = Matcher::new(self, demand)?;
        if self.failed_searches.borrow().imply_failure(demand.need, matcher.constraint()) {
            return None;
        }
        let worker = self.place_matching(&matcher);
        if worker.is_none() && demand.anti_affinity.is_none() {
            self.failed_searches.borrow_mut().record(demand.need, matcher.constraint());
        }
        worker
    }

    /// Like [`Fleet::place`], but considers only workers in the rack of the task's data if the fleet has
    /// such a rack.
    pub fn place_in_affinity_rack(&self, demand: &Demand) -> Option<WorkerKey> {
        self.place_matching(&Matcher::new(self, demand)?.affinity_rack_only())
    }

    /// Whether a worker in the rack of the task's data may take the task, now or once reserved capacity is
    /// released.
    pub fn may_fit_in_affinity_rack(&self, demand: &Demand) -> bool {
        let Some(matcher) = Matcher::new(self, demand).map(Matcher::affinity_rack_only) else { return false };
        let mut candidates = self.examine(|block| matcher.block_may_fit_when_empty(block));
        candidates.any(|slot| matcher.fits_when_empty(slot))
    }

    /// Like [`Fleet::place`], but considers ejected workers too.
    pub fn place_as_last_resort(&self, demand: &Demand) -> Option<WorkerKey> {
        self.place_matching(&Matcher::new(self, demand)?.including_ejected())
    }

    /// Whether a worker that is not ejected may take the task, now or once reserved capacity is released.
    pub fn may_fit(&self, demand: &Demand) -> bool {
        let Some(matcher) = Matcher::new(self, demand) else { return false };
        let mut candidates = self.examine(|block| matcher.block_may_fit_when_empty(block));
        demand.anti_affinity != Some(0) && candidates.any(|slot| matcher.fits_when_empty(slot))
    }

    /// Whether the task would fit a worker that is not ejected if nothing were reserved. Workers that may
    /// not take starts at the moment for other reasons are considered too.
    pub fn could_fit_not_ejected(&self, demand: &Demand) -> bool {
        let Some(matcher) = Matcher::new(self, demand) else { return false };
        let possible =
            |slot: &Slot| matcher.satisfies_constraints(slot) && demand.need.fits_in(slot.capacity);
        let mut candidates = self.examine(|block| demand.need.fits_in(block.largest));
        candidates.any(|slot| !slot.ejected && possible(slot))
    }

    /// Whether an ejected worker may take the task, now or once reserved capacity is released.
    pub fn may_fit_ejected(&self, demand: &Demand) -> bool {
        if !self.has_ejected() {
            return false;
        }
        let Some(matcher) = Matcher::new(self, demand).map(Matcher::including_ejected) else { return false };
        let mut candidates = self.examine(|block| demand.need.fits_in(block.ejected_capacity));
        candidates.any(|slot| slot.ejected && matcher.fits_when_empty(slot))
    }

    /// Whether a worker has tasks of the step and could take the task but for the starts that it has to confirm, and
    /// has had to confirm that many since `since` at the earliest. Such a step is packed if it waits for the worker.
    pub fn packs_on_busy_worker(&self, demand: &Demand, since: u64) -> bool {
        let Some(matcher) = Matcher::new(self, demand).filter(|_| demand.tasks_to_pack > 0) else {
            return false;
        };
        let is_busy = |slot: &Slot| slot.awaits_confirmations_since.is_some_and(|at| at >= since);
        let mut slots = self.step_slots(&demand.step);
        slots.any(|slot| is_busy(slot) && matcher.fits_apart_from_pending_starts(slot))
    }

    fn place_matching(&self, matcher: &Matcher) -> Option<WorkerKey> {
        let min_quality = SIMILAR_QUALITY_RATIO * self.best_quality(matcher)?;
        let is_candidate = |slot: &Slot| matcher.quality(slot) >= min_quality && matcher.fits_now(slot);
        if matcher.is_limited_to_affinity_rack() {
            return self
                .best_ranked(matcher, self.rack_slots(matcher.affinity()).filter(|slot| is_candidate(slot)));
        }
        if self.first_fit {
            let candidates = self.free_index_for(matcher)?.fewest_candidates(matcher.demand.need);
            let slots = candidates.iter().map(|(_, position)| self.examine_slot(*position));
            return self.best_ranked(matcher, slots.filter(|slot| is_candidate(slot)));
        }
        if matcher.demand.tasks_to_pack > 0 {
            let slots = self.step_slots(&matcher.demand.step).filter(|slot| is_candidate(slot));
            if let Some(worker) = self.best_ranked(matcher, slots) {
                return Some(worker);
            }
        }
        let free_index = self.free_index_for(matcher)?;
        let packing_rank = self.best_packing_rank(matcher, free_index, is_candidate);
        self.least_wasteful(matcher, free_index, packing_rank, is_candidate)
    }

    /// The best of `slots`: the one with the highest packing rank, then with the least waste, then with the
    /// lowest key. In a first-fit fleet waste is ignored.
    fn best_ranked<'a>(&self, matcher: &Matcher, slots: impl Iterator<Item = &'a Slot>) -> Option<WorkerKey> {
        let waste = |slot: &Slot| if self.first_fit { 0.0 } else { self.waste(matcher, slot) };
        let rank = |slot: &Slot| (Reverse(matcher.packing_rank(slot)), waste(slot), slot.key);
        let first = slots.map(rank).reduce(|a, b| if b < a { b } else { a });
        first.map(|(_, _, key)| key)
    }

    /// The best quality among the workers that can take the task now; `None` if there is no such worker.
    fn best_quality(&self, matcher: &Matcher) -> Option<f64> {
        let in_rack = self.rack_slots(matcher.affinity()).filter(|slot| matcher.fits_now(slot));
        let mut best = in_rack.map(|slot| matcher.quality(slot)).reduce(f64::max);
        if matcher.is_limited_to_affinity_rack() {
            return best;
        }
        let best_elsewhere = if matcher.affinity().is_some() { OFF_RACK_FACTOR } else { 1.0 } * MAX_QUALITY;
        for (_, position) in self.free_index_for(matcher)?.fewest_candidates(matcher.demand.need) {
            if best.is_some_and(|best| best >= best_elsewhere) {
                break;
            }
            let slot = self.examine_slot(*position);
            if matcher.fits_now(slot) {
                let quality = matcher.quality(slot);
                best = Some(best.map_or(quality, |best| best.max(quality)));
            }
        }
        best
    }

    /// The highest packing rank among the candidates, none of which has a task of the step yet.
    ///
    /// The workers with the most free capacity are examined first. The free capacity of a single resource
    /// bounds a worker's rank from above, so the search ends at the first worker whose bound is not above
    /// the best rank found.
    fn best_packing_rank(
        &self,
        matcher: &Matcher,
        free_index: &SortedSlots,
        is_candidate: impl Fn(&Slot) -> bool,
    ) -> u64 {
        let Demand { need, tasks_to_pack, .. } = *matcher.demand;
        if tasks_to_pack == 0 {
            return 0;
        }
        let resource = self.dominant(need);
        let least = need.amounts()[resource];
        let mut best = 0;
        for (free, position) in free_index.with_at_least(resource, least).iter().rev() {
            if free.checked_div(least).unwrap_or(u64::MAX).min(tasks_to_pack) <= best {
                break;
            }
            let slot = self.examine_slot(*position);
            if is_candidate(slot) {
                best = best.max(matcher.packing_rank(slot));
            }
        }
        best
    }

    /// The candidate with this packing rank and the least waste.
    ///
    /// Workers are examined by rising free capacity of the task's dominant resource. The search ends once
    /// the waste in this resource alone exceeds the least total waste found.
    fn least_wasteful(
        &self,
        matcher: &Matcher,
        free_index: &SortedSlots,
        packing_rank: u64,
        is_candidate: impl Fn(&Slot) -> bool,
    ) -> Option<WorkerKey> {
        let need = matcher.demand.need;
        let resource = self.dominant(need);
        let least = need.times(packing_rank.max(1)).amounts()[resource];
        let mut best: Option<(f64, WorkerKey)> = None;
        for (_, position) in free_index.with_at_least(resource, least) {
            let slot = self.examine_slot(*position);
            let min_waste = slot.free().minus(need).shares_of(self.largest)[resource];
            if best.is_some_and(|(waste, _)| min_waste > waste + WASTE_TOLERANCE) {
                break;
            }
            if is_candidate(slot) && matcher.packing_rank(slot) == packing_rank {
                let rank = (self.waste(matcher, slot), slot.key);
                best = Some(best.filter(|best| *best <= rank).unwrap_or(rank));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Index by free capacity of the workers with the requested label that may take starts; `None` if there
    /// is no such worker.
    pub(super) fn free_index_for(&self, matcher: &Matcher) -> Option<&SortedSlots> {
        self.free_index.with_label(matcher.constraint())
    }

    /// The dominant resource of a need: the one in which the need is the largest share of the largest
    /// worker's capacity.
    fn dominant(&self, need: Resources) -> usize {
        let needed = need.shares_of(self.largest);
        let larger = |most: usize, next: usize| if needed[next] > needed[most] { next } else { most };
        (1..RESOURCE_COUNT).fold(0, larger)
    }

    /// The capacity left over if the task is placed on the worker, as shares of the largest worker's
    /// capacity: the share of the task's dominant resource, plus a fraction of the shares of the other
    /// resources, plus a penalty if free GPUs stay unused.
    pub(super) fn waste(&self, matcher: &Matcher, slot: &Slot) -> f64 {
        let need = matcher.demand.need;
        let dominant = self.dominant(need);
        let left = slot.free().minus(need).shares_of(self.largest);
        let lesser = left.iter().sum::<f64>() - left[dominant];
        let spares_gpus = need.gpu == 0 && slot.free().gpu > 0;
        left[dominant] + SECONDARY_RESOURCE_WEIGHT * lesser + if spares_gpus { FREE_GPU_PENALTY } else { 0.0 }
    }
}
