//! Rate limit for log lines, separate for each kind of line (one place in the source).

use super::counts::Counts;
use std::collections::HashMap;
use std::mem;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use tracing::callsite::Identifier;
use tracing::{Event, Subscriber};
use tracing_subscriber::layer::Context;
use tracing_subscriber::Layer;

/// The target of lines about the log itself, which are not limited.
pub(super) const TARGET: &str = "log";
/// The largest burst of lines of one kind.
pub(super) const BURST: f64 = 50.0;
/// The sustained rate of lines of one kind.
const LINES_PER_SECOND: f64 = 10.0;

/// The tracing layer that suppresses lines beyond the rate limit of their kind.
pub(super) struct RateLimit {
    buckets: Mutex<HashMap<Identifier, TokenBucket>>,
    counts: Arc<Counts>,
}

impl RateLimit {
    pub(super) fn new(counts: Arc<Counts>) -> Self {
        RateLimit { buckets: Mutex::default(), counts }
    }
}

/// The token bucket of one kind of line. Each line takes a token; tokens are refilled over time.
pub(super) struct TokenBucket {
    pub(super) tokens: f64,
    pub(super) refilled_at: Instant,
    pub(super) suppressed: u64,
}

impl TokenBucket {
    pub(super) fn full(now: Instant) -> Self {
        TokenBucket { tokens: BURST, refilled_at: now, suppressed: 0 }
    }

    /// Takes a token for a line. Returns the number of lines suppressed since the last admitted one, or
    /// `None` if this line is suppressed.
    pub(super) fn admit(&mut self, now: Instant) -> Option<u64> {
        let refill = now.saturating_duration_since(self.refilled_at).as_secs_f64() * LINES_PER_SECOND;
        (self.tokens, self.refilled_at) = ((self.tokens + refill).min(BURST), now);
        if self.tokens < 1.0 {
            self.suppressed += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(mem::take(&mut self.suppressed))
    }
}

impl<S: Subscriber> Layer<S> for RateLimit {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        let metadata = event.metadata();
        // Lines with `TARGET` are logged from within this function, below.
        if *metadata.level() > tracing::Level::INFO || metadata.target() == TARGET {
            return true;
        }
        let now = Instant::now();
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        let admitted =
            buckets.entry(metadata.callsite()).or_insert_with(|| TokenBucket::full(now)).admit(now);
        drop(buckets);
        match admitted {
            Some(0) => true,
            Some(suppressed) => {
                tracing::warn!(target: TARGET, left_out = suppressed, "lines like the next one were left out");
                true
            }
            None => {
                self.counts.suppressed.fetch_add(1, Ordering::Relaxed);
                false
            }
        }
    }
}
