//! What a trial shows: the lab's report, and what only processes have.

use gateway_simulation::report::{count, flow, Report};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How late this program's own event loop may be before its figures say nothing: for one turn in a hundred, and at most.
const LATE: Duration = Duration::from_millis(25);
const LATEST: Duration = Duration::from_millis(400);

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Figures {
    #[serde(flatten)]
    pub report: Report,
    /// By second: calls for the list, and those of them that were turned away.
    pub list: Vec<[u32; 2]>,
    /// By second: new connections to servers.
    pub opened: Vec<u32>,
    /// How long after its start each gateway was ready, in order, in seconds; those that never were are missing.
    pub ready_s: Vec<f64>,
    pub gateways: u32,
    /// Of each gateway that ran to the end, in order: processor time a second, resident memory, open descriptors.
    pub processor_ms: Vec<u64>,
    pub memory_kb: Vec<u64>,
    pub descriptors: Vec<u64>,
    /// How late this program's event loop was: the 99th of a hundred turns, and at most.
    pub late_ms: [f64; 2],
    /// Why the figures say nothing.
    pub void: Option<String>,
    #[serde(skip)]
    pub times: Vec<f64>,
    #[serde(skip)]
    pub worth: [f64; 2],
    #[serde(skip)]
    pub lateness: Vec<Duration>,
}

/// Of values in order.
pub fn quantile<T: Copy + Default>(sorted: &[T], part: f64) -> T {
    let at = (sorted.len() as f64 * part) as usize;
    sorted.get(at.min(sorted.len().saturating_sub(1))).copied().unwrap_or_default()
}

impl Figures {
    pub fn away(&mut self, second: Option<usize>) {
        self.report.turned_away += 1;
        count(&mut self.report.flow, second, flow::REJECTED);
    }

    /// Sums up.
    pub fn close(&mut self) {
        self.times.sort_by(f64::total_cmp);
        self.ready_s.sort_by(f64::total_cmp);
        self.lateness.sort();
        let [served, asked] = self.worth;
        self.report.worth = if asked > 0.0 { served / asked } else { 0.0 };
        self.report.p50_ms = quantile(&self.times, 0.5);
        self.report.p99_ms = quantile(&self.times, 0.99);
        for all in [&mut self.processor_ms, &mut self.memory_kb, &mut self.descriptors] {
            all.sort_unstable();
        }
        let (usual, worst) = (quantile(&self.lateness, 0.99), quantile(&self.lateness, 1.0));
        self.late_ms = [usual, worst].map(|late| late.as_secs_f64() * 1000.0);
        if usual > LATE || worst > LATEST {
            let [usual, worst] = self.late_ms;
            self.void = Some(format!(
                "this program was late itself: by {usual:.0} ms in one turn of a hundred, {worst:.0} ms at most"
            ));
        }
    }

    /// The most in one second.
    pub fn max_in_one_second<const N: usize>(seconds: &[[u32; N]], what: usize) -> u32 {
        seconds.iter().map(|second| second[what]).max().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
