//! The data plane role: serves clients over HTTP, answers readiness checks, and forwards requests to the
//! leader.
//!
//! A process of this role is stateless: it keeps no queue and no configuration. It parses and validates the
//! requests of clients, forwards them to the leader of the core over one persistent connection, and gives
//! each request exactly one final answer.

#![warn(missing_docs)]

mod answers;
mod calls;
mod client_server;
mod clients;
mod drain;
mod error;
mod listener;
mod observed_stream;
mod options;
mod readiness;
mod server;
pub mod upstream;

pub use error::DataPlaneError;
pub use options::{peer_addresses, ClientLimits, DataPlaneOptions, DrainTimes};
pub use process_signals::Signal;
pub use server::DataPlane;

use configuration::ProcessSettings;
use process_signals::ProcessRuntime;
use std::path::PathBuf;

/// Runs the role until SIGTERM and the end of the graceful shutdown. The settings file at `settings_path` is
/// read again on SIGHUP, and when no member of the core is reachable.
///
/// # Errors
///
/// The settings lack a listening address, or an address cannot be listened on.
pub fn run(
    process: ProcessRuntime,
    settings: ProcessSettings,
    settings_path: PathBuf,
) -> Result<(), DataPlaneError> {
    let options = DataPlaneOptions::from_settings(&settings)?;
    let ProcessRuntime { runtime, signals } = process;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async move {
        let signals = server::forward_signals(signals);
        let plane = DataPlane::start(options)?;
        plane.run(settings_path, signals).await;
        Ok(())
    })
}
