//! Wrong changes to how configuration changes of the operator are identified and repeats are recognized.

use crate::mutant::Mutant;

/// The changes of this module.
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
            test: "-p scheduler --test configuration_changes recognizes_repeated_changes_after_700_changes_and_snapshots",
        },
        Mutant {
            name: "order-on-any-version",
            point: 2,
            file: "crates/scheduler/src/state/configuration.rs",
            find: "if put.builds_on != current {",
            replace: "if put.builds_on > current {",
            test: "-p scheduler --test configuration_changes accepts_only_one_of_two_changes_with_the_same_version",
        },
        Mutant {
            name: "digests-of-format-0-unread",
            point: 2,
            file: "crates/scheduler/src/state/configuration.rs",
            find: "self.has_format_0_digests |= matches!(replaced.digest, ConfigurationDigest::Fnv(_));",
            replace: "",
            test: "-p scheduler --test configuration_changes recognizes_changes_from_snapshots_of_format_0",
        },
        Mutant {
            name: "repeat-in-flight-proposed-again",
            point: 2,
            file: "crates/scheduler/src/leader/configuration_changes.rs",
            find: r#"            tokens.push(token);
            return None;"#,
            replace: r#"            tokens.push(token);
            return Some(ConfigurationReply::Unavailable { retry_after_ms: RETRY_MS });"#,
            test: "-p scheduler --test configuration_changes repeat_of_a_change_in_flight_gets_the_same_reply",
        },
        Mutant {
            name: "history-cut-short-passed-over",
            point: 2,
            file: "crates/scheduler/src/state/configuration.rs",
            find: r#"            let digest = ConfigurationDigest::from_bytes(&put.body)
                .ok_or(SnapshotError::InvalidDigest(put.version, put.body.len()))?;"#,
            replace: "            let Some(digest) = ConfigurationDigest::from_bytes(&put.body) else { continue };",
            test: "-p scheduler --test configuration_changes rejects_incomplete_snapshots_and_names_the_remedy",
        },
];
