//! Tests of `figures`.

use super::*;
use crate::pool::close_reason::CloseReason;

#[test]
fn counts_each_request_once_and_as_outstanding_until_its_end() {
    let figures = Figures::new(["look", "watch"].into_iter());
    let mut connections = PoolFigures { open: 4, idle: 1, opening: 2, peak: 6, ..PoolFigures::default() };
    connections.closed.insert(CloseReason::GivenUp, 3);
    let reported = r#","connections":{"open":4,"idle":1,"opening":2,"peak":6,"opened":0,"failed":0,"reused":0,"waits":0,"waited_us":0,"closed":{"given_up":3}},"list":{"version":9,"age_ms":70}}"#;
    let gauges = Gauges {
        forwards: 5,
        discovered: 3,
        ejected: 1,
        connections,
        list: ListAge { version: 9, age_ms: 70 },
        fullness: Fullness::default(),
    };
    let text = || String::from_utf8(figures.json(&gauges).unwrap()).unwrap();
    let mut served = figures.start_request(0);
    let left = figures.start_request(1);
    assert_eq!(
        text(),
        r#"{"succeeded":{"look":0,"watch":0},"declined":{"look":0,"watch":0},"aborted":{"look":0,"watch":0},"forwards":5,"outstanding":2,"discovered":3,"ejected":1"#.to_string()
            + reported
    );
    served.set_outcome(RequestOutcome::Succeeded);
    drop(served);
    drop(left);
    assert_eq!(
        text(),
        r#"{"succeeded":{"look":1,"watch":0},"declined":{"look":0,"watch":0},"aborted":{"look":0,"watch":1},"forwards":5,"outstanding":0,"discovered":3,"ejected":1"#.to_string()
            + reported
    );
}

#[tokio::test(start_paused = true)]
async fn reports_durations_by_class_and_outcome() {
    let figures = Figures::new(["look", "watch"].into_iter());
    for ms in 1..=100 {
        let mut taken = figures.start_request(1);
        tokio::time::advance(Duration::from_millis(ms)).await;
        taken.set_outcome(if ms > 90 { RequestOutcome::Declined } else { RequestOutcome::Succeeded });
    }
    let mut days = figures.start_request(0);
    days.set_outcome(RequestOutcome::Succeeded);
    tokio::time::advance(MAX_RECORDED_TIME * 48).await;
    drop(days);
    let times = figures.times();
    let reported: Vec<_> = times.iter().map(|(class, end, t)| (class.as_str(), *end, t.count())).collect();
    let all = [
        ("look", RequestOutcome::Succeeded, 1),
        ("watch", RequestOutcome::Succeeded, 90),
        ("watch", RequestOutcome::Declined, 10),
    ];
    assert_eq!(reported, all);
    let near = |reported: Duration, ms: f64| (reported.as_secs_f64() * 1000.0 / ms - 1.0).abs() < 0.02;
    assert!(near(times[1].2.quantile(0.5), 45.0) && near(times[2].2.quantile(1.0), 100.0), "{times:?}");
    assert!(
        near(times[0].2.quantile(1.0), MAX_RECORDED_TIME.as_millis() as f64),
        "longer times count as the maximum"
    );
    // Bounds that lie between the recorded times, so that one bound is close to several of them.
    for ms in 1..=100 {
        let bounds = [Duration::from_millis(ms), Duration::from_micros(ms * 1000 + 300)];
        let counts = times[1].2.buckets(&bounds);
        assert_eq!(counts.iter().sum::<u64>(), 90, "each request counts once: {counts:?} at {ms} ms");
    }
    let counts = times[1].2.buckets(&[Duration::from_millis(20)]);
    assert!((19..=21).contains(&counts[0]), "{counts:?}");
}
