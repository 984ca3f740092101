//! Formats gateways' statuses and latencies as tables.

use super::answers::Answers;
use crate::table::{escaped, format_duration, table};
use gateway_protocol::status::{RequestOutcome, Status};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The request outcomes in column order: served, refused, failed.
const OUTCOMES: [RequestOutcome; 3] =
    [RequestOutcome::Succeeded, RequestOutcome::Declined, RequestOutcome::Aborted];

/// The number of requests that the gateway has finished since its start, in the order of `OUTCOMES`.
fn finished_requests(status: &Status) -> [u64; 3] {
    OUTCOMES.map(|outcome| status.latency.iter().filter(|l| l.outcome == outcome).map(|l| l.count).sum())
}

/// Finished requests of each gateway at an earlier poll, with the time of that poll: the basis of request
/// rates.
#[derive(Default)]
pub struct RequestCounts(BTreeMap<SocketAddr, ([u64; 3], Instant)>);

impl RequestCounts {
    /// Records the counts of the gateways that answered. A gateway that did not answer is left out, so its
    /// rates restart with its next answer: rates across a missed poll would mislead.
    pub fn from_answers(answers: &Answers<Status>) -> Self {
        let now = Instant::now();
        let counts = answers.iter().filter_map(|(gateway, status)| {
            Some((*gateway, (finished_requests(status.as_ref().ok()?), now)))
        });
        RequestCounts(counts.collect())
    }

    /// The cells for requests by outcome: counts since the gateway's start if `self` is empty, otherwise
    /// rates since the earlier poll (`-` if the gateway is missing from that poll).
    fn request_cells(&self, gateway: &SocketAddr, status: &Status) -> Vec<String> {
        let counts = finished_requests(status);
        if self.0.is_empty() {
            return counts.iter().map(u64::to_string).collect();
        }
        let Some((previous, polled_at)) = self.0.get(gateway) else { return vec!["-".to_string(); 3] };
        let seconds = polled_at.elapsed().as_secs_f64().max(0.001);
        // A restarted gateway counts from 0 again; a lower count than before gives a rate of 0.
        let rate = |(current, previous): (&u64, &u64)| current.saturating_sub(*previous) as f64 / seconds;
        counts.iter().zip(previous).map(|pair| format!("{:.1}", rate(pair))).collect()
    }
}

/// Formats the gateways' statuses as a table with request counts since each gateway's start, or with rates
/// since `previous` if `previous` is not empty.
pub fn status_table(answers: &Answers<Status>, previous: &RequestCounts) -> String {
    let with_unit = |what: &str| if previous.0.is_empty() { what.to_string() } else { format!("{what}/s") };
    let (served, refused, failed) = (with_unit("served"), with_unit("refused"), with_unit("failed"));
    let header = [
        "gateway",
        "name",
        "state",
        "up for",
        &served,
        &refused,
        &failed,
        "held",
        "waiting",
        "open",
        "servers",
        "avoided",
        "by hand",
        "list",
        "list age",
        "lost lines",
    ];
    let row = |(gateway, status): &(SocketAddr, Result<Status, String>)| {
        let mut cells = vec![gateway.to_string()];
        match status {
            Err(error) => cells.extend(["".to_string(), format!("failed: {}", escaped(error))]),
            Ok(status) => cells.extend(status_cells(status, previous.request_cells(gateway, status))),
        }
        cells.resize(header.len(), String::new());
        cells
    };
    table(&header, answers.iter().map(row).collect())
}

/// The cells of a gateway's row after its address.
fn status_cells(status: &Status, request_cells: Vec<String>) -> Vec<String> {
    let state = match (status.successor, status.draining, status.ready) {
        (true, ..) => "replaced",
        (_, true, _) => "draining",
        (.., true) => "ready",
        _ => "not ready",
    };
    let by_hand: Vec<String> = status.out_by_hand.iter().map(|name| escaped(name)).collect();
    let mut cells = vec![
        escaped(&status.name),
        state.to_string(),
        format_duration(Duration::from_millis(status.uptime_ms)),
    ];
    cells.extend(request_cells);
    cells.extend([
        status.outstanding.to_string(),
        status.fullness.waiting.to_string(),
        format!("{:.2}", status.fullness.open),
        status.discovered.to_string(),
        status.ejected.to_string(),
        by_hand.join(" "),
        status.list.version.to_string(),
        format_duration(Duration::from_millis(status.list.age_ms)),
        status.log_lost.to_string(),
    ]);
    cells
}

/// Formats request latencies by gateway, class and outcome as a table; empty if no request has finished.
pub fn latency_table(answers: &Answers<Status>) -> String {
    let mut rows = Vec::new();
    let statuses = answers.iter().filter_map(|(gateway, status)| Some((gateway, status.as_ref().ok()?)));
    for (gateway, status) in statuses {
        for l in &status.latency {
            let outcome = match l.outcome {
                RequestOutcome::Succeeded => "served",
                RequestOutcome::Declined => "refused",
                RequestOutcome::Aborted => "failed",
            };
            let times = [l.p50_ms, l.p99_ms, l.most_ms].map(|ms| format!("{ms:.1}"));
            let row = [gateway.to_string(), escaped(&l.class), outcome.to_string(), l.count.to_string()];
            rows.push(row.into_iter().chain(times).collect());
        }
    }
    if rows.is_empty() {
        return String::new();
    }
    format!("\n{}", table(&["gateway", "class", "outcome", "count", "p50 ms", "p99 ms", "most ms"], rows))
}
