//! The replies of one election, kept to tell why nobody is elected.

use std::collections::BTreeSet;

use crate::types::NodeId;

/// What one election has brought so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct VoteTally {
    pub granted: BTreeSet<NodeId>,
    pub rejected: BTreeSet<NodeId>,
}

impl VoteTally {
    /// Whether any other process has replied.
    pub fn has_replies(&self, own_id: NodeId) -> bool {
        !self.rejected.is_empty() || self.granted.iter().any(|voter| *voter != own_id)
    }
}
