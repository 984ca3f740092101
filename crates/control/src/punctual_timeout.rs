//! Timeouts that start again if this process was stalled while they ran.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use tokio::time::error::Elapsed;
use tokio::time::{timeout, Instant};

/// If a timer fires more than this after it was due, the process was stalled.
const LATENESS_TOLERANCE: Duration = Duration::from_millis(10);
/// Maximum number of times that a timeout starts again, so that it ends even in a process that is always
/// stalled.
const MAX_RESTARTS: usize = 4;

/// Waits for `future` for at most `limit`. If the process was stalled when the limit passed, the limit starts
/// again, because the awaited event may have arrived without being read.
///
/// # Errors
///
/// Fails if the limit passed before the future completed.
pub async fn stall_tolerant_timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    for _ in 0..MAX_RESTARTS {
        let began = Instant::now();
        let outcome = timeout(limit, future.as_mut()).await;
        if outcome.is_ok() || began.elapsed() <= limit + LATENESS_TOLERANCE {
            return outcome;
        }
    }
    timeout(limit, future).await
}
