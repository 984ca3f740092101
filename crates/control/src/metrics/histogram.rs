//! Histogram of durations with fixed buckets.

const NANOS_PER_MS: u64 = 1_000_000;
/// Upper bounds of the buckets in milliseconds. One more bucket holds all longer durations.
pub const BOUNDS_MS: [u64; 14] = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 60_000];

/// Numbers of durations by bucket.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Histogram {
    buckets: [u64; BOUNDS_MS.len() + 1],
    sum: u64,
}

impl Histogram {
    /// Adds a duration in nanoseconds.
    pub fn observe(&mut self, nanos: u64) {
        let bucket = BOUNDS_MS.partition_point(|bound| bound * NANOS_PER_MS < nanos);
        self.buckets[bucket] += 1;
        self.sum = self.sum.saturating_add(nanos);
    }

    /// For each bound in milliseconds, the number of durations up to and including the bound.
    pub fn cumulative(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        let counts = self.buckets.iter().scan(0, |total, count| {
            *total += count;
            Some(*total)
        });
        BOUNDS_MS.into_iter().zip(counts)
    }

    /// The number of durations.
    pub fn count(&self) -> u64 {
        self.buckets.iter().sum()
    }

    /// The sum of all durations in seconds.
    pub fn sum_seconds(&self) -> f64 {
        self.sum as f64 / 1e9
    }
}
