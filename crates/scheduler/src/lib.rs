//! Jobs, tasks, admission, placement and the reconcilers of workers. The crate does no input or output.
//!
//! - `state` is the replicated state, the same on every core process.
//! - `leader` makes the decisions on the one core process that leads.
//! - `worker` reconciles one incarnation of a worker with the attempts that the leader wants to run there.
//! - `placement` chooses workers for tasks.

#![warn(missing_docs)]

pub mod ids;
pub mod leader;
pub mod placement;
pub mod state;
mod time;
pub mod worker;
