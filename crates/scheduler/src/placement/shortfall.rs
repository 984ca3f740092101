//! Search for the worker that is closest to having enough capacity for a task that fits nowhere now.

use super::fleet::Fleet;
use super::matching::{Demand, Matcher};
use super::resources::Resources;
use super::slot::WorkerKey;

impl Fleet {
    /// The worker with the smallest shortfall among those that may take the task once reserved capacity is
    /// released and that `is_allowed` accepts. `is_allowed` is called for workers in the order of their shortfall.
    pub fn closest_to_fitting(
        &self,
        demand: &Demand,
        is_allowed: impl FnMut(&WorkerKey) -> bool,
    ) -> Option<WorkerKey> {
        let matcher = Matcher::new(self, demand)?;
        let candidates = self
            .examine(|block| matcher.block_may_fit_when_empty(block))
            .filter(|slot| matcher.fits_when_empty(slot));
        let mut shortfalls: Vec<(f64, WorkerKey)> =
            candidates.map(|slot| (shortfall(demand.need, slot.free()), slot.key)).collect();
        shortfalls.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        shortfalls.into_iter().map(|(_, key)| key).find(is_allowed)
    }
}

/// The largest share of `need` that is missing in `free`, over all resources.
fn shortfall(need: Resources, free: Resources) -> f64 {
    need.minus(free).shares_of(need).into_iter().fold(0.0, f64::max)
}
