//! Placement: which worker of a service gets a task, and which attempts are stopped for one that may preempt.
//!
//! A [`Fleet`] holds the workers of one service and what is reserved on them. It never starts or stops
//! anything: the caller reserves what it places and releases what has ended.

mod blocks;
mod choose;
mod explain;
mod fleet;
mod gang;
mod matching;
mod orders;
mod preempt;
mod resources;
mod shortages;
mod shortfall;
mod slot;

pub use explain::PlacementObstacle;
pub use fleet::{Fleet, WorkerFacts};
pub use matching::Demand;
pub use preempt::{Preemption, Victim};
pub use resources::{Resources, RESOURCE_COUNT};
pub use slot::WorkerKey;
