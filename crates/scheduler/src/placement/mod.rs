//! Placement: chooses the worker for each task and the attempts to stop for a task that may preempt others.
//!
//! A [`Fleet`] holds the workers of one service and the capacity reserved on them. It does not start or
//! stop anything itself: the caller reserves capacity for the tasks it places and releases it when they
//! end.

mod blocks;
mod capacity_queries;
mod choose;
mod explain;
mod failed_searches;
mod fleet;
mod free_capacity;
mod gang;
mod matching;

mod preempt;
mod resources;

mod shortfall;
mod slot;

pub use explain::PlacementObstacle;
pub use fleet::{Fleet, WorkerFacts};
pub use matching::Demand;
pub use preempt::{Preemption, Victim};
pub use resources::{Resources, RESOURCE_COUNT};
pub use slot::WorkerKey;
