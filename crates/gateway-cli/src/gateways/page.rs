//! Statuses of gateways as tables.

use super::answers::Answers;
use crate::table::{plain, span, table};
use gateway_protocol::status::{RequestOutcome, Status};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The outcomes in the order of their columns: served, refused, failed.
const OUTCOMES: [RequestOutcome; 3] =
    [RequestOutcome::Succeeded, RequestOutcome::Declined, RequestOutcome::Aborted];

/// How many requests of a gateway have ended so far, by outcome.
fn requests(status: &Status) -> [u64; 3] {
    OUTCOMES.map(|end| status.latency.iter().filter(|l| l.outcome == end).map(|l| l.count).sum())
}

/// What rates are counted from: the requests of each gateway that had ended, and when that was.
#[derive(Default)]
pub struct Counts(BTreeMap<SocketAddr, ([u64; 3], Instant)>);

impl Counts {
    /// The counts of those that answered. One that did not starts anew: rates over a gap would mislead.
    pub fn of(answers: &Answers<Status>) -> Self {
        let now = Instant::now();
        let counts = answers
            .iter()
            .filter_map(|(gateway, status)| Some((*gateway, (requests(status.as_ref().ok()?), now))));
        Counts(counts.collect())
    }

    /// The requests by outcome as a row shows them: counts since the start, or rates if there are counts before.
    fn cells(&self, gateway: &SocketAddr, status: &Status) -> Vec<String> {
        let requests = requests(status);
        if self.0.is_empty() {
            return requests.iter().map(u64::to_string).collect();
        }
        let Some((before, at)) = self.0.get(gateway) else { return vec!["-".to_string(); 3] };
        let seconds = at.elapsed().as_secs_f64().max(0.001);
        // A restarted gateway counts from 0 again.
        let rate = |(now, before): (&u64, &u64)| now.saturating_sub(*before) as f64 / seconds;
        requests.iter().zip(before).map(|pair| format!("{:.1}", rate(pair))).collect()
    }
}

/// The gateways as a table: counts since their start, or rates since `before`.
pub fn page(answers: &Answers<Status>, before: &Counts) -> String {
    let unit = |what: &str| if before.0.is_empty() { what.to_string() } else { format!("{what}/s") };
    let (served, refused, failed) = (unit("served"), unit("refused"), unit("failed"));
    let head = [
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
            Err(why) => cells.extend(["".to_string(), format!("failed: {}", plain(why))]),
            Ok(status) => cells.extend(status_cells(status, before.cells(gateway, status))),
        }
        cells.resize(head.len(), String::new());
        cells
    };
    table(&head, answers.iter().map(row).collect())
}

/// The cells of a gateway behind its address.
fn status_cells(status: &Status, requests: Vec<String>) -> Vec<String> {
    let state = match (status.successor, status.draining, status.ready) {
        (true, ..) => "replaced",
        (_, true, _) => "draining",
        (.., true) => "ready",
        _ => "not ready",
    };
    let by_hand: Vec<String> = status.out_by_hand.iter().map(|name| plain(name)).collect();
    let mut cells =
        vec![plain(&status.name), state.to_string(), span(Duration::from_millis(status.uptime_ms))];
    cells.extend(requests);
    cells.extend([
        status.outstanding.to_string(),
        status.fullness.waiting.to_string(),
        format!("{:.2}", status.fullness.open),
        status.discovered.to_string(),
        status.ejected.to_string(),
        by_hand.join(" "),
        status.list.version.to_string(),
        span(Duration::from_millis(status.list.age_ms)),
        status.log_lost.to_string(),
    ]);
    cells
}

/// How long requests took, by gateway, class and outcome.
pub fn latencies(answers: &Answers<Status>) -> String {
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
            let row = [gateway.to_string(), plain(&l.class), outcome.to_string(), l.count.to_string()];
            rows.push(row.into_iter().chain(times).collect());
        }
    }
    if rows.is_empty() {
        return String::new();
    }
    format!("\n{}", table(&["gateway", "class", "outcome", "count", "p50 ms", "p99 ms", "most ms"], rows))
}
