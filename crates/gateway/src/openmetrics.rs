//! The figures as OpenMetrics text, encoded by the client library of that format.

use crate::figures::{Gauges, Times, ENDS};
use crate::pool::figures::PoolFigures;
use gateway_protocol::status::{ListAge, RequestOutcome};
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{text, DescriptorEncoder, EncodeLabelSet, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::metrics::MetricType;
use prometheus_client::registry::{Registry, Unit};
use std::fmt;
use std::time::Duration;

pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Upper bounds of the duration buckets, in milliseconds.
const BUCKETS_MS: [u64; 12] = [1, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10_000];

/// All figures at one moment.
#[derive(Debug)]
pub struct MetricsSnapshot {
    /// The counts by class for each outcome.
    pub ends: Vec<(RequestOutcome, Vec<(String, u64)>)>,
    pub times: Vec<(String, RequestOutcome, Times)>,
    pub outstanding: u64,
    pub gauges: Gauges,
    pub lines: Option<program_support::log::LineCounts>,
}

impl MetricsSnapshot {
    /// Encodes all metrics as OpenMetrics text.
    pub fn text(self) -> Result<String, fmt::Error> {
        let mut registry = Registry::with_prefix("granitethread");
        registry.register_collector(Box::new(self));
        let mut text = String::new();
        text::encode(&mut text, &registry)?;
        Ok(text)
    }
}

/// Encodes metrics one by one.
struct Metrics<'a> {
    encoder: DescriptorEncoder<'a>,
}

impl Metrics<'_> {
    fn metric(&mut self, name: &str, help: &str, metric: &impl EncodeMetric) -> fmt::Result {
        metric.encode(self.encoder.encode_descriptor(name, help, None, metric.metric_type())?)
    }

    fn counter(&mut self, name: &str, help: &str, count: u64) -> fmt::Result {
        self.metric(name, help, &ConstCounter::new(count))
    }

    fn gauge(&mut self, name: &str, help: &str, value: usize) -> fmt::Result {
        self.metric(name, help, &ConstGauge::new(value as i64))
    }

    /// Encodes a counter for each set of labels.
    fn counters<L: EncodeLabelSet>(&mut self, name: &str, help: &str, each: &[(L, u64)]) -> fmt::Result {
        let mut family = self.encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
        for (labels, count) in each {
            ConstCounter::new(*count).encode(family.encode_family(labels)?)?;
        }
        Ok(())
    }
}

impl Collector for MetricsSnapshot {
    fn encode(&self, encoder: DescriptorEncoder) -> fmt::Result {
        let mut metrics = Metrics { encoder };
        self.encode_requests(&mut metrics)?;
        encode_gauges(&mut metrics, &self.gauges, self.outstanding)?;
        encode_list_age(&mut metrics, &self.gauges.list)?;
        encode_connections(&mut metrics, &self.gauges.connections)?;
        if let Some(lines) = &self.lines {
            let fates = [("written", lines.written), ("lost", lines.lost), ("left_out", lines.suppressed)];
            let each = fates.map(|(fate, n)| ([("fate", fate)], n));
            metrics.counters("log_lines", "Lines of the log, by what became of them", &each)?;
        }
        Ok(())
    }
}

impl MetricsSnapshot {
    /// Encodes counts and durations of requests, by class and outcome.
    fn encode_requests(&self, m: &mut Metrics) -> fmt::Result {
        let word = |end: &RequestOutcome| ENDS.iter().find(|(e, _)| e == end).map_or("", |(_, word)| *word);
        let labels = |class: &str, end: &RequestOutcome| {
            [("class", class.to_string()), ("outcome", word(end).to_string())]
        };
        let ends: Vec<_> = self
            .ends
            .iter()
            .flat_map(|(end, classes)| classes.iter().map(move |(class, count)| (labels(class, end), *count)))
            .collect();
        m.counters("requests", "Requests that ended, by class and outcome", &ends)?;
        let name = "request_duration";
        let help = "Time from a request's last byte to the last of its answer";
        let mut family =
            m.encoder.encode_descriptor(name, help, Some(&Unit::Seconds), MetricType::Histogram)?;
        for (class, end, times) in &self.times {
            let ends = BUCKETS_MS.map(Duration::from_millis);
            let bounds = ends.iter().map(Duration::as_secs_f64).chain([f64::INFINITY]);
            let buckets: Vec<(f64, u64)> = bounds.zip(times.buckets(&ends)).collect();
            let labels = labels(class, end);
            let mut one = family.encode_family(&labels)?;
            one.encode_histogram::<[(&str, &str); 0]>(
                times.sum.as_secs_f64(),
                times.count(),
                &buckets,
                None,
            )?;
        }
        Ok(())
    }
}

/// Encodes attempts, roll servers and their capacity.
fn encode_gauges(m: &mut Metrics, gauges: &Gauges, outstanding: u64) -> fmt::Result {
    let Gauges { forwards, discovered, ejected, list, fullness: f, .. } = gauges;
    m.counter("forwards", "Attempts written whole to roll servers", *forwards)?;
    m.gauge("requests_outstanding", "Requests taken but not ended", outstanding as usize)?;
    m.gauge("roll_servers_discovered", "Roll servers in the list", *discovered)?;
    m.gauge("roll_servers_ejected", "Listed roll servers that are avoided", *ejected)?;
    m.metric("rooms_open", "Part of the rooms at roll servers that is open", &ConstGauge::new(f.open))?;
    m.metric("room_attempts", "Attempts that may be out at once", &ConstGauge::new(f.room))?;
    m.gauge("requests_waiting", "Requests that wait for room", f.waiting)?;
    m.metric("repeats_left", "Repeats that may go out now", &ConstGauge::new(f.repeats))?;
    m.metric("list_version", "Version of the list in use", &ConstGauge::new(list.version as i64))?;
    Ok(())
}

fn encode_list_age(m: &mut Metrics, list: &ListAge) -> fmt::Result {
    let age = ConstGauge::new(list.age_ms as f64 / 1000.0);
    let help = "Time since discovery last told the list or had nothing newer";
    let age_of = m.encoder.encode_descriptor("list_age", help, Some(&Unit::Seconds), MetricType::Gauge)?;
    age.encode(age_of)
}

/// Encodes connections to roll servers.
fn encode_connections(m: &mut Metrics, c: &PoolFigures) -> fmt::Result {
    m.gauge("connections_open", "Connections to roll servers, idle ones among them", c.open)?;
    m.gauge("connections_idle", "Idle connections to roll servers", c.idle)?;
    m.gauge("connections_opening", "Connections to roll servers that are being opened", c.opening)?;
    m.gauge("connections_peak", "The most that were open or being opened at once", c.peak)?;
    m.counter("connections_opened", "Connections to roll servers that came up", c.opened)?;
    m.counter("connections_failed", "Connections to roll servers that did not come up", c.failed)?;
    m.counter("connections_reused", "Requests on a connection that had carried others", c.reused)?;
    m.counter("connection_waits", "Requests that found no idle connection", c.waits)?;
    let waited = ConstCounter::new(c.waited_us as f64 / 1e6);
    let help = "Time that requests waited for a connection which they got";
    let of =
        m.encoder.encode_descriptor("connection_wait", help, Some(&Unit::Seconds), MetricType::Counter)?;
    waited.encode(of)?;
    let closed: Vec<_> = c.closed.iter().map(|(cause, n)| ([("cause", cause.label())], *n)).collect();
    m.counters("connections_closed", "Connections to roll servers that were closed, by cause", &closed)
}

#[cfg(test)]
mod tests;
