//! Writes the OpenMetrics text format, version 1.0.

use super::histogram::Histogram;
use std::fmt::Display;
use std::fmt::Write;

/// The `Content-Type` of the text.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const PREFIX: &str = "sprucehatch_";

/// A text in the OpenMetrics format, to which metric families are appended.
#[derive(Debug, Default)]
pub struct MetricsText {
    text: String,
}

impl MetricsText {
    fn family(&mut self, name: &str, kind: &str, help: &str) {
        self.push(format_args!("# TYPE {PREFIX}{name} {kind}\n# HELP {PREFIX}{name} {help}\n"));
    }

    fn push(&mut self, arguments: std::fmt::Arguments<'_>) {
        // Writing to a string cannot fail.
        let _ = self.text.write_fmt(arguments);
    }

    /// Appends a gauge.
    pub fn gauge(&mut self, name: &str, help: &str, value: impl Display) {
        self.family(name, "gauge", help);
        self.push(format_args!("{PREFIX}{name} {value}\n"));
    }

    /// Appends a gauge with one value for each set of labels (name and value).
    pub fn gauges<const N: usize>(
        &mut self,
        name: &str,
        help: &str,
        values: impl IntoIterator<Item = ([(&'static str, String); N], u64)>,
    ) {
        self.family(name, "gauge", help);
        for (labels, value) in values {
            let labels = labels_text(&labels);
            self.push(format_args!("{PREFIX}{name}{labels} {value}\n"));
        }
    }

    /// Appends a counter.
    pub fn counter(&mut self, name: &str, help: &str, value: u64) {
        self.family(name, "counter", help);
        self.push(format_args!("{PREFIX}{name}_total {value}\n"));
    }

    /// Appends a counter with one value for each value of a label.
    pub fn counters<'a>(
        &mut self,
        name: &str,
        help: &str,
        label: &'static str,
        values: impl IntoIterator<Item = (&'a str, u64)>,
    ) {
        self.family(name, "counter", help);
        for (value, count) in values {
            let labels = labels_text(&[(label, value.to_owned())]);
            self.push(format_args!("{PREFIX}{name}_total{labels} {count}\n"));
        }
    }

    /// Appends a histogram; `name` ends with `_seconds`.
    pub fn histogram(&mut self, name: &str, help: &str, histogram: &Histogram) {
        self.family(name, "histogram", help);
        for (bound_ms, count) in histogram.cumulative() {
            let bound = bound_ms as f64 / 1e3;
            self.push(format_args!("{PREFIX}{name}_bucket{{le=\"{bound:?}\"}} {count}\n"));
        }
        let (count, sum) = (histogram.count(), histogram.sum_seconds());
        self.push(format_args!("{PREFIX}{name}_bucket{{le=\"+Inf\"}} {count}\n"));
        self.push(format_args!("{PREFIX}{name}_sum {sum}\n{PREFIX}{name}_count {count}\n"));
    }

    /// Returns the complete text.
    pub fn finish(mut self) -> String {
        self.text.push_str("# EOF\n");
        self.text
    }
}

/// Formats labels in braces. Backslashes, quotes and newlines in values are escaped.
fn labels_text(labels: &[(&'static str, String)]) -> String {
    let escape = |value: &str| value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
    let texts: Vec<String> =
        labels.iter().map(|(name, value)| format!("{name}=\"{}\"", escape(value))).collect();
    format!("{{{}}}", texts.join(","))
}
