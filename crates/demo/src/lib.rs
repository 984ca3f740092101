//! A demonstration of the complete system on loopback. It starts three core and three edge processes of the
//! program, and simulates the platform, the workers and the clients in its own process. After half of the
//! time it kills the leader.

#![warn(missing_docs)]

pub mod children;
mod clients;
mod environment;
mod error;
mod http;
mod platform;
mod report;
mod scenario;
mod server;
mod stand_ins;
mod worker;

pub use environment::SERVICE;
pub use error::DemoError;
pub use report::Report;
pub use stand_ins::StandIns;

use std::path::Path;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Time in addition to the demonstration itself for starting, finishing the last jobs and stopping.
const EXTRA_TIME: Duration = Duration::from_secs(40);

/// Runs the demonstration for `duration` with child processes of `program` and returns the results of the
/// clients. All child processes have ended when the function returns.
///
/// # Errors
///
/// A [`DemoError`] if a process, a simulated server or the runtime fails, or the demonstration exceeds its
/// time limit.
pub fn run(program: &Path, duration: Duration) -> Result<Report, DemoError> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(DemoError::Runtime)?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        match timeout(duration + EXTRA_TIME, scenario::run_demo(program, duration)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(DemoError::TimedOut(duration + EXTRA_TIME)),
        }
    })
}
