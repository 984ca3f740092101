//! The entries that the latest versions changed, for readers that have an older version.

use std::collections::{BTreeSet, VecDeque};

/// The smallest number of changes that the history keeps before it drops the oldest.
pub(super) const MIN_CHANGES: usize = 1024;

/// The latest changes, oldest first.
pub struct History {
    /// The version and the `uid` of the changed entry.
    changes: VecDeque<(u64, String)>,
    /// The version before the oldest change; readers with an older version need the full list.
    oldest: u64,
}

impl History {
    /// An empty history that begins after this version.
    pub fn after(version: u64) -> Self {
        History { changes: VecDeque::new(), oldest: version }
    }

    /// Records that `version` changed these entries. Drops the oldest changes beyond the larger of
    /// [`MIN_CHANGES`] and twice the number of `listed` entries.
    pub fn extend(&mut self, version: u64, uids: impl IntoIterator<Item = String>, listed: usize) {
        self.changes.extend(uids.into_iter().map(|uid| (version, uid)));
        while self.changes.len() > MIN_CHANGES.max(2 * listed) {
            if let Some((version, _)) = self.changes.pop_front() {
                self.oldest = version;
            }
        }
    }

    /// The entries that changed after this version; `None` if the history does not go back that far.
    pub fn changed_after(&self, version: u64) -> Option<BTreeSet<&String>> {
        if version < self.oldest {
            return None;
        }
        let first = self.changes.partition_point(|(changed_at, _)| *changed_at <= version);
        Some(self.changes.range(first..).map(|(_, uid)| uid).collect())
    }
}
