//! Deterministic discrete-event simulation of the whole system: the real state machines run on models of
//! machines, networks, disks, clocks, workers, platform, operator and clients. Faults come from random
//! scripts, and an oracle checks the rules of the specification.
//!
//! Nothing here uses real time, sockets or threads. A day is a function of its [`site::Site`] and its
//! [`script::Script`], so a failing day can be replayed from its seed.

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
