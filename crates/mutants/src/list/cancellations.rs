//! Wrong changes to cancels that overtake the submissions of their jobs.

use crate::mutant::Mutant;

/// The changes of this module.
pub const MUTANTS: &[Mutant] = &[
        Mutant {
            name: "cancel-of-an-unknown-job-without-a-trace",
            point: 5,
            file: "crates/scheduler/src/state/submissions.rs",
            find: "self.cancel_tombstones.record(cancel.id, queue, self.clock_ms);",
            replace: "let _ = queue;",
            test: "-p scheduler --test cancel_tombstones rejects_a_submission_that_arrives_after_its_cancellation",
        },
        Mutant {
            name: "submission-before-its-cancel-is-committed",
            point: 5,
            file: "crates/scheduler/src/leader/cancellations.rs",
            find: "let retry_after_ms = if self.pending_clients.cancels.contains_key(name) {",
            replace: "let retry_after_ms = if name.prefix_key.is_empty() {",
            test: "-p scheduler --test cancel_tombstones acknowledges_the_cancellation_of_an_unknown_job_after_the_commit",
        },
        Mutant {
            name: "snapshot-without-tombstones",
            point: 5,
            file: "crates/scheduler/src/state/snapshot.rs",
            find: "cancel_tombstones: self.cancel_tombstones.snapshot(),",
            replace: "cancel_tombstones: Vec::new(),",
            test: "-p scheduler --test cancel_tombstones next_leader_rejects_a_submission_that_was_cancelled_before",
        },
        Mutant {
            name: "tombstones-without-a-bound",
            point: 5,
            file: "crates/scheduler/src/leader/cancellations.rs",
            find: "if is_unknown && !self.may_add_tombstone(state, &name) {",
            replace: "if is_unknown && !self.may_add_tombstone(state, &name) && id == 0 {",
            test: "-p scheduler --test cancel_tombstones cancellations_of_unknown_jobs_are_bounded",
        },
    Mutant {
            name: "oracle-without-cancels-of-unknown-jobs",
            point: 5,
            file: "crates/simulation/src/oracle/tasks.rs",
            find: "Answer::Gone => !submitted_anew,",
            replace: "Answer::Gone => false && submitted_anew,",
            test: "-p simulation --test oracle detects_start_of_late_submission_after_cancellation_of_unknown_job",
        },
];
