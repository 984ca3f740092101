//! A demonstration of the complete system on loopback: three core and three edge processes of the program itself, with
//! stand-ins of the platform, the workers and the clients in this process. In the middle the leader is killed.

#![warn(missing_docs)]

pub mod children;
mod clients;
mod error;
mod http;
mod platform;
mod report;
mod server;
mod site;
mod story;
mod worker;

pub use error::DemoError;
pub use report::Report;

use std::path::Path;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Time beyond the play itself for start, the last jobs and the end.
const EXTRA_TIME: Duration = Duration::from_secs(40);

/// Plays for so long with children of `program`, and gives what the clients saw. The children are gone when it returns.
///
/// # Errors
///
/// A [`DemoError`] if a process, a stand-in or the runtime fails, or the play does not end in time.
pub fn run(program: &Path, play: Duration) -> Result<Report, DemoError> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(DemoError::Runtime)?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        match timeout(play + EXTRA_TIME, story::play(program, play)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(DemoError::TooLong(play + EXTRA_TIME)),
        }
    })
}
