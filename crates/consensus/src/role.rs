//! The Raft role of a process.

use std::collections::BTreeSet;

use crate::leadership::Leadership;
use crate::types::{Membership, NodeId};

/// The votes that are needed to win an election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ElectionRule {
    /// A majority of the voters. A voter grants its vote only if it has not acknowledged a leader within the
    /// leader stickiness.
    Majority,
    /// All voters, regardless of when they last acknowledged a leader.
    Unanimity,
}

impl ElectionRule {
    /// Whether the granted votes win the election.
    pub fn is_won_by(self, granted: &BTreeSet<NodeId>, membership: &Membership) -> bool {
        let votes = membership.voters().filter(|voter| granted.contains(voter)).count();
        match self {
            ElectionRule::Majority => votes >= membership.quorum(),
            ElectionRule::Unanimity => votes == membership.voters().count(),
        }
    }
}

/// The Raft role of a process.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    Follower,
    /// Runs a pre-vote: asks the voters whether they would elect this process.
    PreCandidate {
        rule: ElectionRule,
        granted: BTreeSet<NodeId>,
    },
    /// Requests votes. The candidate's own vote counts once it is durable.
    Candidate {
        rule: ElectionRule,
        granted: BTreeSet<NodeId>,
    },
    Leader(Leadership),
}
