//! Why this process knows no leader that takes commands, as far as it can tell.

use std::fmt::{self, Display, Formatter};

use crate::node::Node;
use crate::role::Role;
use crate::types::{Membership, NodeId};

/// Why no leader is known, or why the one that this process is takes no commands yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeadershipObstacle {
    /// This process is no member of any group.
    NotMember,
    /// This process is a learner: it does not campaign.
    Learner,
    /// The writes of this process do not finish, so that it does not campaign.
    DiskStalled,
    /// Votes are missing for an election.
    VotesMissing {
        /// Votes that win.
        needed: usize,
        /// Voters that would vote for this process.
        granted: Vec<NodeId>,
        /// Voters that would not: their logs are longer, or they hear from a leader.
        rejected: Vec<NodeId>,
        /// Voters that do not answer under their identity.
        unanswered: Vec<NodeId>,
    },
    /// This process leads a group without commands, and these voters have not confirmed that they hold its log.
    VotersUnconfirmed {
        /// Voters that the group wants.
        wanted: usize,
        /// Voters that it has.
        voters: usize,
        /// Those that have not confirmed.
        unconfirmed: Vec<NodeId>,
    },
    /// This process leads, but a majority does not confirm so.
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
                list(granted),
                list(rejected),
                list(unanswered)
            ),
            LeadershipObstacle::VotersUnconfirmed { wanted, voters, unconfirmed } => write!(
                formatter,
                "obstacle=voters-unconfirmed wanted={wanted} voters={voters} unconfirmed={}",
                list(unconfirmed)
            ),
            LeadershipObstacle::LeaseMissing => formatter.write_str("obstacle=lease-missing"),
        }
    }
}

/// Identities in hexadecimal, as the log has them; `none` if there are none.
fn list(ids: &[NodeId]) -> String {
    if ids.is_empty() {
        return "none".to_owned();
    }
    let texts: Vec<String> = ids.iter().map(|id| format!("{id:x}")).collect();
    texts.join(",")
}

impl Node {
    /// What keeps a leader from being elected, or this one from taking commands; `None` if another process is known to
    /// lead, or this one may take commands.
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
            _ if self.disk_stalls() => Some(LeadershipObstacle::DiskStalled),
            _ if !self.may_campaign() => Some(LeadershipObstacle::Learner),
            _ => Some(self.votes_missing()),
        }
    }

    fn votes_missing(&self) -> LeadershipObstacle {
        let own_id = self.options.id;
        let tally = if self.votes.has_replies(own_id) { &self.votes } else { &self.earlier_votes };
        let membership = self.membership();
        let (granted, others) =
            partition(membership, |voter| voter == own_id || tally.granted.contains(&voter));
        let (rejected, unanswered) = others.into_iter().partition(|voter| tally.rejected.contains(voter));
        LeadershipObstacle::VotesMissing { needed: membership.quorum(), granted, rejected, unanswered }
    }
}

fn partition(membership: &Membership, condition: impl Fn(NodeId) -> bool) -> (Vec<NodeId>, Vec<NodeId>) {
    membership.voters().partition(|voter| condition(*voter))
}
