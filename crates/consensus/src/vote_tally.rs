//! The replies in one election, kept to report why no leader is elected.

use std::collections::BTreeSet;

use crate::types::NodeId;

/// The votes granted and rejected in one election so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct VoteTally {
    pub granted: BTreeSet<NodeId>,
    pub rejected: BTreeSet<NodeId>,
}

impl VoteTally {
    /// Whether any process other than this one has replied.
    pub fn has_replies(&self, own_id: NodeId) -> bool {
        !self.rejected.is_empty() || self.granted.iter().any(|voter| *voter != own_id)
    }
}
