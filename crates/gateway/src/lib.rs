//! The gateway on real sockets, around the decisions of `gateway-decisions`. The program in `main.rs` is
//! thin: tests and tools host a gateway the same way, on a local runtime.

#![warn(missing_docs)]

mod backends;
mod bodies;
mod client;
pub mod config;
mod discovery;
mod driver;
mod figures;
mod handover;
mod host;
pub mod inherited;
mod link;
mod openmetrics;
mod ops;
mod peer_message;
mod pool;
mod server;
mod staleness;

pub use config::Config;
pub use host::{Host, HostError, ReloadHandle};
