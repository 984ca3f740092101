//! Wrong changes to snapshots, log compaction and durable storage.

use crate::mutant::Mutant;

/// The changes of this module.
pub const MUTANTS: &[Mutant] = &[
        Mutant {
            name: "snapshot-over-newer-entries",
            point: 4,
            file: "crates/consensus/src/snapshots.rs",
            find: "if last_index <= self.commit {",
            replace: "if last_index == 0 {",
            test: "-p consensus --test compaction old_snapshot_does_not_replace_newer_entries",
        },
        Mutant {
            name: "chunks-of-two-snapshots-mixed",
            point: 4,
            file: "crates/consensus/src/incoming_snapshot.rs",
            find: "self.from == from && same_snapshot && self.total == chunk.total",
            replace: "self.from == from && (same_snapshot || self.total == chunk.total)",
            test: "-p consensus --test compaction does_not_mix_two_snapshots_from_one_leader",
        },
        Mutant {
            name: "chunks-at-any-place",
            point: 4,
            file: "crates/consensus/src/incoming_snapshot.rs",
            find: "if chunk.offset == received && fits {",
            replace: "if fits {",
            test: "-p consensus --test compaction chunks_that_are_lost_duplicated_or_from_another_leader_never_corrupt_a_snapshot",
        },
        Mutant {
            name: "log-behind-a-snapshot-by-count-alone",
            point: 4,
            file: "crates/consensus/src/log.rs",
            find: "if bytes > retained_bytes {",
            replace: "if bytes == usize::MAX && retained_bytes > 0 {",
            test: "-p consensus --test compaction compaction_limits_retained_entries_by_size",
        },
        Mutant {
            name: "snapshot-after-snapshot",
            point: 4,
            file: "crates/consensus/src/node.rs",
            find: "default_point.min(needed.unwrap_or(default_point).max(lowest_point))",
            replace: "default_point.max(needed.unwrap_or(0).min(lowest_point).min(0))",
            test: "-p consensus --test compaction follower_on_a_slow_link_needs_only_one_snapshot",
        },
        Mutant {
            name: "snapshot-acknowledged-before-sync",
            point: 4,
            file: "crates/consensus/src/durability.rs",
            find: r#"            self.add_truncation(1);
            self.write.truncate_from = Some(snapshot.meta.index);"#,
            replace: r#"            self.write.truncate_from = Some(snapshot.meta.index);
            self.durable_index = snapshot.meta.index;"#,
            test: "-p consensus --test compaction acknowledges_a_snapshot_only_once_it_is_durable",
        },
        Mutant {
            name: "unreadable-snapshot-passed-over",
            point: 4,
            file: "crates/control/src/replica.rs",
            find: "State::restore(&saved).map_err(|error| ControlError::Snapshot(index, error))?",
            replace: "State::restore(&saved).unwrap_or_default()",
            test: "-p control --test replica failed_restore_is_an_error_and_leaves_state_unchanged",
        },
        Mutant {
            name: "snapshot-name-not-synced",
            point: 4,
            file: "crates/storage/src/store.rs",
            find: "let synced = renamed.and_then(|()| sync_names(&self.directory));",
            replace: "let synced = renamed;",
            test: "-p storage --test power_loss",
        },
        Mutant {
            name: "batch-not-synced",
            point: 4,
            file: "crates/storage/src/store.rs",
            find: "let written = appended.and_then(|()| self.directory.sync(&mut self.file));",
            replace: "let written = appended;",
            test: "-p storage --test power_loss",
        },
        Mutant {
            name: "failed-batch-left-behind",
            point: 4,
            file: "crates/storage/src/store.rs",
            find: r#"        self.repair.truncate = true;
        self.try_repair();"#,
            replace: "        self.try_repair();",
            test: "-p storage --test faults",
        },
        Mutant {
            name: "all-commands-of-a-turn-in-one-entry",
            point: 4,
            file: "crates/log-records/src/batch_payloads.rs",
            find: "if payload.len() <= MAX_BATCH_PAYLOAD_BYTES || batch.commands.len() < 2 {",
            replace: "if payload.len() <= usize::MAX || batch.commands.len() < 2 {",
            test: "-p log-records --test batch_payloads large_jobs_of_one_turn_are_spread_over_several_entries",
        },
];
