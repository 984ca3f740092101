//! Metrics: the counters and the OpenMetrics text format.

use control::metrics::histogram::{Histogram, BOUNDS_MS};
use control::metrics::text::MetricsText;
use control::metrics::turns::TurnPart;
use control::metrics::{Leadership, Metrics};
use messages::job::{EndKind, JobPhase};
use quickcheck::quickcheck;
use scheduler::ids::{AttemptKey, TaskKey};
use scheduler::state::{AttemptOutcome, StateChange};

const MS: u64 = 1_000_000;

fn key(job: u64) -> AttemptKey {
    AttemptKey { task: TaskKey { job, time: 0, step: 0, index: 0 }, attempt: 1 }
}

fn text_of(metrics: &Metrics) -> String {
    let mut text = MetricsText::default();
    metrics.write(&mut text);
    text.finish()
}

fn has_line(text: &str, line: &str) -> bool {
    text.lines().any(|found| found == line)
}

quickcheck! {
    fn every_duration_is_in_all_buckets_up_from_its_own(times: Vec<u32>) -> bool {
        let mut histogram = Histogram::default();
        times.iter().for_each(|time| histogram.observe(u64::from(*time) * 50));
        let expected = |bound_ms: u64| {
            times.iter().filter(|time| u64::from(**time) * 50 <= bound_ms * MS).count() as u64
        };
        histogram.count() == times.len() as u64
            && histogram.cumulative().map(|(bound, _)| bound).eq(BOUNDS_MS)
            && histogram.cumulative().all(|(bound, count)| count == expected(bound))
    }
}

#[test]
fn histogram_is_written_with_bounds_in_seconds() {
    let mut histogram = Histogram::default();
    histogram.observe(MS);
    histogram.observe(3 * MS);
    histogram.observe(90_000 * MS);
    let mut text = MetricsText::default();
    text.histogram("wait_seconds", "Help.", &histogram);
    let text = text.finish();
    for line in [
        "# TYPE sprucehatch_wait_seconds histogram",
        "# HELP sprucehatch_wait_seconds Help.",
        "sprucehatch_wait_seconds_bucket{le=\"0.001\"} 1",
        "sprucehatch_wait_seconds_bucket{le=\"0.005\"} 2",
        "sprucehatch_wait_seconds_bucket{le=\"60.0\"} 2",
        "sprucehatch_wait_seconds_bucket{le=\"+Inf\"} 3",
        "sprucehatch_wait_seconds_sum 90.004",
        "sprucehatch_wait_seconds_count 3",
    ] {
        assert!(has_line(&text, line), "{line}\n{text}");
    }
    assert!(text.ends_with("\n# EOF\n"));
}

#[test]
fn label_values_are_escaped() {
    let mut text = MetricsText::default();
    text.gauges("workers", "Help.", [([("service", "a\"b\\c\nd".to_owned())], 2)]);
    let text = text.finish();
    assert!(has_line(&text, r#"sprucehatch_workers{service="a\"b\\c\nd"} 2"#), "{text}");
}

#[test]
fn jobs_and_attempts_are_counted_when_applied() {
    let mut metrics = Metrics::default();
    metrics.leadership_changed(Leadership::Gained);
    let instance = std::sync::Arc::from("i-1");
    let over =
        StateChange::AttemptFinished { key: key(1), instance, outcome: AttemptOutcome::Ended(EndKind::DONE) };
    metrics.proposed(10 * MS);
    metrics.applied(13 * MS, &[StateChange::JobAccepted { job: 1 }], true, |_| true);
    let started = StateChange::AttemptStarted { key: key(1), instance: "i-1".into() };
    metrics.applied(20 * MS, &[started.clone(), started], true, |_| true);
    let ended = StateChange::JobEnded { job: 1, phase: JobPhase::COMPLETED };
    metrics.applied(30 * MS, &[over, ended], true, |_| true);

    let text = text_of(&metrics);
    for line in [
        "sprucehatch_jobs_accepted_total 1",
        "sprucehatch_jobs_ended_total{how=\"completed\"} 1",
        "sprucehatch_jobs_ended_total{how=\"failed\"} 0",
        "sprucehatch_attempts_started_total 2",
        "sprucehatch_attempts_over_total{how=\"done\"} 1",
        "sprucehatch_terms_led_total 1",
        "sprucehatch_commit_latency_seconds_count 1",
        "sprucehatch_commit_latency_seconds_sum 0.003",
        "sprucehatch_accept_to_start_seconds_count 1",
        "sprucehatch_accept_to_start_seconds_sum 0.007",
    ] {
        assert!(has_line(&text, line), "{line}\n{text}");
    }
}

#[test]
fn latencies_are_not_measured_across_leaders() {
    let mut metrics = Metrics::default();
    metrics.leadership_changed(Leadership::Gained);
    metrics.proposed(10 * MS);
    metrics.applied(12 * MS, &[StateChange::JobAccepted { job: 1 }], true, |_| true);
    metrics.proposed(14 * MS);
    metrics.leadership_changed(Leadership::Lost);
    let started = StateChange::AttemptStarted { key: key(1), instance: "i-1".into() };
    metrics.applied(9_000 * MS, &[started], false, |_| true);
    let text = text_of(&metrics);
    assert!(has_line(&text, "sprucehatch_commit_latency_seconds_count 1"), "{text}");
    assert!(has_line(&text, "sprucehatch_accept_to_start_seconds_count 0"), "{text}");
}

#[test]
fn turn_time_is_written_by_part() {
    let mut metrics = Metrics::default();
    metrics.turns.record_part(TurnPart::WorkerCalls, 3, 6 * MS);
    metrics.turns.record_part(TurnPart::Timers, 1, MS);
    metrics.turns.record_turn(7 * MS);
    let text = text_of(&metrics);
    for line in [
        r#"sprucehatch_turn_events_total{part="worker_calls"} 3"#,
        r#"sprucehatch_turn_busy_microseconds_total{part="worker_calls"} 6000"#,
        r#"sprucehatch_turn_busy_microseconds_total{part="timers"} 1000"#,
        "sprucehatch_turn_seconds_count 1",
    ] {
        assert!(has_line(&text, line), "{line}\n{text}");
    }
    let span = metrics.turns.take_span();
    assert_eq!((span.turns, span.busy_ns, span.longest_ns), (1, 7 * MS, 7 * MS));
    assert_eq!(metrics.turns.take_span().turns, 0);
}
