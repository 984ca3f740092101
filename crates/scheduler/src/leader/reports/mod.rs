//! Read-only reports for operators, built on request.

mod job;
mod load;
mod queues;
mod workers;

pub use load::LeaderLoad;
