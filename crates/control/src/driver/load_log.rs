//! Records what a busy leader spends its time on, once a second while it is busy.

use super::Driver;
use crate::clock::{MILLISECOND, SECOND};
use crate::metrics::turns::{TurnPart, TurnSpan};

/// Least time between two records.
const RECORD_INTERVAL: u64 = SECOND;
/// A leader is busy if its turns took at least this share of the time, in percent,
const BUSY_PERCENT: u64 = 70;
/// or if one turn took this long: other processes then take it for dead.
const LONG_TURN: u64 = 100 * MILLISECOND;

impl Driver {
    /// Records what this leader's turns cost since the last record, if it was busy.
    pub(super) fn record_load(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.load_recorded_at);
        if elapsed < RECORD_INTERVAL {
            return;
        }
        self.load_recorded_at = now;
        let span = self.metrics.turns.take_span();
        let Some(leader) = self.leader.as_mut() else { return };
        let work = leader.take_work();
        if span.busy.saturating_mul(100) < elapsed.saturating_mul(BUSY_PERCENT) && span.longest < LONG_TURN {
            return;
        }
        let load = leader.load_report(now);
        log::warn!(
            "leader is busy: busy_percent={} {} connections={} relays={} relayed_calls={} {load:?} {work:?}",
            span.busy.saturating_mul(100) / elapsed,
            costs_text(&span),
            self.workers.open_connections(),
            self.router.ready_relays(),
            self.router.relayed_calls(),
        );
    }
}

/// What turns cost, as fields of a record.
fn costs_text(span: &TurnSpan) -> String {
    let part = |part| {
        let cost = span.part(part);
        format!("{}/{}ms", cost.events, cost.nanos / MILLISECOND)
    };
    format!(
        "turns={} longest_turn_ms={} requests={} worker_calls={} instances={} other_events={} timers={} outputs={}",
        span.turns,
        span.longest / MILLISECOND,
        part(TurnPart::Requests),
        part(TurnPart::WorkerCalls),
        part(TurnPart::Instances),
        part(TurnPart::OtherEvents),
        part(TurnPart::Timers),
        part(TurnPart::Outputs),
    )
}
