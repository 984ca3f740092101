//! Checks the outputs of all processes: at most one leader per term, one history of committed entries, and
//! one lease at a time.

use std::collections::BTreeMap;

use consensus::{Entry, Index, Membership, Node, NodeId, Payload, Term};

#[derive(Clone, Default)]
pub struct Oracle {
    leaders: BTreeMap<Term, NodeId>,
    committed: BTreeMap<Index, (Term, Payload)>,
    digests: BTreeMap<Index, u64>,
}

impl Oracle {
    pub fn last_committed(&self) -> Index {
        self.committed.keys().next_back().copied().unwrap_or(0)
    }

    /// Number of committed commands.
    pub fn committed_commands(&self) -> usize {
        self.committed.values().filter(|(_, payload)| matches!(payload, Payload::Command(_))).count()
    }

    /// The latest committed membership.
    pub fn committed_membership(&self) -> Option<&Membership> {
        self.committed.values().rev().find_map(|(_, payload)| match payload {
            Payload::Membership(membership) => Some(membership),
            Payload::Noop | Payload::Command(_) => None,
        })
    }

    pub fn committed_term(&self, index: Index) -> Option<Term> {
        self.committed.get(&index).map(|(term, _)| *term)
    }

    pub fn record_leader(&mut self, term: Term, id: NodeId) {
        let first = *self.leaders.entry(term).or_insert(id);
        assert_eq!(first, id, "two leaders in term {term}");
    }

    /// Records that a process has applied an entry and that its state has this digest afterwards.
    pub fn record_commit(&mut self, entry: &Entry, digest: u64) {
        let content = (entry.term, entry.payload.clone());
        let first = self.committed.entry(entry.index).or_insert_with(|| content.clone());
        assert_eq!(*first, content, "entry {} was committed with other contents", entry.index);
        self.record_digest(entry.index, digest);
    }

    pub fn record_digest(&mut self, index: Index, digest: u64) {
        let first = *self.digests.entry(index).or_insert(digest);
        assert_eq!(first, digest, "states differ at entry {index}");
    }

    /// Checks that at most one process holds a lease and that it knows all committed entries. Otherwise its
    /// reads would miss what other processes have committed.
    pub fn check_leases<'a>(&self, nodes: impl Iterator<Item = (&'a Node, u64)>) {
        let lease_holders: Vec<&Node> =
            nodes.filter(|(node, now)| *now < node.lease_until()).map(|(node, _)| node).collect();
        assert!(
            lease_holders.len() <= 1,
            "two leases at a time: {:?}",
            lease_holders.iter().map(|node| node.id()).collect::<Vec<_>>()
        );
        for lease_holder in lease_holders {
            assert!(
                lease_holder.commit_index() >= self.last_committed(),
                "{} serves stale reads under its lease",
                lease_holder.id()
            );
        }
    }
}
