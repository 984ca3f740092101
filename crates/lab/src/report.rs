//! What a play shows.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// The figures of one play, of requests that came after the uncounted start. A client that asks again makes a new request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub scenario: String,
    pub seed: u64,
    pub requests: u64,
    /// Served within the class's aim, and later but within the client's time.
    pub on_time: u64,
    pub late: u64,
    pub refused: u64,
    /// Refused though at least half of the customer's quota was there.
    pub refused_with_room: u64,
    pub failed: u64,
    /// Requests that were sent, and those of them beyond the customer's quota.
    #[serde(default)]
    pub passed: u64,
    #[serde(default)]
    pub beyond: u64,
    /// Left by their client, or lost with their gateway.
    pub gone: u64,
    /// The worth of what was served in time, as a part of what was asked within quotas.
    pub worth: f64,
    pub attempts: u64,
    /// Attempts that ended without an answer in time: silence, or no connection.
    pub late_ends: u64,
    /// Attempts that were turned away.
    pub turned_away: u64,
    /// Attempts to another zone than the gateway's.
    pub crossings: u64,
    /// New connections to servers.
    pub connections: u64,
    /// Servers that were pushed over while cold.
    pub fallen: u64,
    /// Work that served no answer, as a part of all work.
    pub wasted: f64,
    /// Times of what was served, in milliseconds.
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Of each second: requests that came, and those of them that were served in time.
    pub seconds: Vec<[u32; 2]>,
    /// Of each second: requests that were sent for the first time, those of them beyond quota, tries, and those refused and
    /// never sent though half of the quota was there.
    #[serde(default)]
    pub quota: Vec<[u32; 4]>,
    /// At the end of each second: the work that all servers can do which want something new, in warm cores, and the part
    /// of it in use.
    pub cores: Vec<[f64; 2]>,
    /// Events that were played, the uncounted start with them.
    pub events: u64,
}

impl Report {
    /// Of the seconds from `from` to before `to`: units beyond quota of those sent, and tries refused with half of the quota.
    pub fn quotas(&self, from: usize, to: usize) -> [f64; 2] {
        let sum = self.quota.iter().take(to).skip(from).fold([0_u64; 4], |mut sum, second| {
            sum.iter_mut().zip(second).for_each(|(sum, n)| *sum += u64::from(*n));
            sum
        });
        let share = |part: u64, all: u64| part as f64 / all.max(1) as f64;
        [share(sum[1], sum[0]), share(sum[3], sum[2])]
    }
}

/// Adds to a second's count, however late it comes.
pub fn count<const N: usize>(seconds: &mut Vec<[u32; N]>, at: Option<usize>, what: usize) {
    let Some(at) = at else { return };
    if seconds.len() <= at {
        seconds.resize(at + 1, [0; N]);
    }
    seconds[at][what] += 1;
}

/// Times up to ten minutes, to three digits.
pub(crate) fn times() -> Histogram<u64> {
    // The bounds are good ones.
    Histogram::new_with_bounds(1, 600_000_000, 3).unwrap_or_else(|e| unreachable!("{e}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_are_of_the_seconds_that_are_named() {
        let report = Report { quota: vec![[9, 9, 9, 9], [10, 1, 20, 5], [0; 4]], ..Report::default() };
        assert_eq!((report.quotas(1, 3), report.quotas(2, 3)), ([0.1, 0.25], [0.0, 0.0]));
    }
}
