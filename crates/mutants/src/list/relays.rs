//! Wrong changes to calls to workers over relays (point 7).

use crate::mutant::Mutant;

/// The changes of this module.
pub(super) const MUTANTS: &[Mutant] = &[
    Mutant {
        name: "route-changes-without-a-higher-token",
        point: 7,
        file: "crates/control/src/relay/router.rs",
        find: "            route.changes += 1;\n",
        replace: "            route.changes += 0;\n",
        test: "-p control --test relay",
    },
    Mutant {
        name: "limit-at-a-relay-without-clock-rates",
        point: 7,
        file: "crates/control/src/relay/session.rs",
        find: "left - left / DRIFT_DIVISOR",
        replace: "left",
        test: "-p control --test relay",
    },
    Mutant {
        name: "batch-of-a-replaced-leader-taken",
        point: 7,
        file: "crates/control/src/relay/agent.rs",
        find: "if batch.term < own_term || current",
        replace: "if current",
        test: "-p control --test relay",
    },
    Mutant {
        name: "batch-taken-after-a-lost-one",
        point: 7,
        file: "crates/control/src/relay/agent.rs",
        find: "session.has_lost_batches |= batch.number != session.last_batch + 1;",
        replace: "session.has_lost_batches |= false;",
        test: "-p control --test relay",
    },
    Mutant {
        name: "report-taken-after-a-lost-one",
        point: 7,
        file: "crates/control/src/relay/session.rs",
        find: "if report.lost_batches || report.number != self.last_report + 1 {",
        replace: "if report.lost_batches {",
        test: "-p control --test relay",
    },
    Mutant {
        name: "own-token-taken-for-a-newer-leader",
        point: 7,
        file: "crates/control/src/relay/router.rs",
        find: "if is_stale && in_flight.fencing_token < current {",
        replace: "if is_stale && in_flight.fencing_token > current {",
        test: "-p control --test relay",
    },
    Mutant {
        name: "calls-of-a-lost-relay-kept",
        point: 7,
        file: "crates/control/src/relay/router.rs",
        find: "        for call in &calls {\n            self.remove(*call);\n        }\n",
        replace: "        calls.clear();\n",
        test: "-p control --test relay",
    },
    Mutant {
        name: "session-of-a-replaced-leader-kept",
        point: 7,
        file: "crates/control/src/relay/agent.rs",
        find: "session.term < own_term);",
        replace: "session.term > own_term);",
        test: "-p control --test relay",
    },
];
