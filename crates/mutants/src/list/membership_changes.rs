//! Changes of members.

use crate::mutant::Mutant;

/// Changes of members.
pub const MUTANTS: &[Mutant] = &[
        Mutant {
            name: "learner-promoted-behind",
            point: 3,
            file: "crates/consensus/src/progress.rs",
            find: "matches!(self.state, State::Replicate { .. }) && self.match_index.saturating_add(gap) >= last_index",
            replace: "self.last_contact_at > 0 && last_index.saturating_add(gap) > 0",
            test: "-p consensus --test membership_rules",
        },
        Mutant {
            name: "members-change-before-an-own-entry",
            point: 3,
            file: "crates/consensus/src/membership_changes.rs",
            find: "if !leadership.noop_committed || changed_at > self.commit || leadership.transfer.is_some() {",
            replace: "if changed_at > self.commit || leadership.transfer.is_some() {",
            test: "-p consensus --test membership_rules",
        },
        Mutant {
            name: "two-changes-of-members-at-once",
            point: 3,
            file: "crates/consensus/src/membership_changes.rs",
            find: "if !leadership.noop_committed || changed_at > self.commit || leadership.transfer.is_some() {",
            replace: "if !leadership.noop_committed || leadership.transfer.is_some() {",
            test: "-p consensus --test members one_change_waits_for_the_one_before_it",
        },
        Mutant {
            name: "removal-before-the-successor-caught-up",
            point: 3,
            file: "crates/consensus/src/membership_changes.rs",
            find: "!member.voter && caught_up(self.options.promotion_gap) && responsive",
            replace: "!member.voter && (caught_up(u64::MAX) || responsive)",
            test: "-p consensus --test members the_lost_voter_stays_until_its_successor_has_caught_up",
        },
        Mutant {
            name: "replacement-in-one-step",
            point: 3,
            file: "crates/consensus/src/membership_changes.rs",
            find: "return Some(membership.without(predecessor));",
            replace: "return Some(membership.without(predecessor).with_voter(learner.id));",
            test: "-p consensus --test members the_lost_voter_stays_until_its_successor_has_caught_up",
        },
        Mutant {
            name: "learners-vote",
            point: 3,
            file: "crates/consensus/src/types.rs",
            find: "self.members.iter().filter(|member| member.voter).map(|member| member.id)",
            replace: "self.members.iter().map(|member| member.id)",
            test: "-p consensus --test membership_rules learners_count_neither_for_a_majority_nor_for_its_size",
        },
        Mutant {
            name: "a-speaking-voter-removed",
            point: 3,
            file: "crates/consensus/src/membership_changes.rs",
            find: "let unresponsive = durations.filter(|(duration, _)| *duration >= timeout);",
            replace: "let unresponsive = durations.filter(|(duration, _)| *duration > 0);",
            test: "-p consensus --test membership_rules",
        },
        Mutant {
            name: "change-of-members-in-a-transfer",
            point: 3,
            file: "crates/consensus/src/membership_changes.rs",
            find: "if !leadership.noop_committed || changed_at > self.commit || leadership.transfer.is_some() {",
            replace: "if !leadership.noop_committed || changed_at > self.commit {",
            test: "-p consensus --test membership_rules",
        },
        Mutant {
            name: "a-voter-too-many-stays",
            point: 3,
            file: "crates/consensus/src/membership_changes.rs",
            find: "None => self.newest_other_voter().map(|voter| membership.without_vote_of(voter)),",
            replace: "None => None,",
            test: "-p consensus --test membership_rules a_surplus_voter_becomes_a_learner_again_when_the_unresponsive_one_returns",
        },
];
