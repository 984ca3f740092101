//! Logs how a busy leader spends its time, once a second while it is busy.

use super::Driver;
use crate::clock::{MILLISECOND, SECOND};
use crate::metrics::turns::{TurnPart, TurnSpan};

/// Minimum time between two log lines.
const RECORD_INTERVAL_NS: u64 = SECOND;
/// A leader is busy if its turns took at least this share of the time, in percent.
const BUSY_PERCENT: u64 = 70;
/// A leader is also busy if one turn took this long: other processes may then conclude that the leader has
/// failed.
const LONG_TURN_NS: u64 = 100 * MILLISECOND;

impl Driver {
    /// Logs the cost of this leader's turns since the last log line, if the leader was busy.
    pub(super) fn record_load(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.load_recorded_at);
        if elapsed < RECORD_INTERVAL_NS {
            return;
        }
        self.load_recorded_at = now;
        let span = self.metrics.turns.take_span();
        let Some(leader) = self.leader.as_mut() else { return };
        let work = leader.take_work();
        if span.busy_ns.saturating_mul(100) < elapsed.saturating_mul(BUSY_PERCENT)
            && span.longest_ns < LONG_TURN_NS
        {
            return;
        }
        let load = leader.load_report(now);
        log::warn!(
            "leader is busy: busy_percent={} {} connections={} relays={} relayed_calls={} {load:?} {work:?}",
            span.busy_ns.saturating_mul(100) / elapsed,
            costs_text(&span),
            self.workers.open_connections(),
            self.router.ready_relays(),
            self.router.relayed_calls(),
        );
    }
}

/// The cost of turns, as fields of a log line.
fn costs_text(span: &TurnSpan) -> String {
    let part = |part| {
        let cost = span.part(part);
        format!("{}/{}ms", cost.events, cost.nanos / MILLISECOND)
    };
    format!(
        "turns={} longest_turn_ms={} requests={} worker_calls={} instances={} other_events={} timers={} outputs={}",
        span.turns,
        span.longest_ns / MILLISECOND,
        part(TurnPart::Requests),
        part(TurnPart::WorkerCalls),
        part(TurnPart::Instances),
        part(TurnPart::OtherEvents),
        part(TurnPart::Timers),
        part(TurnPart::Outputs),
    )
}
