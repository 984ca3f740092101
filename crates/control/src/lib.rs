//! The control role: the operator's API, discovery of workers, calls to workers, and the host of consensus
//! and the scheduler.
//!
//! This crate does the input and output for two state machines. `consensus` decides who leads and what is
//! committed; `scheduler` decides what happens to jobs and workers. This crate gives them a clock, a disk and
//! network connections, and runs the event loop that connects them (`driver`).

#![warn(missing_docs)]

pub mod absence;
mod admin;
mod clients;
pub mod clock;
pub mod connection_budget;
mod disk_opening;
mod driver;
mod error;
pub mod event_queue;
pub mod events;
pub mod group_join;
pub mod http;
mod http_api;
mod identity;
pub mod input_marker;
mod limited_stream;
pub mod metrics;
mod operator_api;
mod operator_calls;
mod peer_connections;
pub mod platform;
mod process;
pub mod punctual_timeout;
pub mod relay;
pub mod replica;
mod settings_file;
mod signals;
pub mod transport;
pub mod wire;
pub mod worker_calls;
pub mod worker_client;
mod worker_lane;
pub mod writer;

pub use error::ControlError;
pub use process::{run, run_with_signals};
pub use process_signals::Signal;
pub use scheduler::leader::{Mechanism, Mechanisms};
