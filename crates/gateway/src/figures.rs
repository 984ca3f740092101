//! The figures for operators: the outcomes of requests since the start of the process, and how long they
//! took.

use crate::pool::figures::PoolFigures;
use gateway_protocol::status::{Fullness, ListAge, RequestOutcome};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The outcomes of requests with their names in the reports, in the order of their index.
pub const ENDS: [(RequestOutcome, &str); 3] = [
    (RequestOutcome::Succeeded, "succeeded"),
    (RequestOutcome::Declined, "declined"),
    (RequestOutcome::Aborted, "aborted"),
];

/// Times are recorded with two significant digits, from a microsecond up to this; a longer time counts as
/// this. Each class and outcome that occurs takes about 26 kB.
const MAX_RECORDED_TIME: Duration = Duration::from_secs(3600);
const SIGNIFICANT_DIGITS: u8 = 2;

type PerClass<'a> = BTreeMap<&'a str, u64>;

/// The durations of requests of one class and outcome.
#[derive(Clone, Debug)]
pub struct Times {
    histogram: Histogram<u64>,
    pub sum: Duration,
}

impl Times {
    fn new() -> Option<Self> {
        let histogram =
            Histogram::new_with_bounds(1, MAX_RECORDED_TIME.as_micros() as u64, SIGNIFICANT_DIGITS).ok()?;
        Some(Times { histogram, sum: Duration::ZERO })
    }

    fn record(&mut self, took: Duration) {
        let us = took.as_micros().try_into().unwrap_or(u64::MAX);
        self.histogram.saturating_record(us.max(1));
        self.sum += took;
    }

    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns the time within which this part of the requests ended.
    pub fn quantile(&self, part: f64) -> Duration {
        Duration::from_micros(self.histogram.value_at_quantile(part))
    }

    /// Returns the number of requests per bucket. `most` holds the upper ends of the buckets in ascending
    /// order; the last count is of requests that took longer than all of them. Each request is counted once,
    /// although times are recorded with two digits only.
    pub fn buckets(&self, most: &[Duration]) -> Vec<u64> {
        let mut counts = vec![0; most.len() + 1];
        for recorded in self.histogram.iter_recorded() {
            let took = self.histogram.lowest_equivalent(recorded.value_iterated_to());
            let place = most.iter().position(|most| u128::from(took) <= most.as_micros());
            counts[place.unwrap_or(most.len())] += recorded.count_since_last_iteration();
        }
        counts
    }
}

/// The durations of one class by outcome; None until the outcome occurs.
type Ends = [Option<Box<Times>>; 3];

/// The counts and durations of one gateway's requests.
pub struct Figures {
    classes: Vec<String>,
    ends: RefCell<Vec<Ends>>,
    outstanding: Cell<u64>,
}

/// The figures as they are reported.
#[derive(Serialize)]
pub struct Report<'a> {
    pub succeeded: PerClass<'a>,
    pub declined: PerClass<'a>,
    pub aborted: PerClass<'a>,
    pub forwards: u64,
    pub outstanding: u64,
    pub discovered: usize,
    pub ejected: usize,
    pub connections: &'a PoolFigures,
    pub list: ListAge,
}

/// The values that are reported in addition to the counts of requests.
#[derive(Clone, Debug, Default)]
pub struct Gauges {
    pub forwards: u64,
    pub discovered: usize,
    pub ejected: usize,
    pub connections: PoolFigures,
    pub list: ListAge,
    pub fullness: Fullness,
}

impl Figures {
    /// Creates the figures. Every class is reported from the start, at 0.
    pub fn new<'a>(classes: impl Iterator<Item = &'a str>) -> Rc<Self> {
        let classes: Vec<String> = classes.map(str::to_string).collect();
        let ends = classes.iter().map(|_| Ends::default()).collect();
        Rc::new(Figures { classes, ends: RefCell::new(ends), outstanding: Cell::new(0) })
    }

    /// Records that a request of this class is complete and outstanding.
    pub fn start_request(self: &Rc<Self>, class: usize) -> OutstandingRequest {
        self.outstanding.set(self.outstanding.get() + 1);
        OutstandingRequest {
            figures: self.clone(),
            class,
            end: RequestOutcome::Aborted,
            since: Instant::now(),
        }
    }

    pub fn outstanding(&self) -> u64 {
        self.outstanding.get()
    }

    /// Returns the durations of each class and outcome that has occurred.
    pub fn times(&self) -> Vec<(String, RequestOutcome, Times)> {
        let ends = self.ends.borrow();
        let each = self.classes.iter().zip(ends.iter());
        let each = each
            .flat_map(|(class, ends)| ENDS.iter().zip(ends).map(move |(end, times)| (class, end.0, times)));
        each.filter_map(|(class, end, times)| Some((class.clone(), end, (**times.as_ref()?).clone())))
            .collect()
    }

    /// Returns how many requests had this outcome, by class. Classes of the same name are added up.
    pub fn counts(&self, end: RequestOutcome) -> PerClass<'_> {
        let mut counts = PerClass::new();
        for (class, ends) in self.classes.iter().zip(self.ends.borrow().iter()) {
            let times = ends[end as usize].as_ref();
            *counts.entry(class.as_str()).or_default() += times.map_or(0, |times| times.count());
        }
        counts
    }

    pub fn json(&self, gauges: &Gauges) -> serde_json::Result<Vec<u8>> {
        serde_json::to_vec(&Report {
            succeeded: self.counts(RequestOutcome::Succeeded),
            declined: self.counts(RequestOutcome::Declined),
            aborted: self.counts(RequestOutcome::Aborted),
            forwards: gauges.forwards,
            outstanding: self.outstanding.get(),
            discovered: gauges.discovered,
            ejected: gauges.ejected,
            connections: &gauges.connections,
            list: gauges.list,
        })
    }
}

/// A request that has not ended. It is counted once, when it is dropped: as aborted, unless another outcome
/// was set.
pub struct OutstandingRequest {
    figures: Rc<Figures>,
    class: usize,
    end: RequestOutcome,
    since: Instant,
}

impl OutstandingRequest {
    /// Sets the outcome that counts if nothing changes it before the drop.
    pub fn set_outcome(&mut self, end: RequestOutcome) {
        self.end = end;
    }
}

impl Drop for OutstandingRequest {
    fn drop(&mut self) {
        let f = &self.figures;
        f.outstanding.set(f.outstanding.get() - 1);
        let mut ends = f.ends.borrow_mut();
        let Some(ends) = ends.get_mut(self.class) else { return };
        let times = &mut ends[self.end as usize];
        if times.is_none() {
            *times = Times::new().map(Box::new);
        }
        if let Some(times) = times {
            times.record(self.since.elapsed());
        }
    }
}

#[cfg(test)]
mod tests;
