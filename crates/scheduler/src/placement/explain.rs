//! Why a worker is not chosen, for reports to people; placement itself does not use it.

use super::fleet::Fleet;
use super::matching::{Demand, Matcher};
use super::slot::WorkerKey;

/// What keeps a task from a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementObstacle {
    /// The worker may take no starts, or is not known.
    NotUsable,
    /// It lacks the label that is asked for.
    LacksLabel,
    /// Even empty it has too little.
    TooSmall,
    /// Too little of it is free.
    NoCapacity,
    /// It has as many tasks of the step as anti-affinity allows.
    AntiAffinity,
}

impl Fleet {
    /// The first thing that keeps a task from the worker; none if it may start there.
    pub fn obstacle(&self, demand: &Demand<'_>, key: WorkerKey) -> Option<PlacementObstacle> {
        let Some(slot) = self.slot(key) else { return Some(PlacementObstacle::NotUsable) };
        let Some(matcher) = Matcher::new(self, demand).filter(|matcher| matcher.allows(slot)) else {
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
        (matcher.tasks_left(slot) == 0).then_some(PlacementObstacle::AntiAffinity)
    }
}
