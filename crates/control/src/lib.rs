//! The control role: operator's API, discovery of workers, calls to workers, hosting of consensus and scheduler.
//!
//! This crate is the I/O around two state machines. All decisions are made in `consensus` (who leads, what is
//! committed) and in `scheduler` (what to do for jobs and workers); this crate gives them a clock, a disk and
//! connections, and runs the event loop that joins them (`driver`).

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
