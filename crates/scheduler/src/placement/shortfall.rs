//! The worker that lacks least for a task which fits nowhere now.

use super::fleet::Fleet;
use super::matching::{Demand, Matcher};
use super::resources::Resources;
use super::slot::{Slot, WorkerKey};

impl Fleet {
    /// Of the workers that may take the task once they have the capacity, the one that lacks least for it.
    pub fn closest_to_fitting(&self, demand: &Demand) -> Option<WorkerKey> {
        let matcher = Matcher::new(self, demand)?;
        let shortfall = |slot: &Slot| (shortfall(demand.need, slot.free()), slot.key);
        let candidates =
            self.examine(|block| matcher.may_suit_in(block)).filter(|slot| matcher.may_suit(slot));
        let shortfalls = candidates.map(shortfall);
        shortfalls.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(_, key)| key)
    }
}

/// The largest share of a need that `free` lacks.
fn shortfall(need: Resources, free: Resources) -> f64 {
    need.minus(free).shares_of(need).into_iter().fold(0.0, f64::max)
}
