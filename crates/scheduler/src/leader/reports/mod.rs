//! Read-only reports for operators, built when they are asked for.

mod job;
mod load;
mod queues;
mod workers;

pub use load::LeaderLoad;
