//! Identity of the operator's orders.

use crate::mutant::Mutant;

/// Identity of the operator's orders.
pub const MUTANTS: &[Mutant] = &[
        Mutant {
            name: "order-known-by-its-version",
            point: 2,
            file: "crates/scheduler/src/state/digest.rs",
            find: "ConfigurationDigest::Sha256(Sha256::digest(body).into())",
            replace: "ConfigurationDigest::Sha256(Sha256::digest(body.len().to_le_bytes()).into())",
            test: "-p scheduler --test configuration_changes",
        },
        Mutant {
            name: "order-forgotten-once-replaced",
            point: 2,
            file: "crates/scheduler/src/state/configuration.rs",
            find: r#"        self.accepted.insert(digest);
        let Some"#,
            replace: r#"        self.accepted.clear();
        self.accepted.insert(digest);
        let Some"#,
            test: "-p scheduler --test configuration_changes a_change_is_recognized_after_hundreds_of_others_and_snapshots",
        },
        Mutant {
            name: "order-on-any-version",
            point: 2,
            file: "crates/scheduler/src/state/configuration.rs",
            find: "if put.builds_on != current {",
            replace: "if put.builds_on > current {",
            test: "-p scheduler --test configuration_changes of_two_changes_under_one_number_one_is_accepted_whatever_is_repeated",
        },
        Mutant {
            name: "digests-of-format-0-unread",
            point: 2,
            file: "crates/scheduler/src/state/configuration.rs",
            find: "self.has_format_0_digests |= matches!(replaced.digest, ConfigurationDigest::Fnv(_));",
            replace: "",
            test: "-p scheduler --test configuration_changes changes_of_a_snapshot_of_format_0_are_recognized",
        },
        Mutant {
            name: "repeat-in-flight-proposed-again",
            point: 2,
            file: "crates/scheduler/src/leader/configuration_changes.rs",
            find: r#"            tokens.push(token);
            return None;"#,
            replace: r#"            tokens.push(token);
            return Some(ConfigurationReply::Unavailable { retry_after_ms: RETRY_MS });"#,
            test: "-p scheduler --test configuration_changes a_change_that_is_repeated_while_its_first_copy_is_in_flight_gets_the_same_reply",
        },
        Mutant {
            name: "history-cut-short-passed-over",
            point: 2,
            file: "crates/scheduler/src/state/configuration.rs",
            find: r#"            let digest = ConfigurationDigest::from_bytes(&put.body)
                .ok_or(SnapshotError::InvalidDigest(put.version, put.body.len()))?;"#,
            replace: "            let Some(digest) = ConfigurationDigest::from_bytes(&put.body) else { continue };",
            test: "-p scheduler --test configuration_changes an_incomplete_snapshot_is_rejected_with_a_remedy",
        },
];
