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
        name: "founding-beside-a-connected-process",
        point: 3,
        file: "crates/consensus/src/founding.rs",
        find: "            && connected.all(|address| offers(address) || is_silent(address))",
        replace: "            && connected.all(|_| true)",
        test: "-p consensus --test founding",
    },
    Mutant {
        name: "founding-prevented-by-a-silent-connection",
        point: 3,
        file: "crates/consensus/src/founding.rs",
        find: "offers(address) || is_silent(address)",
        replace: "offers(address)",
        test: "-p consensus --test founding",
    },
    Mutant {
        name: "founding-in-spite-of-a-refusal",
        point: 3,
        file: "crates/consensus/src/founding.rs",
        find: "            && now >= self.refused_until
",
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
        name: "founding-given-up-with-a-command",
        point: 3,
        file: "crates/consensus/src/node.rs",
        find: "self.leader.is_none() && !self.is_leader() && !self.holds_commands()",
        replace: "self.leader.is_none() && !self.is_leader()",
        test: "-p consensus --test founding",
    },
    Mutant {
        name: "founding-given-up-under-a-leader",
        point: 3,
        file: "crates/consensus/src/node.rs",
        find: "self.leader.is_none() && !self.is_leader() && !self.holds_commands()",
        replace: "!self.is_leader() && !self.holds_commands()",
        test: "-p consensus --test founding",
    },
    Mutant {
        name: "commands-before-the-group-has-grown",
        point: 3,
        file: "crates/consensus/src/group_growth.rs",
        find: "voters >= self.options.target_voters",
        replace: "voters > 0",
        test: "-p consensus --test group_growth",
    },
    Mutant {
        name: "commands-before-the-voters-are-confirmed",
        point: 3,
        file: "crates/consensus/src/group_growth.rs",
        find: " && self.unconfirmed_voters(leadership).is_empty()",
        replace: "",
        test: "-p consensus --test group_growth",
    },
    Mutant {
        name: "voters-confirmed-by-an-earlier-term",
        point: 3,
        file: "crates/consensus/src/group_growth.rs",
        find: "progress.match_index >= leadership.noop_index",
        replace: "progress.match_index > 0",
        test: "-p consensus --test group_growth",
    },
    Mutant {
        name: "first-command-proposed-unannounced",
        point: 3,
        file: "crates/consensus/src/replication.rs",
        find: "leadership.transfer.is_none() && (leadership.announced || self.holds_commands())",
        replace: "leadership.transfer.is_none()",
        test: "-p consensus --test replication",
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
