//! The whole system in simulated time: its own state machines over models of machines, links, disks, clocks, workers,
//! platform, operator and clients, random scripts of faults, and an oracle of the rules.
//!
//! Nothing here knows real time, sockets or threads: a day is a function of its [`site::Site`] and its
//! [`script::Script`], so that each day found to fail plays again from its seed.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod core_process;
pub mod day;
mod digest;
pub mod history;
pub mod oracle;
pub mod overload;
pub mod processor;
pub mod script;
pub mod site;
pub mod time;
pub mod workers;
pub mod workload;
pub mod world;
