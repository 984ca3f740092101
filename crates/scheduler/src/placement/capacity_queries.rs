//! Questions about capacity that choose no worker: whether a task fits, or could ever fit.

use super::fleet::Fleet;
use super::matching::{Demand, Matcher};
use super::resources::Resources;
use super::slot::{Slot, Symbol, WorkerKey};

impl Fleet {
    /// Whether the task would fit some worker if nothing were reserved. Workers that may not take starts at
    /// the moment are considered too.
    pub fn could_ever_fit(&self, demand: &Demand) -> bool {
        let Some(matcher) = Matcher::new(self, demand) else { return false };
        let possible =
            |slot: &Slot| matcher.satisfies_constraints(slot) && demand.need.fits_in(slot.capacity);
        let mut candidates = self.examine(|block| demand.need.fits_in(block.largest));
        demand.anti_affinity != Some(0) && candidates.any(possible)
    }

    /// Whether some worker has the label and could carry a task with this need if nothing were reserved. Workers
    /// that may not take starts at the moment are considered too.
    pub fn could_ever_carry(&self, need: Resources, constraint: Option<&str>) -> bool {
        let Some(label) = self.required_label(constraint) else { return false };
        let mut candidates = self.examine(|block| need.fits_in(block.largest));
        candidates.any(|slot| slot.has_label(label) && need.fits_in(slot.capacity))
    }

    /// Whether a worker has the label and could carry a task with this need if nothing were reserved.
    pub fn could_carry(&self, key: WorkerKey, need: Resources, constraint: Option<&str>) -> bool {
        let Some(label) = self.required_label(constraint) else { return false };
        self.slot(key).is_some_and(|slot| slot.has_label(label) && need.fits_in(slot.capacity))
    }

    /// Whether a worker has the label and free capacity for a task with this need.
    pub fn has_room(&self, key: WorkerKey, need: Resources, constraint: Option<&str>) -> bool {
        let Some(label) = self.required_label(constraint) else { return false };
        self.slot(key).is_some_and(|slot| slot.has_label(label) && need.fits_in(slot.free()))
    }

    /// Whether a worker that is not ejected takes starts of single tasks now, whatever its capacity.
    pub fn takes_single_tasks(&self, key: WorkerKey) -> bool {
        self.slot(key).is_some_and(Slot::takes_single_tasks)
    }

    /// A worker that takes single tasks and has room for `tasks` of them with this need, at most `limit` of them on
    /// one worker; `None` if even all workers together do not. This is for checks and doesn't count as work.
    pub fn any_with_room(
        &self,
        need: Resources,
        constraint: Option<&str>,
        tasks: u64,
        limit: impl Fn(WorkerKey) -> u64,
    ) -> Option<WorkerKey> {
        let label = self.required_label(constraint)?;
        let candidates = self.free_index.with_label(label)?.fewest_candidates(need);
        let slots = candidates.iter().map(|(_, position)| &self.slots[*position]);
        let mut found: u64 = 0;
        for slot in slots.filter(|slot| slot.takes_single_tasks()) {
            found = found.saturating_add(need.times_in(slot.free(), limit(slot.key).min(tasks)));
            if found >= tasks {
                return Some(slot.key);
            }
        }
        None
    }

    /// Resolves a label: `Some(None)` if no label is required, `None` if no worker has ever had the label.
    fn required_label(&self, constraint: Option<&str>) -> Option<Option<Symbol>> {
        match constraint {
            Some(label) => self.labels.find(label).map(Some),
            None => Some(None),
        }
    }
}
