//! The registry service, which connects the three APIs with the list in memory and on disk.

mod figures;

use crate::disk::{Disk, SavedList};
use crate::store::{Change, Refusal, Store, Update};
use bytes::Bytes;
use figures::{increment, Counters, Metrics, WatcherGuard};
use gateway_protocol::admission::{Admission, CallKind};
use gateway_protocol::list::{List, Target};
use gateway_protocol::registration::{Registration, Registrations};
use quick_error::quick_error;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::time::{interval, sleep, timeout, Instant};

/// The delay between a change and its publication to watchers. Changes within this time are published
/// together.
const PUBLISH_DELAY: Duration = Duration::from_millis(20);
/// The longest queueing delay of a call for the full list, if there is a rate limit.
const MAX_WAIT_FULL_LIST: Duration = Duration::from_secs(1);
/// The longest queueing delay of a watch, if there is a rate limit.
const MAX_WAIT_WATCH: Duration = Duration::from_millis(250);
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// Why a change of the list failed.
#[derive(Debug)]
pub enum ChangeError {
    /// The current list does not allow the change.
    Refused(Refusal),
    /// The change could not be written to disk. Readers are still served.
    Disk(io::Error),
}

quick_error! {
    /// Why a follower rejects a list from another registry.
    #[derive(Debug)]
    pub enum FollowError {
        /// The list has already passed through this registry: the registries in `path` follow each other in a
        /// loop.
        Loop(path: String) {
            display("registries follow each other in a loop, the list came through here: {path}")
        }
        /// The changes are based on a version that this follower does not have.
        UnknownBase {
            display("changes to a list that is not held")
        }
        /// The received version is older than the present one.
        Older(received: u64, present: u64) {
            display("version {received} is older than {present}, which is held")
        }
    }
}

/// The registry service. Without a disk it is a follower, which serves the list of another registry.
pub struct Registry {
    store: RefCell<Store>,
    /// `None` at a follower.
    disk: RefCell<Option<Disk>>,
    /// The ids of the registries that the list passed through, this one last; `None` while a follower has no
    /// list.
    path: RefCell<Option<String>>,
    /// The id of this registry, which other registries see in the path.
    id: String,
    /// Notified by each change that waits for publication.
    change_notify: Notify,
    /// The last version that was published to watchers.
    published: watch::Sender<u64>,
    /// Set at shutdown; ends all watches.
    closing: watch::Sender<bool>,
    /// Cached encoded responses: the list version for which they are valid, and the responses by the version
    /// that the reader has.
    encoded_lists: RefCell<(u64, HashMap<Option<u64>, Bytes>)>,
    last_change_at: Cell<Instant>,
    /// When a follower last received the confirmation that its list is the latest.
    confirmed_at: Cell<Instant>,
    started: Instant,
    admission: RefCell<Admission>,
    counters: Counters,
}

impl Registry {
    /// Creates a registry with its own list. No lease expires within `grace` from now.
    pub fn new(disk: Disk, list: SavedList, grace: Duration, id: String) -> Rc<Self> {
        let store = Store::new(list.rev, list.entries, grace, Instant::now());
        Registry::build(store, Some(disk), Some(id.clone()), id)
    }

    /// Creates a follower, which serves the list of another registry.
    pub fn follower(id: String) -> Rc<Self> {
        let store = Store::new(0, Vec::new(), Duration::ZERO, Instant::now());
        Registry::build(store, None, None, id)
    }

    fn build(store: Store, disk: Option<Disk>, path: Option<String>, id: String) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Registry {
            published: watch::Sender::new(store.version()),
            store: RefCell::new(store),
            disk: RefCell::new(disk),
            path: RefCell::new(path),
            id,
            change_notify: Notify::new(),
            closing: watch::Sender::new(false),
            encoded_lists: RefCell::default(),
            last_change_at: Cell::new(now),
            confirmed_at: Cell::new(now),
            started: now,
            admission: RefCell::new(Admission::new(0.0, MAX_WAIT_FULL_LIST, MAX_WAIT_WATCH)),
            counters: Counters::default(),
        })
    }

    // ---- Changes ----

    /// Executes a change. `plan` computes the change from the current list, or `None` if nothing changes. The
    /// change is durable on disk before it is visible to readers and before this returns the new version.
    pub fn change(
        &self,
        plan: impl FnOnce(&Store) -> Result<Option<Change>, Refusal>,
    ) -> Result<u64, ChangeError> {
        let mut store = self.store.borrow_mut();
        if let Some(change) = plan(&store).map_err(ChangeError::Refused)? {
            self.commit(&mut store, &change).map_err(ChangeError::Disk)?;
        }
        Ok(store.version())
    }

    /// Writes a change to disk, applies it to the list and schedules its publication.
    fn commit(&self, store: &mut Store, change: &Change) -> io::Result<()> {
        let mut disk = self.disk.borrow_mut();
        let Some(disk) = disk.as_mut() else {
            return Err(io::Error::other("a follower keeps no list of its own"));
        };
        let version = store.version() + 1;
        if let Err(e) = disk.append(version, change) {
            increment(&self.counters.disk_failures);
            tracing::error!("not on disk, the list stays at version {}: {e}", store.version());
            return Err(e);
        }
        let now = Instant::now();
        store.apply(change, now);
        match change {
            Change::Put { target, .. } => {
                tracing::info!(
                    version,
                    server = target.uid,
                    endpoint = target.endpoint,
                    state = ?target.state,
                    "listed"
                );
            }
            Change::Remove { uid } => tracing::info!(version, server = uid, "gone"),
        }
        if disk.needs_snapshot() {
            let list = SavedList { rev: version, entries: store.entries() };
            if let Err(e) = disk.snapshot(&list) {
                increment(&self.counters.disk_failures);
                tracing::error!("cannot write the snapshot, the log continues to grow: {e}");
            }
        }
        self.last_change_at.set(now);
        self.change_notify.notify_one();
        Ok(())
    }

    /// Merges the list that another registry returned to a call with the version `since`. `path` holds the
    /// ids of the registries that the list passed through.
    pub fn apply_followed(&self, list: &List, path: &str, since: Option<u64>) -> Result<(), FollowError> {
        if path.split(',').any(|id| id == self.id) {
            return Err(FollowError::Loop(path.to_string()));
        }
        if !list.all && since.is_none_or(|since| list.rev < since) {
            return Err(FollowError::UnknownBase);
        }
        let mut store = self.store.borrow_mut();
        // After a restart of the followed registry its list may lag behind this one.
        if list.rev < store.version() {
            return Err(FollowError::Older(list.rev, store.version()));
        }
        let now = Instant::now();
        if store.merge(list) {
            tracing::info!(version = list.rev, path, "followed");
            self.last_change_at.set(now);
        }
        let own = if path.is_empty() { self.id.clone() } else { format!("{path},{}", self.id) };
        self.path.replace(Some(own));
        self.confirmed_at.set(now);
        drop(store);
        // Published without delay: otherwise the delays of chained followers would add up.
        self.publish();
        Ok(())
    }

    /// The ids of the registries that the list passed through, separated by commas; `None` while a follower
    /// has no list.
    pub fn path(&self) -> Option<String> {
        self.path.borrow().clone()
    }

    pub fn renew(&self, uid: &str, boot_ms: u64) -> Result<Duration, Refusal> {
        let lease = self.store.borrow_mut().renew(uid, boot_ms, Instant::now())?;
        increment(&self.counters.renewals);
        Ok(lease)
    }

    /// Removes entries whose leases have expired, until the program ends.
    pub async fn run_expiry(self: Rc<Self>) {
        let mut every = interval(EXPIRY_INTERVAL);
        loop {
            let now = every.tick().await;
            let mut store = self.store.borrow_mut();
            let expiry = store.expired(now);
            if self.counters.suspended.replace(expiry.suspended) == 0 && expiry.suspended > 0 {
                tracing::warn!(
                    "{} leases expired together: their entries are kept until half of the leases are renewed",
                    expiry.suspended
                );
            }
            for change in expiry.due {
                if self.commit(&mut store, &change).is_err() {
                    break;
                }
                increment(&self.counters.expiries);
            }
        }
    }

    /// Publishes changes to the watchers, with one publication for changes within [`PUBLISH_DELAY`].
    pub async fn publish_changes(self: Rc<Self>) {
        loop {
            self.change_notify.notified().await;
            sleep(PUBLISH_DELAY).await;
            self.publish();
        }
    }

    fn publish(&self) {
        let version = self.store.borrow().version();
        self.published.send_if_modified(|published| std::mem::replace(published, version) != version);
    }

    // ---- Readers ----

    /// Limits the calls of readers to `calls_per_s` a second.
    pub fn set_rate_limit(&self, calls_per_s: f64) {
        self.admission.replace(Admission::new(calls_per_s, MAX_WAIT_FULL_LIST, MAX_WAIT_WATCH));
    }

    /// Waits until the rate limit admits the call.
    ///
    /// # Errors
    ///
    /// The call is rejected: the delay after which the caller should retry.
    pub async fn wait_for_admission(&self, call: CallKind) -> Result<(), Duration> {
        let now = self.started.elapsed();
        let admitted = self.admission.borrow_mut().admit(now, call);
        match admitted {
            Ok(at) if at > now => sleep(at - now).await,
            Ok(_) => {}
            Err(retry_after) => {
                increment(&self.counters.rejected);
                return Err(retry_after);
            }
        }
        Ok(())
    }

    /// Returns the encoded response to a reader that has version `since`: waits for a newer version, at most
    /// for `wait`. Without `since` returns the full list at once.
    pub async fn read(&self, since: Option<u64>, wait: Duration) -> Bytes {
        let Some(since) = since else { return self.encoded_list(None) };
        let (mut published, mut closing) = (self.published.subscribe(), self.closing.subscribe());
        // Changes are published shortly after they are committed, so a caller that has just made a change may
        // already have a version that is not yet published. Its watch must wait for the next change.
        let is_newer = |published: &u64| *published != since && self.store.borrow().version() != since;
        let ended = async {
            let _watcher = WatcherGuard::new(&self.counters);
            tokio::select! {
                _ = published.wait_for(is_newer) => {}
                _ = closing.wait_for(|closing| *closing) => {}
            }
        };
        // On timeout the response says that there are no changes.
        let _ = timeout(wait, ended).await;
        self.encoded_list(Some(since))
    }

    /// The current response to a reader with this version. Each response is encoded once and shared by all
    /// readers.
    fn encoded_list(&self, since: Option<u64>) -> Bytes {
        let store = self.store.borrow();
        let (version, encoded_lists) = &mut *self.encoded_lists.borrow_mut();
        if std::mem::replace(version, store.version()) != store.version() {
            encoded_lists.clear();
        }
        let encode = || {
            increment(&self.counters.encodings);
            let list = match since.map(|since| store.since(since)) {
                None => store.full_list(),
                Some(Update::Full(list) | Update::Changes(list)) => list,
                Some(Update::None) => List { rev: store.version(), all: false, targets: Vec::new() },
            };
            // Cannot fail: entries are validated on registration, so all their numbers can be encoded as
            // JSON.
            Bytes::from(serde_json::to_vec(&list).unwrap_or_default())
        };
        encoded_lists.entry(since).or_insert_with(encode).clone()
    }

    // ---- Operators ----

    /// Returns all entries with the remaining time of their leases, as JSON.
    pub fn registrations(&self) -> Vec<u8> {
        let (store, now) = (self.store.borrow(), Instant::now());
        let entry = |(target, lease_ms): (Target, u64)| {
            let left = store.remaining(&target.uid, now).unwrap_or_default();
            Registration { target, lease_ms, lease_left_ms: left.as_millis() as u64 }
        };
        let registrations = store.entries().into_iter().map(entry).collect();
        let all = Registrations { rev: store.version(), registrations };
        // Cannot fail: strings and finite numbers can always be encoded as JSON.
        serde_json::to_vec(&all).unwrap_or_default()
    }

    pub fn metrics(&self) -> Metrics {
        let (store, counters) = (self.store.borrow(), &self.counters);
        let follows = self.disk.borrow().is_none();
        Metrics {
            version: store.version(),
            entries: store.full_list().targets.len(),
            watchers: counters.watchers.get(),
            renewals: counters.renewals.get(),
            expiries: counters.expiries.get(),
            suspended: counters.suspended.get(),
            encodings: counters.encodings.get(),
            disk_failures: counters.disk_failures.get(),
            rejected: counters.rejected.get(),
            age_ms: self.last_change_at.get().elapsed().as_millis() as u64,
            confirmed_ms: follows.then(|| self.confirmed_at.get().elapsed().as_millis() as u64),
        }
    }

    /// Ends all watches with a response, at shutdown.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }
}

#[cfg(test)]
mod tests;
