//! Wrong changes to calls to workers: matching replies to calls, end reports, lease expiry, and repeated
//! sends.

use crate::mutant::Mutant;

/// The changes of this module.
pub const MUTANTS: &[Mutant] = &[
        Mutant {
            name: "calls-of-an-earlier-leadership",
            point: 5,
            file: "crates/control/src/worker_client.rs",
            find: "generation == self.generation && self.calls.remove(&call).is_some()",
            replace: "generation <= self.generation && self.calls.remove(&call).is_some()",
            test: "-p control --test worker_calls",
        },
        Mutant {
            name: "ends-forgotten-before-the-log",
            point: 5,
            file: "crates/scheduler/src/worker/lease_renewals.rs",
            find: "let last_seen = self.ends.acknowledged();",
            replace: "let last_seen = self.ends.reported();",
            test: "-p scheduler --test leader_scripts",
        },
        Mutant {
            name: "ends-counted-twice",
            point: 5,
            file: "crates/scheduler/src/state/ends.rs",
            find: "if end.sequence <= self.workers.acknowledged(&instance) {",
            replace: "if end.sequence == 0 {",
            test: "-p scheduler --test state_commands",
        },
        Mutant {
            name: "start-sent-again-after-silence",
            point: 5,
            file: "crates/scheduler/src/worker/orders.rs",
            find: r#"            CallOutcome::NotSent => {
                let (order"#,
            replace: r#"            CallOutcome::NotSent | CallOutcome::NoResponse => {
                let (order"#,
            test: "-p scheduler --test worker_orders",
        },
        Mutant {
            name: "hold-lapsed-without-clock-rates",
            point: 5,
            file: "crates/scheduler/src/worker/clock.rs",
            find: "span.saturating_add(span / (DRIFT_DIVISOR - 1)).saturating_add(2)",
            replace: "span.saturating_add(2)",
            test: "-p scheduler --test worker_lists",
        },
        Mutant {
            name: "hold-lapsed-by-the-newest-deadline",
            point: 5,
            file: "crates/scheduler/src/worker/lease_expiry.rs",
            find: "self.greatest_sent_deadline_ms = self.greatest_sent_deadline_ms.max(least_ms.saturating_add(ahead));",
            replace: "self.greatest_sent_deadline_ms = least_ms.saturating_add(ahead);",
            test: "-p scheduler --test worker_suspicion lease_expiry_follows_the_greatest_deadline_sent",
        },
        Mutant {
            name: "hold-of-a-suspect-extended",
            point: 5,
            file: "crates/scheduler/src/worker/lease_renewals.rs",
            find: "\n            && !self.suspected",
            replace: "",
            test: "-p scheduler --test worker_suspicion suspected_worker_gets_no_start_and_no_lease_extension",
        },
        Mutant {
            name: "holds-of-earlier-leaders-forgotten",
            point: 5,
            file: "crates/scheduler/src/worker/lease_expiry.rs",
            find: "self.earlier_leaders_expired_at(clock).max(self.own_expired_at(clock))",
            replace: "self.own_expired_at(clock)",
            test: "-p scheduler --test worker_scripts",
        },
        Mutant {
            name: "refusal-though-another-send-is-open",
            point: 5,
            file: "crates/data-plane/src/upstream/requests.rs",
            find: "let uncertain = class == ReplyClass::Refused && self.unresolved_sends > 0;",
            replace: "let uncertain = class == ReplyClass::Refused && self.unresolved_sends > u32::MAX - 1;",
            test: "-p data-plane --test upstream",
        },
        Mutant {
            name: "sent-again-after-a-cut",
            point: 5,
            file: "crates/control/src/worker_client.rs",
            find: "Err(CallError::NotSent) if is_reused &&",
            replace: "Err(CallError::NotSent | CallError::ConnectionLost(_)) if is_reused &&",
            test: "-p control --test worker_connections",
        },
];
