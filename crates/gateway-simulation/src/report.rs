//! What a play shows.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

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
    /// In the middle of each second: the work that all servers can do which want something new, in warm cores, and the
    /// part of it in use.
    pub cores: Vec<[f64; 2]>,
    /// Of each second, by the places that [`flow`] names.
    #[serde(default)]
    pub flow: Vec<[u32; 5]>,
    /// Of each second, in milliseconds of mean work: requests within quota that a client asks for the first time, and what
    /// was served in time of those that came then.
    #[serde(default)]
    pub work: Vec<[f64; 2]>,
    /// Events that were played, the uncounted start with them.
    pub events: u64,
}

/// What a second of [`Report::flow`] counts.
pub mod flow {
    pub const ATTEMPTS: usize = 0;
    /// The first attempts of their requests.
    pub const FIRST: usize = 1;
    /// Attempts that were turned away.
    pub const REJECTED: usize = 2;
    /// Attempts at servers that serve nothing: dead, silent, cut off or refusing.
    pub const FUTILE: usize = 3;
    /// The most of these at one server.
    pub const MAX_FUTILE_PER_SERVER: usize = 4;
}

/// How a fleet fares over some seconds, against what its servers could do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetStats {
    /// Work served in time, as a part of what could have been: what was wanted, or what the servers had capacity for.
    pub goodput: f64,
    /// Attempts for each first one.
    pub attempts: f64,
    /// Attempts a second that were turned away.
    pub rejected_per_s: f64,
    /// Attempts a second at servers that serve nothing, and the most at one of them in any second.
    pub futile_per_s: f64,
    pub max_futile_per_server: u32,
}

/// What [`FleetStats`] words, in its order.
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
    /// The work that was served in time of a second, and what could have been.
    fn useful(&self, second: usize) -> [f64; 2] {
        let [wanted, served] = self.work.get(second).copied().unwrap_or_default();
        [served, wanted.min(self.cores.get(second).map_or(0.0, |cores| cores[0] * 1000.0))]
    }

    /// Of the seconds from `from` to before `to`.
    pub fn fleet_stats(&self, from: usize, to: usize) -> FleetStats {
        let seconds = from..to.min(self.flow.len());
        let sum = |what: usize| seconds.clone().map(|n| f64::from(self.flow[n][what])).sum::<f64>();
        let useful = seconds.clone().map(|n| self.useful(n));
        let [served, possible] = useful.fold([0.0; 2], |sum, one| [sum[0] + one[0], sum[1] + one[1]]);
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

    /// How long after `from`, in seconds, until 95% of what could be done in a second is served in time.
    pub fn recovery_time_s(&self, from: f64) -> Option<f64> {
        let mut after = from.ceil() as usize..self.work.len().min(self.cores.len());
        let well = after.find(|n| {
            let [served, possible] = self.useful(*n);
            served >= 0.95 * possible
        });
        well.map(|n| n as f64 + 1.0 - from)
    }
    /// Of the seconds from `from` to before `to`: units beyond quota of those sent, and tries refused with half of the quota.
    pub fn quota_shares(&self, from: usize, to: usize) -> [f64; 2] {
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

/// Adds work to a second: what is wanted (0), or served in time (1).
pub fn add(seconds: &mut Vec<[f64; 2]>, at: Option<usize>, what: usize, work_ms: f64) {
    let Some(at) = at else { return };
    if seconds.len() <= at {
        seconds.resize(at + 1, [0.0; 2]);
    }
    seconds[at][what] += work_ms;
}

/// Counts attempts at servers that serve nothing, by second and server.
#[derive(Default)]
pub struct FutileAttempts {
    second: Option<usize>,
    at: BTreeMap<usize, u32>,
}

impl FutileAttempts {
    pub fn count(&mut self, flow: &mut Vec<[u32; 5]>, second: Option<usize>, server: usize) {
        if self.second != second {
            (self.second, self.at) = (second, BTreeMap::new());
        }
        count(flow, second, flow::FUTILE);
        let here = self.at.entry(server).or_default();
        *here += 1;
        if let Some(second) = second {
            flow[second][flow::MAX_FUTILE_PER_SERVER] = flow[second][flow::MAX_FUTILE_PER_SERVER].max(*here);
        }
    }
}

/// Times up to ten minutes, to three digits.
pub(crate) fn response_time_histogram() -> Histogram<u64> {
    // The bounds are good ones.
    Histogram::new_with_bounds(1, 600_000_000, 3).unwrap_or_else(|e| unreachable!("{e}"))
}

#[cfg(test)]
mod tests;
