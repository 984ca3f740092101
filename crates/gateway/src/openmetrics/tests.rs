//! Tests of `openmetrics`.

use super::*;
use crate::figures::Figures;

/// Checks the rules of the format: each sample follows its family, counters end in `_total`, histograms add
/// up, labels are escaped, and the text ends with its end mark.
#[tokio::test(start_paused = true)]
async fn text_is_well_formed_and_histograms_add_up() {
    let odd = "a \"quoted\"\\ name\nof two lines";
    let figures = Figures::new(["look", odd].into_iter());
    for (class, ms) in [(0, 3), (0, 30), (0, 30_000), (1, 700)] {
        let mut taken = figures.start_request(class);
        tokio::time::advance(Duration::from_millis(ms)).await;
        taken.set_outcome(RequestOutcome::Succeeded);
    }
    let counts = |end| figures.counts(end).into_iter().map(|(c, n)| (c.to_string(), n)).collect();
    let moment = MetricsSnapshot {
        ends: ENDS.iter().map(|(end, _)| (*end, counts(*end))).collect(),
        times: figures.times(),
        outstanding: 0,
        gauges: Gauges { forwards: 7, ..Gauges::default() },
        lines: Some(program_support::log::LineCounts { lost: 2, ..Default::default() }),
    };
    let text = moment.text().unwrap();
    assert!(text.ends_with("# EOF\n"), "{text}");
    let has = |line: &str| assert!(text.lines().any(|l| l == line), "{line} in {text}");
    has("granitethread_requests_total{class=\"look\",outcome=\"succeeded\"} 3");
    has("granitethread_requests_total{class=\"look\",outcome=\"declined\"} 0");
    has("# TYPE granitethread_request_duration_seconds histogram");
    let of = "class=\"look\",outcome=\"succeeded\"";
    for (le, count) in [("0.001", 0), ("0.005", 1), ("0.025", 1), ("0.05", 2), ("10.0", 2), ("+Inf", 3)] {
        has(&format!("granitethread_request_duration_seconds_bucket{{le=\"{le}\",{of}}} {count}"));
    }
    has(&format!("granitethread_request_duration_seconds_count{{{of}}} 3"));
    has("granitethread_forwards_total 7");
    has("granitethread_log_lines_total{fate=\"lost\"} 2");
    assert!(text.contains(r#"class="a \"quoted\"\\ name\nof two lines""#), "{text}");
    let mut family = "";
    for line in text.lines().filter(|l| *l != "# EOF") {
        if let Some(about) = line.strip_prefix("# ") {
            family = about.split(' ').nth(1).unwrap();
        } else {
            assert!(line.starts_with(family), "{line} under {family}");
            assert!(line.rsplit(' ').next().unwrap().parse::<f64>().is_ok(), "{line}");
        }
    }
}
