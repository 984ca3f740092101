//! The figures that operators read: what became of requests since the start of the process, and how long they took.

use crate::pool::PoolFigures;
use granitehub_protocol::status::{End, Fullness, ListAge};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

pub const ENDS: [(End, &str); 3] =
    [(End::Succeeded, "succeeded"), (End::Declined, "declined"), (End::Aborted, "aborted")];

/// Times are told apart to two digits, from a microsecond up to this; what takes longer counts as this long. A class
/// and outcome that occurs takes some 26 kB.
const LONGEST: Duration = Duration::from_secs(3600);
const DIGITS: u8 = 2;

type PerClass<'a> = BTreeMap<&'a str, u64>;

/// The times of one class and outcome.
#[derive(Clone, Debug)]
pub struct Times {
    histogram: Histogram<u64>,
    pub sum: Duration,
}

impl Times {
    fn new() -> Option<Self> {
        let histogram = Histogram::new_with_bounds(1, LONGEST.as_micros() as u64, DIGITS).ok()?;
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

    /// The time that so large a part of the requests took at most.
    pub fn quantile(&self, part: f64) -> Duration {
        Duration::from_micros(self.histogram.value_at_quantile(part))
    }

    /// How many took at most each of these times, in order, and longer than the one before; the last count is of those that
    /// took longer than all. Each is counted once, though times are told apart to two digits only.
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

/// One class's three outcomes; none until one occurs.
type Ends = [Option<Box<Times>>; 3];

pub struct Figures {
    classes: Vec<String>,
    ends: RefCell<Vec<Ends>>,
    outstanding: Cell<u64>,
}

/// The figures as they are told.
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

/// What is told beside the counts of requests.
#[derive(Clone, Debug, Default)]
pub struct Rest {
    pub forwards: u64,
    pub discovered: usize,
    pub ejected: usize,
    pub connections: PoolFigures,
    pub list: ListAge,
    pub fullness: Fullness,
}

impl Figures {
    /// Every class is there from the start, at 0.
    pub fn new<'a>(classes: impl Iterator<Item = &'a str>) -> Rc<Self> {
        let classes: Vec<String> = classes.map(str::to_string).collect();
        let ends = classes.iter().map(|_| Ends::default()).collect();
        Rc::new(Figures { classes, ends: RefCell::new(ends), outstanding: Cell::new(0) })
    }

    /// A request of the class with this number has come whole.
    pub fn taken(self: &Rc<Self>, class: usize) -> Taken {
        self.outstanding.set(self.outstanding.get() + 1);
        Taken { figures: self.clone(), class, end: End::Aborted, since: Instant::now() }
    }

    pub fn outstanding(&self) -> u64 {
        self.outstanding.get()
    }

    /// The times of each class and outcome that has occurred.
    pub fn times(&self) -> Vec<(String, End, Times)> {
        let ends = self.ends.borrow();
        let each = self.classes.iter().zip(ends.iter());
        let each = each
            .flat_map(|(class, ends)| ENDS.iter().zip(ends).map(move |(end, times)| (class, end.0, times)));
        each.filter_map(|(class, end, times)| Some((class.clone(), end, (**times.as_ref()?).clone())))
            .collect()
    }

    /// How often the classes ended so. Classes of one name count as one.
    pub fn counts(&self, end: End) -> PerClass<'_> {
        let mut counts = PerClass::new();
        for (class, ends) in self.classes.iter().zip(self.ends.borrow().iter()) {
            let times = ends[end as usize].as_ref();
            *counts.entry(class.as_str()).or_default() += times.map_or(0, |times| times.count());
        }
        counts
    }

    pub fn json(&self, rest: &Rest) -> serde_json::Result<Vec<u8>> {
        serde_json::to_vec(&Report {
            succeeded: self.counts(End::Succeeded),
            declined: self.counts(End::Declined),
            aborted: self.counts(End::Aborted),
            forwards: rest.forwards,
            outstanding: self.outstanding.get(),
            discovered: rest.discovered,
            ejected: rest.ejected,
            connections: &rest.connections,
            list: rest.list,
        })
    }
}

/// A request that has not ended. It is counted once, where this is dropped: as aborted unless said otherwise.
pub struct Taken {
    figures: Rc<Figures>,
    class: usize,
    end: End,
    since: Instant,
}

impl Taken {
    /// How it ends, if nothing happens to it any more.
    pub fn ends(&mut self, end: End) {
        self.end = end;
    }
}

impl Drop for Taken {
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
mod tests {
    use super::*;
    use crate::pool::Cause;

    #[test]
    fn each_request_is_counted_once_and_outstanding_until_then() {
        let figures = Figures::new(["look", "watch"].into_iter());
        let mut connections = PoolFigures { open: 4, idle: 1, opening: 2, peak: 6, ..PoolFigures::default() };
        connections.closed.insert(Cause::GivenUp, 3);
        let told = r#","connections":{"open":4,"idle":1,"opening":2,"peak":6,"opened":0,"failed":0,"reused":0,"waits":0,"waited_us":0,"closed":{"given_up":3}},"list":{"version":9,"age_ms":70}}"#;
        let rest = Rest {
            forwards: 5,
            discovered: 3,
            ejected: 1,
            connections,
            list: ListAge { version: 9, age_ms: 70 },
            fullness: Fullness::default(),
        };
        let text = || String::from_utf8(figures.json(&rest).unwrap()).unwrap();
        let mut served = figures.taken(0);
        let left = figures.taken(1);
        assert_eq!(
            text(),
            r#"{"succeeded":{"look":0,"watch":0},"declined":{"look":0,"watch":0},"aborted":{"look":0,"watch":0},"forwards":5,"outstanding":2,"discovered":3,"ejected":1"#.to_string()
                + told
        );
        served.ends(End::Succeeded);
        drop(served);
        drop(left);
        assert_eq!(
            text(),
            r#"{"succeeded":{"look":1,"watch":0},"declined":{"look":0,"watch":0},"aborted":{"look":0,"watch":1},"forwards":5,"outstanding":0,"discovered":3,"ejected":1"#.to_string()
                + told
        );
    }

    #[tokio::test(start_paused = true)]
    async fn the_time_of_a_request_is_told_by_class_and_outcome() {
        let figures = Figures::new(["look", "watch"].into_iter());
        for ms in 1..=100 {
            let mut taken = figures.taken(1);
            tokio::time::advance(Duration::from_millis(ms)).await;
            taken.ends(if ms > 90 { End::Declined } else { End::Succeeded });
        }
        let mut days = figures.taken(0);
        days.ends(End::Succeeded);
        tokio::time::advance(LONGEST * 48).await;
        drop(days);
        let times = figures.times();
        let told: Vec<_> = times.iter().map(|(class, end, t)| (class.as_str(), *end, t.count())).collect();
        let all = [("look", End::Succeeded, 1), ("watch", End::Succeeded, 90), ("watch", End::Declined, 10)];
        assert_eq!(told, all);
        let near = |told: Duration, ms: f64| (told.as_secs_f64() * 1000.0 / ms - 1.0).abs() < 0.02;
        assert!(near(times[1].2.quantile(0.5), 45.0) && near(times[2].2.quantile(1.0), 100.0), "{times:?}");
        assert!(near(times[0].2.quantile(1.0), LONGEST.as_millis() as f64), "the longest that is told apart");
        // Ends that lie among the times, so that one is near several of them.
        for ms in 1..=100 {
            let bounds = [Duration::from_millis(ms), Duration::from_micros(ms * 1000 + 300)];
            let counts = times[1].2.buckets(&bounds);
            assert_eq!(counts.iter().sum::<u64>(), 90, "each once: {counts:?} at {ms} ms");
        }
        let counts = times[1].2.buckets(&[Duration::from_millis(20)]);
        assert!((19..=21).contains(&counts[0]), "{counts:?}");
    }
}
