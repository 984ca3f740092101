//! Time limits that pass only while this process is in time.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use tokio::time::error::Elapsed;
use tokio::time::{timeout, Instant};

/// A timer that fires later than this after it is due shows that this process was late.
const LATENESS_TOLERANCE: Duration = Duration::from_millis(10);
/// How often a limit begins anew at most: a process that is always late still comes to an end.
const MAX_RESTARTS: usize = 4;

/// Waits for `future` for at most `limit`. A limit that passed while this process was late begins anew: what the future
/// waits for may have arrived meanwhile without being read.
///
/// # Errors
///
/// Fails if the limit passed before the future was ready.
pub async fn punctual_timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
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
