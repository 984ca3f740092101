//! Explanation of why a worker is not chosen for a task. Only reports use it, not placement.

use super::fleet::Fleet;
use super::matching::{Demand, Matcher};
use super::slot::WorkerKey;

/// Reason why a task cannot start on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementObstacle {
    /// The worker may not take starts, or is unknown.
    NotUsable,
    /// The worker lacks the requested label.
    LacksLabel,
    /// The worker's total capacity is too small for the task.
    TooSmall,
    /// The worker's free capacity is too small for the task.
    NoCapacity,
    /// The worker already has as many tasks of the step as anti-affinity allows.
    AntiAffinity,
}

impl Fleet {
    /// The first reason found why the task cannot start on the worker; `None` if it can start there now.
    pub fn obstacle(&self, demand: &Demand<'_>, key: WorkerKey) -> Option<PlacementObstacle> {
        let Some(slot) = self.slot(key) else { return Some(PlacementObstacle::NotUsable) };
        let Some(matcher) = Matcher::new(self, demand).filter(|matcher| matcher.satisfies_constraints(slot))
        else {
            return Some(PlacementObstacle::LacksLabel);
        };
        if !demand.need.fits_in(slot.capacity) {
            return Some(PlacementObstacle::TooSmall);
        }
        if !slot.usable {
            return Some(PlacementObstacle::NotUsable);
        }
        if !demand.need.fits_in(slot.free()) {
            return Some(PlacementObstacle::NoCapacity);
        }
        (matcher.anti_affinity_headroom(slot) == 0).then_some(PlacementObstacle::AntiAffinity)
    }
}
