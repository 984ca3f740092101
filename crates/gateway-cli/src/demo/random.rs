//! Random durations between arrivals and of work on requests.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Draws a duration from the exponential distribution with this mean.
pub fn exponential(rng: &mut ChaCha8Rng, mean: Duration) -> Duration {
    mean.mul_f64(-(1.0 - rng.random::<f64>()).ln())
}
