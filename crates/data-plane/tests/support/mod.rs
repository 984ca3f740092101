//! Test support: a scripted core and a raw HTTP client over loopback sockets, and a simulated upstream.
#![allow(dead_code)] // Each test file uses only a part.

pub mod client;
pub mod core;
pub mod plane;
pub mod simulated;

use std::future::Future;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Timeout of a test; a test that takes longer hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a test on one thread within a `LocalSet`, like the role itself.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let local = LocalSet::new();
    local.block_on(&runtime, async { timeout(TEST_TIMEOUT, test).await.expect("the test hangs") })
}
