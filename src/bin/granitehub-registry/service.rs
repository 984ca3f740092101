//! The registry between its three addresses, its list and its disk.

use crate::disk::{Disk, Kept};
use crate::store::{Change, News, Refusal, Store};
use bytes::Bytes;
use granitehub::list::List;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::time::{interval, sleep, timeout, Instant};

/// Changes that come within this time of one another go out as one.
const TOGETHER: Duration = Duration::from_millis(20);
const SWEEP_EVERY: Duration = Duration::from_millis(100);

/// Why a call that would change the list did not.
#[derive(Debug)]
pub enum Failure {
    Refused(Refusal),
    /// The disk did not take it. Readers are served all the same.
    Disk(io::Error),
}

#[derive(Default)]
struct Counts {
    renewals: Cell<u64>,
    expiries: Cell<u64>,
    encodings: Cell<u64>,
    disk_failures: Cell<u64>,
    watchers: Cell<usize>,
    held: Cell<usize>,
}

fn add(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// What staff see.
#[derive(Serialize)]
pub struct Figures {
    version: u64,
    entries: usize,
    watchers: usize,
    renewals: u64,
    expiries: u64,
    /// Leases that have ended but are held, since most ended together.
    held: usize,
    /// Answers put into bytes; each serves all who wait for it.
    encodings: u64,
    disk_failures: u64,
    /// How long ago the list last changed.
    age_ms: u64,
}

pub struct Registry {
    store: RefCell<Store>,
    disk: RefCell<Disk>,
    changed: Notify,
    /// The version that watchers have been woken for.
    told: watch::Sender<u64>,
    closing: watch::Sender<bool>,
    /// Answers to those who come with a version, of the version that the list has now.
    answers: RefCell<(u64, HashMap<Option<u64>, Bytes>)>,
    last_change: Cell<Instant>,
    counts: Counts,
}

impl Registry {
    pub fn new(disk: Disk, kept: Kept, grace: Duration) -> Rc<Self> {
        let now = Instant::now();
        let store = Store::new(kept.rev, kept.entries, grace, now);
        Rc::new(Registry {
            told: watch::Sender::new(store.rev()),
            store: RefCell::new(store),
            disk: RefCell::new(disk),
            changed: Notify::new(),
            closing: watch::Sender::new(false),
            answers: RefCell::default(),
            last_change: Cell::new(now),
            counts: Counts::default(),
        })
    }

    // ---- Changes ----

    /// Carries a call out: what it changes is on disk before this returns, and no one hears of it sooner.
    pub fn change(
        &self,
        plan: impl FnOnce(&Store) -> Result<Option<Change>, Refusal>,
    ) -> Result<u64, Failure> {
        let mut store = self.store.borrow_mut();
        if let Some(change) = plan(&store).map_err(Failure::Refused)? {
            self.confirm(&mut store, &change).map_err(Failure::Disk)?;
        }
        Ok(store.rev())
    }

    fn confirm(&self, store: &mut Store, change: &Change) -> io::Result<()> {
        let mut disk = self.disk.borrow_mut();
        let rev = store.rev() + 1;
        if let Err(e) = disk.append(rev, change) {
            add(&self.counts.disk_failures);
            crate::log!("not on disk, the list stands at version {}: {e}", store.rev());
            return Err(e);
        }
        let now = Instant::now();
        store.apply(change, now);
        match change {
            Change::Put { target, .. } => {
                crate::log!("version {rev}: {} at {} is {:?}", target.uid, target.endpoint, target.state);
            }
            Change::Remove { uid } => crate::log!("version {rev}: {uid} is gone"),
        }
        if disk.long() {
            let kept = Kept { rev, entries: store.entries() };
            if let Err(e) = disk.snapshot(&kept) {
                add(&self.counts.disk_failures);
                crate::log!("no snapshot, the log goes on: {e}");
            }
        }
        self.last_change.set(now);
        self.changed.notify_one();
        Ok(())
    }

    pub fn renew(&self, uid: &str, boot_ms: u64) -> Result<Duration, Refusal> {
        let lease = self.store.borrow_mut().renew(uid, boot_ms, Instant::now())?;
        add(&self.counts.renewals);
        Ok(lease)
    }

    /// Ends leases as time passes.
    pub async fn expire(self: Rc<Self>) {
        let mut every = interval(SWEEP_EVERY);
        loop {
            let now = every.tick().await;
            let mut store = self.store.borrow_mut();
            let expiry = store.expired(now);
            if self.counts.held.replace(expiry.held) == 0 && expiry.held > 0 {
                crate::log!("{} leases ended together: the list is kept until most are heard", expiry.held);
            }
            for change in expiry.due {
                if self.confirm(&mut store, &change).is_err() {
                    break;
                }
                add(&self.counts.expiries);
            }
        }
    }

    /// Wakes the watchers, once for changes that come close together.
    pub async fn tell(self: Rc<Self>) {
        loop {
            self.changed.notified().await;
            sleep(TOGETHER).await;
            let rev = self.store.borrow().rev();
            self.told.send_if_modified(|told| std::mem::replace(told, rev) != rev);
        }
    }

    // ---- Readers ----

    /// The answer to a reader with this version, once there is one or its time is up.
    pub async fn read(&self, since: Option<u64>, wait: Duration) -> Bytes {
        let Some(since) = since else { return self.answer(None) };
        let (mut told, mut closing) = (self.told.subscribe(), self.closing.subscribe());
        if *told.borrow_and_update() == since {
            let _watcher = Watcher::new(&self.counts);
            let ended = async {
                tokio::select! {
                    _ = told.wait_for(|rev| *rev != since) => {}
                    _ = closing.wait_for(|closing| *closing) => {}
                }
            };
            // Its time is up: there is nothing new.
            let _ = timeout(wait, ended).await;
        }
        self.answer(Some(since))
    }

    /// Each answer is put into bytes once for all who get it.
    fn answer(&self, since: Option<u64>) -> Bytes {
        let store = self.store.borrow();
        let (rev, answers) = &mut *self.answers.borrow_mut();
        if std::mem::replace(rev, store.rev()) != store.rev() {
            answers.clear();
        }
        let encode = || {
            add(&self.counts.encodings);
            let list = match since.map(|since| store.since(since)) {
                None => store.whole(),
                Some(News::Whole(list) | News::Changes(list)) => list,
                Some(News::None) => List { rev: store.rev(), all: false, targets: Vec::new() },
            };
            // A list of figures that were checked when they came in has a form in JSON.
            Bytes::from(serde_json::to_vec(&list).unwrap_or_default())
        };
        answers.entry(since).or_insert_with(encode).clone()
    }

    // ---- Staff ----

    /// The entries, each with what is left of its lease.
    pub fn registrations(&self) -> Vec<u8> {
        #[derive(Serialize)]
        struct Entry<'a> {
            #[serde(flatten)]
            target: &'a granitehub::list::Target,
            lease_ms: u64,
            lease_left_ms: u64,
        }
        let (store, now) = (self.store.borrow(), Instant::now());
        let entries = store.entries();
        let entry = |(target, lease_ms): &'_ (granitehub::list::Target, u64)| {
            let left = store.remaining(&target.uid, now).unwrap_or_default();
            serde_json::to_value(Entry {
                target,
                lease_ms: *lease_ms,
                lease_left_ms: left.as_millis() as u64,
            })
            .unwrap_or_default()
        };
        let entries: Vec<_> = entries.iter().map(entry).collect();
        serde_json::json!({"rev": store.rev(), "registrations": entries}).to_string().into_bytes()
    }

    pub fn figures(&self) -> Figures {
        let (store, c) = (self.store.borrow(), &self.counts);
        Figures {
            version: store.rev(),
            entries: store.whole().targets.len(),
            watchers: c.watchers.get(),
            renewals: c.renewals.get(),
            expiries: c.expiries.get(),
            held: c.held.get(),
            encodings: c.encodings.get(),
            disk_failures: c.disk_failures.get(),
            age_ms: self.last_change.get().elapsed().as_millis() as u64,
        }
    }

    /// Lets all watchers go with an answer.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }
}

struct Watcher<'a>(&'a Counts);

impl<'a> Watcher<'a> {
    fn new(counts: &'a Counts) -> Self {
        counts.watchers.set(counts.watchers.get() + 1);
        Watcher(counts)
    }
}

impl Drop for Watcher<'_> {
    fn drop(&mut self) {
        self.0.watchers.set(self.0.watchers.get() - 1);
    }
}
