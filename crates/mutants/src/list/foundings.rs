//! Foundings of a group, and its growth.

use crate::mutant::Mutant;

/// Foundings of a group, and its growth.
pub const MUTANTS: &[Mutant] = &[
    Mutant {
        name: "founding-without-a-silent-seed",
        point: 3,
        file: "crates/consensus/src/founding.rs",
        find: "            && others.into_iter().all(agrees)",
        replace: "            && others.into_iter().any(agrees)",
        test: "-p consensus --test founding",
    },
    Mutant {
        name: "founding-beside-a-connected-member",
        point: 3,
        file: "crates/consensus/src/founding.rs",
        find: "            && status.connected.iter().all(|(_, address)| offers(address))",
        replace: "",
        test: "-p consensus --test founding",
    },
    Mutant {
        name: "founding-by-as-many-as-may-be-lost",
        point: 3,
        file: "crates/consensus/src/founding.rs",
        find: "offering_processes >= self.required_offers",
        replace: "offering_processes + 1 >= self.required_offers",
        test: "-p consensus --test founding",
    },
    Mutant {
        name: "founding-after-a-vote",
        point: 3,
        file: "crates/consensus/src/node.rs",
        find: "!has_grown || (only_founded && (never_voted || voted_for_itself))",
        replace: "!has_grown || only_founded",
        test: "-p consensus --test founding",
    },
    Mutant {
        name: "commands-before-the-group-has-grown",
        point: 3,
        file: "crates/consensus/src/replication.rs",
        find: "if !has_grown && !self.holds_commands() {",
        replace: "if !has_grown && self.holds_commands() {",
        test: "-p consensus --test group_growth",
    },
    Mutant {
        name: "entries-of-another-founding-taken-for-its-own",
        point: 3,
        file: "crates/consensus/src/node.rs",
        find: "bootstrap_in_term(BOOTSTRAP_TERM + 1 + (mixed & MAX_TERM_OFFSET), membership)",
        replace: "bootstrap_in_term(BOOTSTRAP_TERM + (mixed & 0), membership)",
        test: "-p consensus --test group_growth",
    },
];
