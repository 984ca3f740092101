//! The list and its leases in memory. Does no input or output and reads no clock: the caller passes the time.
//!
//! A call is first planned, which computes its change without changing anything. The caller writes the change
//! to disk and then applies it. Therefore readers never receive a change that a crash could undo.

mod history;
mod leases;

use gateway_protocol::list::{List, Roster, State, Target};
use history::History;
use leases::{Expired, Leases};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// A change of the list, as stored on disk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Adds or replaces an entry, with a new lease of this length.
    Put { target: Target, lease_ms: u64 },
    /// Removes an entry from the list.
    Remove { uid: String },
}

/// Why a call is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The server, or this incarnation of it, is not listed.
    Unknown,
    /// A later incarnation of the same server is listed, with this `boot_ms`.
    Stale { listed: u64 },
}

/// The result of a check for expired leases.
#[derive(Debug, Default, PartialEq)]
pub struct Expiry {
    /// Removals of entries whose leases have expired.
    pub due: Vec<Change>,
    /// The number of expired leases whose entries are kept, since too many leases expired together.
    pub suspended: usize,
}

/// What a reader with a given version needs to have the current version.
#[derive(Debug, PartialEq)]
pub enum Update {
    /// Nothing: the reader has the current version.
    None,
    /// The entries that changed.
    Changes(List),
    /// The full list.
    Full(List),
}

/// The list, its leases and the history of its latest changes.
pub struct Store {
    roster: Roster,
    leases: Leases,
    history: History,
}

impl Store {
    /// Creates the store from the entries on disk, each with the length of its lease in milliseconds. All
    /// leases start anew and none expires within `grace`, since the registry received no renewals while it
    /// was down.
    pub fn new(version: u64, entries: Vec<(Target, u64)>, grace: Duration, now: Instant) -> Self {
        let (mut targets, mut leases) = (BTreeMap::new(), Leases::default());
        for (target, lease_ms) in entries {
            leases.grant(&target.uid, Duration::from_millis(lease_ms), grace, now);
            targets.insert(target.uid.clone(), target);
        }
        Store { roster: Roster { rev: version, targets }, leases, history: History::after(version) }
    }

    pub fn version(&self) -> u64 {
        self.roster.rev
    }

    pub fn full_list(&self) -> List {
        self.roster.full_list()
    }

    /// All entries with the length of their leases in milliseconds, as stored in a snapshot.
    pub fn entries(&self) -> Vec<(Target, u64)> {
        let targets = self.roster.targets.values();
        targets.map(|target| (target.clone(), self.leases.length_ms(&target.uid))).collect()
    }

    /// The remaining time of an entry's lease; `None` if it has expired.
    pub fn remaining(&self, uid: &str, now: Instant) -> Option<Duration> {
        self.leases.remaining(uid, now)
    }

    // ---- Calls ----

    /// Returns the entry if `boot_ms` is the listed incarnation or a later one.
    fn listed(&self, uid: &str, boot_ms: u64) -> Result<&Target, Refusal> {
        let listed = self.roster.targets.get(uid).ok_or(Refusal::Unknown)?;
        if listed.boot_ms > boot_ms {
            return Err(Refusal::Stale { listed: listed.boot_ms });
        }
        Ok(listed)
    }

    /// Plans the registration of a server. A repeated call changes nothing, and a call of the same
    /// incarnation does not undo a drain.
    pub fn register(&self, target: &Target, lease_ms: u64) -> Result<Option<Change>, Refusal> {
        let mut target = Target { state: State::Ready, ..target.clone() };
        match self.listed(&target.uid, target.boot_ms) {
            Ok(listed) if listed.boot_ms == target.boot_ms => {
                target.state = listed.state;
                if *listed == target {
                    return Ok(None);
                }
            }
            Ok(_) | Err(Refusal::Unknown) => {}
            Err(stale) => return Err(stale),
        }
        Ok(Some(Change::Put { target, lease_ms }))
    }

    /// Plans the draining of a server, so that it gets no new requests. Operators pass no `boot_ms`, which
    /// means any incarnation.
    pub fn drain(&self, uid: &str, boot_ms: Option<u64>) -> Result<Option<Change>, Refusal> {
        let listed = self.listed(uid, boot_ms.unwrap_or(u64::MAX))?;
        if boot_ms.is_some_and(|boot| boot != listed.boot_ms) {
            // An incarnation that never registered cannot be drained.
            return Err(Refusal::Unknown);
        }
        if listed.state == State::Terminating {
            return Ok(None);
        }
        let target = Target { state: State::Terminating, ..listed.clone() };
        Ok(Some(Change::Put { target, lease_ms: self.leases.length_ms(uid) }))
    }

    /// Plans the removal of a server from the list. Operators pass no `boot_ms`, which means any incarnation.
    pub fn remove(&self, uid: &str, boot_ms: Option<u64>) -> Result<Change, Refusal> {
        let listed = self.listed(uid, boot_ms.unwrap_or(u64::MAX))?;
        if boot_ms.is_some_and(|boot| boot != listed.boot_ms) {
            return Err(Refusal::Unknown);
        }
        Ok(Change::Remove { uid: uid.to_string() })
    }

    /// Renews the lease and returns its length. Does not create a new version.
    pub fn renew(&mut self, uid: &str, boot_ms: u64, now: Instant) -> Result<Duration, Refusal> {
        if self.listed(uid, boot_ms)?.boot_ms != boot_ms {
            return Err(Refusal::Unknown);
        }
        self.leases.renew(uid, now).ok_or(Refusal::Unknown)
    }

    /// Returns the removals of entries whose leases have expired. While more than half of the leases are
    /// expired at once, all entries are kept.
    pub fn expired(&self, now: Instant) -> Expiry {
        match self.leases.expired(now) {
            Expired::Suspended(suspended) => Expiry { due: Vec::new(), suspended },
            Expired::Entries(uids) => {
                let due = uids.into_iter().map(|uid| Change::Remove { uid: uid.to_string() });
                Expiry { due: due.collect(), suspended: 0 }
            }
        }
    }

    /// Applies a change that is on disk, as the next version.
    pub fn apply(&mut self, change: &Change, now: Instant) {
        let (uid, target) = match change {
            Change::Put { target, lease_ms } => {
                self.leases.grant(&target.uid, Duration::from_millis(*lease_ms), Duration::ZERO, now);
                (&target.uid, target.clone())
            }
            Change::Remove { uid } => {
                self.leases.remove(uid);
                (uid, gone_entry(uid))
            }
        };
        let version = self.version() + 1;
        self.roster.apply(&List { rev: version, all: false, targets: vec![target] });
        self.history.extend(version, [uid.clone()], self.roster.targets.len());
    }

    /// Merges a full list, or changes, of another registry. Returns whether the version changed.
    pub fn merge(&mut self, list: &List) -> bool {
        let before = self.roster.clone();
        self.roster.apply(list);
        if before.rev == 0 {
            // The changes before the first list are unknown.
            self.history = History::after(list.rev);
        } else {
            // The changed entries, found by comparison so that this also works between two full lists.
            let uids: BTreeSet<&String> = before.targets.keys().chain(self.roster.targets.keys()).collect();
            let changed =
                uids.into_iter().filter(|uid| before.targets.get(*uid) != self.roster.targets.get(*uid));
            self.history.extend(list.rev, changed.cloned(), self.roster.targets.len());
        }
        self.version() != before.rev
    }

    // ---- Readers ----

    /// The update since a version: the entries that changed, or the full list if the version is older than
    /// the history or newer than the current version and so not of this history.
    pub fn since(&self, version: u64) -> Update {
        if version == self.version() {
            return Update::None;
        }
        let changed = self.history.changed_after(version).filter(|_| version < self.version());
        let Some(changed) = changed else { return Update::Full(self.full_list()) };
        let target = |uid: &String| self.roster.targets.get(uid).cloned().unwrap_or_else(|| gone_entry(uid));
        let targets = changed.into_iter().map(target).collect();
        Update::Changes(List { rev: self.version(), all: false, targets })
    }
}

/// An entry with [`State::Gone`], which tells readers that a server was removed.
fn gone_entry(uid: &str) -> Target {
    Target {
        uid: uid.to_string(),
        endpoint: String::new(),
        az: String::new(),
        model: String::new(),
        pod_group: 0,
        state: State::Gone,
        capacity_hint: 1.0,
        boot_ms: 0,
    }
}

#[cfg(test)]
pub mod tests;
