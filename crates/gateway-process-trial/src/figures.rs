//! The results of a trial: the simulator's report, and measurements that only real processes have.

use gateway_simulation::report::{count, flow, Report};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The limits of this program's own event loop lag, above which the results are void: for the 99th percentile
/// and the maximum.
const MAX_P99_LAG: Duration = Duration::from_millis(25);
const MAX_LAG: Duration = Duration::from_millis(400);

/// The measured results of one trial.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Figures {
    #[serde(flatten)]
    pub report: Report,
    /// By second: list calls, and how many of them were rejected.
    pub list: Vec<[u32; 2]>,
    /// By second: new connections to servers.
    pub opened: Vec<u32>,
    /// The time from each gateway's start until it was ready, in seconds, sorted. Gateways that never became
    /// ready are left out.
    pub ready_s: Vec<f64>,
    /// The number of gateways.
    pub gateways: u32,
    /// For the gateways that ran to the end, each list sorted: processor time in ms per second, resident
    /// memory in kB, open descriptors.
    pub processor_ms: Vec<u64>,
    pub memory_kb: Vec<u64>,
    pub descriptors: Vec<u64>,
    /// The event loop lag of this program in ms: 99th percentile and maximum.
    pub late_ms: [f64; 2],
    /// Why the results are void, if they are.
    pub void: Option<String>,
    /// The latencies of all served requests that count.
    #[serde(skip)]
    pub latencies_ms: Vec<f64>,
    /// The value of the requests that were served in time within the quota, and of all requests within the
    /// quota.
    #[serde(skip)]
    pub worth: [f64; 2],
    /// Samples of the event loop lag of this program.
    #[serde(skip)]
    pub event_loop_lags: Vec<Duration>,
}

/// The quantile of sorted values; the default value if there are none.
pub fn quantile<T: Copy + Default>(sorted: &[T], fraction: f64) -> T {
    let at = (sorted.len() as f64 * fraction) as usize;
    sorted.get(at.min(sorted.len().saturating_sub(1))).copied().unwrap_or_default()
}

impl Figures {
    /// Counts an attempt that a server rejected.
    pub fn count_turned_away(&mut self, second: Option<usize>) {
        self.report.turned_away += 1;
        count(&mut self.report.flow, second, flow::REJECTED);
    }

    /// Sorts the samples and computes the derived results.
    pub fn finalize(&mut self) {
        self.latencies_ms.sort_by(f64::total_cmp);
        self.ready_s.sort_by(f64::total_cmp);
        self.event_loop_lags.sort();
        let [earned, demanded] = self.worth;
        self.report.worth = if demanded > 0.0 { earned / demanded } else { 0.0 };
        self.report.p50_ms = quantile(&self.latencies_ms, 0.5);
        self.report.p99_ms = quantile(&self.latencies_ms, 0.99);
        for values in [&mut self.processor_ms, &mut self.memory_kb, &mut self.descriptors] {
            values.sort_unstable();
        }
        let (p99, worst) = (quantile(&self.event_loop_lags, 0.99), quantile(&self.event_loop_lags, 1.0));
        self.late_ms = [p99, worst].map(|late| late.as_secs_f64() * 1000.0);
        if p99 > MAX_P99_LAG || worst > MAX_LAG {
            let [p99, worst] = self.late_ms;
            self.void = Some(format!(
                "this program was late itself: by {p99:.0} ms in one turn of a hundred, {worst:.0} ms at most"
            ));
        }
    }

    /// The maximum of a column over all seconds.
    pub fn max_in_one_second<const N: usize>(seconds: &[[u32; N]], column: usize) -> u32 {
        seconds.iter().map(|second| second[column]).max().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
