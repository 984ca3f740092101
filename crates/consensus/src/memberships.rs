//! The memberships in the log. They are kept so that a membership can be reverted when its entry is
//! truncated.

use crate::types::{Index, Membership};

/// A membership and the index of the entry from which on it is in effect.
#[derive(Clone, Debug)]
struct IndexedMembership {
    index: Index,
    membership: Membership,
}

/// The membership at the base of the log and the memberships of later entries, in index order. Never empty.
#[derive(Clone, Debug)]
pub(crate) struct Memberships {
    base: IndexedMembership,
    later: Vec<IndexedMembership>,
}

impl Memberships {
    pub fn new(index: Index, membership: Membership) -> Memberships {
        Memberships { base: IndexedMembership { index, membership }, later: Vec::new() }
    }

    /// The membership in effect.
    pub fn current(&self) -> &Membership {
        &self.newest().membership
    }

    /// The index of the entry of the membership in effect, or the base of the log if that entry has been
    /// compacted.
    pub fn changed_at(&self) -> Index {
        self.newest().index
    }

    fn newest(&self) -> &IndexedMembership {
        self.later.last().unwrap_or(&self.base)
    }

    /// Returns the membership that is in effect at this index.
    pub fn at(&self, index: Index) -> &Membership {
        let earlier = self.later.iter().rev().find(|change| change.index <= index);
        &earlier.unwrap_or(&self.base).membership
    }

    pub fn push(&mut self, index: Index, membership: Membership) {
        self.later.push(IndexedMembership { index, membership });
    }

    /// Reverts the memberships from this index on. Returns whether there were any.
    pub fn truncate_from(&mut self, index: Index) -> bool {
        let before = self.later.len();
        self.later.retain(|change| change.index < index);
        self.later.len() < before
    }

    /// Removes the memberships that have been superseded at this index.
    pub fn compact_to(&mut self, index: Index) {
        let compacted = self.later.iter().take_while(|change| change.index <= index).count();
        if let Some(newest) = self.later.drain(..compacted).next_back() {
            self.base = newest;
        }
    }
}
