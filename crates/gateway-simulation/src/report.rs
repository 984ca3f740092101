//! The figures of a play.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The figures of one play. Only requests that arrive after the uncounted start are counted; a client's retry
/// is a new request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub scenario: String,
    pub seed: u64,
    pub requests: u64,
    /// Requests served within the class's latency target, and those served later but before their deadline.
    pub on_time: u64,
    pub late: u64,
    pub refused: u64,
    /// Requests refused although at least half of the customer's quota was available.
    pub refused_with_room: u64,
    pub failed: u64,
    /// Requests that were sent to a server, and those of them beyond the customer's quota.
    #[serde(default)]
    pub passed: u64,
    #[serde(default)]
    pub beyond: u64,
    /// Requests that their client abandoned or that were lost with their gateway.
    pub gone: u64,
    /// Value of the requests within quota that were served in time, as a share of the value of all requests
    /// within quota.
    pub worth: f64,
    pub attempts: u64,
    /// Attempts that ended without an answer in time: the server was silent, or no connection was
    /// established.
    pub late_ends: u64,
    /// Attempts that servers rejected.
    pub turned_away: u64,
    /// Attempts that crossed from the gateway's zone to another zone.
    pub crossings: u64,
    /// New connections to servers.
    pub connections: u64,
    /// Servers that collapsed under overload while cold.
    pub fallen: u64,
    /// Work for which no answer arrived in time at the gateway, as a share of all work.
    pub wasted: f64,
    /// Response times of served requests, in milliseconds.
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// By second: requests that arrived, and those of them that were served in time.
    pub seconds: Vec<[u32; 2]>,
    /// By second: requests that were sent for the first time, those of them beyond quota, requests and
    /// retries that clients made, and those refused and never sent although half of the quota was available.
    #[serde(default)]
    pub quota: Vec<[u32; 4]>,
    /// In the middle of each second: the capacity of all servers that accept new requests, in warm cores, and
    /// the part of it in use.
    pub cores: Vec<[f64; 2]>,
    /// By second: counts at the positions that [`flow`] names.
    #[serde(default)]
    pub flow: Vec<[u32; 5]>,
    /// By second, in milliseconds of mean work: requests within quota without retries, and the requests of
    /// that second that were served in time.
    #[serde(default)]
    pub work: Vec<[f64; 2]>,
    /// Simulated events, including those of the uncounted start.
    pub events: u64,
}

/// Positions of the counts in a second of [`Report::flow`].
pub mod flow {
    pub const ATTEMPTS: usize = 0;
    /// First attempts of requests.
    pub const FIRST: usize = 1;
    /// Attempts that servers rejected.
    pub const REJECTED: usize = 2;
    /// Attempts at servers that cannot serve: stopped, silent, cut off or refusing.
    pub const FUTILE: usize = 3;
    /// The maximum of these attempts at one server.
    pub const MAX_FUTILE_PER_SERVER: usize = 4;
}

/// Statistics of a fleet over some seconds, compared with the capacity of its servers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetStats {
    /// Work served in time as a share of the possible work: the demand, or the servers' capacity where that
    /// is less.
    pub goodput: f64,
    /// Attempts per first attempt.
    pub attempts: f64,
    /// Rejected attempts per second.
    pub rejected_per_s: f64,
    /// Attempts per second at servers that cannot serve, and the maximum of them at one server within a
    /// second.
    pub futile_per_s: f64,
    pub max_futile_per_server: u32,
}

/// Column titles of [`FleetStats`] in the order of its `Display` text.
pub const FLEET_STATS_COLUMNS: &str =
    "goodput of possible, attempts a first one, turned away a second, in vain, most at one";

impl fmt::Display for FleetStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let FleetStats { goodput, attempts, rejected_per_s, futile_per_s, max_futile_per_server } = self;
        write!(
            f,
            "{goodput:.3}, {attempts:.3}, {rejected_per_s:.0}, {futile_per_s:.0}, {max_futile_per_server}"
        )
    }
}

impl Report {
    /// Returns the work of a second that was served in time, and the work that could have been served.
    fn served_and_possible(&self, second: usize) -> [f64; 2] {
        let [demanded, served] = self.work.get(second).copied().unwrap_or_default();
        [served, demanded.min(self.cores.get(second).map_or(0.0, |cores| cores[0] * 1000.0))]
    }

    /// Returns the statistics of the seconds from `from` up to but not including `to`.
    pub fn fleet_stats(&self, from: usize, to: usize) -> FleetStats {
        let seconds = from..to.min(self.flow.len());
        let sum = |column: usize| seconds.clone().map(|n| f64::from(self.flow[n][column])).sum::<f64>();
        let work = seconds.clone().map(|n| self.served_and_possible(n));
        let [served, possible] = work.fold([0.0; 2], |sum, second| [sum[0] + second[0], sum[1] + second[1]]);
        let span = seconds.len().max(1) as f64;
        FleetStats {
            goodput: served / possible.max(1.0),
            attempts: sum(flow::ATTEMPTS) / sum(flow::FIRST).max(1.0),
            rejected_per_s: sum(flow::REJECTED) / span,
            futile_per_s: sum(flow::FUTILE) / span,
            max_futile_per_server: seconds
                .map(|n| self.flow[n][flow::MAX_FUTILE_PER_SERVER])
                .max()
                .unwrap_or(0),
        }
    }

    /// Returns the time from `from`, in seconds, until the end of the first second in which 95% of the
    /// possible work is served in time; `None` if there is no such second.
    pub fn recovery_time_s(&self, from: f64) -> Option<f64> {
        let mut seconds = from.ceil() as usize..self.work.len().min(self.cores.len());
        let recovered = seconds.find(|n| {
            let [served, possible] = self.served_and_possible(*n);
            served >= 0.95 * possible
        });
        recovered.map(|n| n as f64 + 1.0 - from)
    }

    /// Returns two shares over the seconds from `from` up to but not including `to`: units beyond quota among
    /// those sent, and requests refused with half of the quota available among those that clients made.
    pub fn quota_shares(&self, from: usize, to: usize) -> [f64; 2] {
        let sum = self.quota.iter().take(to).skip(from).fold([0_u64; 4], |mut sum, second| {
            sum.iter_mut().zip(second).for_each(|(sum, n)| *sum += u64::from(*n));
            sum
        });
        let share = |part: u64, all: u64| part as f64 / all.max(1) as f64;
        [share(sum[1], sum[0]), share(sum[3], sum[2])]
    }
}

/// Increments a count of a second and adds seconds up to it as needed; does nothing without a second.
pub fn count<const N: usize>(seconds: &mut Vec<[u32; N]>, second: Option<usize>, column: usize) {
    let Some(second) = second else { return };
    if seconds.len() <= second {
        seconds.resize(second + 1, [0; N]);
    }
    seconds[second][column] += 1;
}

/// Adds work in milliseconds to a second: demanded (column 0) or served in time (column 1).
pub fn add(seconds: &mut Vec<[f64; 2]>, second: Option<usize>, column: usize, work_ms: f64) {
    let Some(second) = second else { return };
    if seconds.len() <= second {
        seconds.resize(second + 1, [0.0; 2]);
    }
    seconds[second][column] += work_ms;
}

/// Counts attempts at servers that cannot serve, by second and server.
#[derive(Default)]
pub struct FutileAttempts {
    second: Option<usize>,
    by_server: BTreeMap<usize, u32>,
}

impl FutileAttempts {
    pub fn count(&mut self, flow: &mut Vec<[u32; 5]>, second: Option<usize>, server: usize) {
        if self.second != second {
            (self.second, self.by_server) = (second, BTreeMap::new());
        }
        count(flow, second, flow::FUTILE);
        let at_server = self.by_server.entry(server).or_default();
        *at_server += 1;
        if let Some(second) = second {
            flow[second][flow::MAX_FUTILE_PER_SERVER] =
                flow[second][flow::MAX_FUTILE_PER_SERVER].max(*at_server);
        }
    }
}

/// Creates a histogram of times up to ten minutes in microseconds, with a precision of three digits.
pub(crate) fn response_time_histogram() -> Histogram<u64> {
    // These bounds are valid.
    Histogram::new_with_bounds(1, 600_000_000, 3).unwrap_or_else(|e| unreachable!("{e}"))
}

#[cfg(test)]
mod tests;
