//! The attempts of a session, with an index of those that need a call. A session is polled after each call, and
//! a worker may run thousands of attempts, so that a poll must not go over all of them.

use std::collections::{btree_map, BTreeMap, BTreeSet};

use crate::ids::AttemptKey;

use super::attempts::Attempt;

/// All attempts of a session, by key.
#[derive(Debug, Default)]
pub(super) struct AttemptTable {
    by_key: BTreeMap<AttemptKey, Attempt>,
    /// All attempts that need a stop or a status query, and possibly some that do not: each attempt is added when it
    /// may have changed, and dropped by `prune`.
    changed: BTreeSet<AttemptKey>,
}

impl AttemptTable {
    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    pub(super) fn contains_key(&self, key: &AttemptKey) -> bool {
        self.by_key.contains_key(key)
    }

    pub(super) fn get(&self, key: &AttemptKey) -> Option<&Attempt> {
        self.by_key.get(key)
    }

    pub(super) fn iter(&self) -> btree_map::Iter<'_, AttemptKey, Attempt> {
        self.by_key.iter()
    }

    /// Returns an attempt that the caller may change.
    pub(super) fn get_mut(&mut self, key: &AttemptKey) -> Option<&mut Attempt> {
        let attempt = self.by_key.get_mut(key)?;
        self.changed.insert(*key);
        Some(attempt)
    }

    /// Returns an attempt that is listed as running. The caller passes it to `mark_changed` if it may need a stop
    /// afterwards.
    pub(super) fn get_listed(&mut self, key: &AttemptKey) -> Option<&mut Attempt> {
        self.by_key.get_mut(key)
    }

    /// Records that an attempt may need a stop or a status query.
    pub(super) fn mark_changed(&mut self, key: AttemptKey) {
        self.changed.insert(key);
    }

    /// Adds an attempt unless there is one with this key.
    pub(super) fn insert_new(&mut self, key: AttemptKey, attempt: Attempt) {
        self.by_key.entry(key).or_insert(attempt);
        self.changed.insert(key);
    }

    pub(super) fn remove(&mut self, key: &AttemptKey) -> Option<Attempt> {
        self.changed.remove(key);
        self.by_key.remove(key)
    }

    /// Removes all attempts and returns them.
    pub(super) fn take(&mut self) -> BTreeMap<AttemptKey, Attempt> {
        self.changed.clear();
        std::mem::take(&mut self.by_key)
    }

    /// Passes each attempt to `change`, which returns whether it changed the attempt.
    pub(super) fn change_each(&mut self, mut change: impl FnMut(&AttemptKey, &mut Attempt) -> bool) {
        for (key, attempt) in &mut self.by_key {
            if change(key, attempt) {
                self.changed.insert(*key);
            }
        }
    }

    /// Iterates in key order over all attempts that need a stop or a status query. Others may be among them.
    pub(super) fn needing_calls(&self) -> impl Iterator<Item = (&AttemptKey, &Attempt)> {
        self.changed.iter().filter_map(|key| self.by_key.get_key_value(key))
    }

    /// Drops attempts that need no call from the index.
    pub(super) fn prune(&mut self) {
        let Self { by_key, changed } = self;
        changed.retain(|key| by_key.get(key).is_some_and(Attempt::needs_call));
    }
}
