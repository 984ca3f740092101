//! Diagnosis of why this process knows no leader that accepts commands.

use std::fmt::{self, Display, Formatter};

use crate::node::Node;
use crate::role::Role;
use crate::types::{Membership, NodeId};

/// The reason why no leader is known, or why this process, as the leader, does not accept commands yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeadershipObstacle {
    /// This process is not a member of any group.
    NotMember,
    /// This process is a learner and therefore does not campaign.
    Learner,
    /// This process does not campaign because its disk writes do not complete.
    DiskStalled,
    /// The last election did not get enough votes.
    VotesMissing {
        /// Number of votes that win an election.
        needed: usize,
        /// Voters that granted their vote to this process, including itself.
        granted: Vec<NodeId>,
        /// Voters that rejected the vote, because their logs are more up to date or because they hear from a
        /// leader.
        rejected: Vec<NodeId>,
        /// Voters that have not replied under this identity. The machine of such a voter may run a process
        /// with another identity by now.
        unanswered: Vec<NodeId>,
    },
    /// This process leads a group without commands that has too few voters, or some voters have not confirmed
    /// that they store its log.
    VotersUnconfirmed {
        /// Target number of voters.
        wanted: usize,
        /// Current number of voters.
        voters: usize,
        /// Voters that have not confirmed.
        unconfirmed: Vec<NodeId>,
    },
    /// This process is the leader, but holds no lease because no majority has acknowledged it recently.
    LeaseMissing,
}

impl Display for LeadershipObstacle {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            LeadershipObstacle::NotMember => formatter.write_str("obstacle=not-a-member"),
            LeadershipObstacle::Learner => formatter.write_str("obstacle=learner"),
            LeadershipObstacle::DiskStalled => formatter.write_str("obstacle=disk-stalled"),
            LeadershipObstacle::VotesMissing { needed, granted, rejected, unanswered } => write!(
                formatter,
                "obstacle=votes-missing needed={needed} granted={} rejected={} unanswered={}",
                format_ids(granted),
                format_ids(rejected),
                format_ids(unanswered)
            ),
            LeadershipObstacle::VotersUnconfirmed { wanted, voters, unconfirmed } => write!(
                formatter,
                "obstacle=voters-unconfirmed wanted={wanted} voters={voters} unconfirmed={}",
                format_ids(unconfirmed)
            ),
            LeadershipObstacle::LeaseMissing => formatter.write_str("obstacle=lease-missing"),
        }
    }
}

/// Formats identities in hexadecimal, as in log lines, or `none` if the list is empty.
fn format_ids(ids: &[NodeId]) -> String {
    if ids.is_empty() {
        return "none".to_owned();
    }
    let texts: Vec<String> = ids.iter().map(|id| format!("{id:x}")).collect();
    texts.join(",")
}

impl Node {
    /// Returns why no leader is elected, or why this process, as the leader, does not accept commands yet.
    /// `None` if another process is known to be the leader or this process may accept commands.
    pub fn leadership_obstacle(&self) -> Option<LeadershipObstacle> {
        match &self.role {
            Role::Leader(leadership) if leadership.announced => None,
            Role::Leader(leadership) => {
                let unconfirmed = self.unconfirmed_voters(leadership);
                let voters = self.membership().voters().count();
                let wanted = self.options.target_voters;
                let is_incomplete = !unconfirmed.is_empty() || voters < wanted;
                Some(if !self.holds_commands() && is_incomplete {
                    LeadershipObstacle::VotersUnconfirmed { wanted, voters, unconfirmed }
                } else {
                    LeadershipObstacle::LeaseMissing
                })
            }
            _ if self.leader.is_some() => None,
            _ if !self.is_member() => Some(LeadershipObstacle::NotMember),
            _ if self.is_disk_stalled() => Some(LeadershipObstacle::DiskStalled),
            _ if !self.may_campaign() => Some(LeadershipObstacle::Learner),
            _ => Some(self.votes_missing()),
        }
    }

    fn votes_missing(&self) -> LeadershipObstacle {
        let own_id = self.options.id;
        let tally = if self.votes.has_replies(own_id) { &self.votes } else { &self.previous_votes };
        let membership = self.membership();
        let (granted, others) =
            partition_voters(membership, |voter| voter == own_id || tally.granted.contains(&voter));
        let (rejected, unanswered) = others.into_iter().partition(|voter| tally.rejected.contains(voter));
        LeadershipObstacle::VotesMissing { needed: membership.quorum(), granted, rejected, unanswered }
    }
}

fn partition_voters(
    membership: &Membership,
    condition: impl Fn(NodeId) -> bool,
) -> (Vec<NodeId>, Vec<NodeId>) {
    membership.voters().partition(|voter| condition(*voter))
}
