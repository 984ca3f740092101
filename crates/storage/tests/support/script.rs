//! Random scripts of operations and faults, played on a store beside a plain copy of what it must hold.

use std::sync::Arc;

use quickcheck::{Arbitrary, Gen};
use storage::model::ModelDirectory;
use storage::{
    HardState, Identity, Recovered, StorageError, Store, StoreOptions, StoredEntry, StoredSnapshot,
    WriteBatch,
};

/// One thing that happens to a store.
#[derive(Debug, Clone)]
pub enum Step {
    Vote {
        term: u8,
        vote: Option<u8>,
    },
    Append {
        count: u8,
        bytes: u8,
        vote: bool,
    },
    /// Replaces up to `back` entries from the end by `count` others, perhaps none.
    Replace {
        back: u8,
        count: u8,
    },
    /// Of the node's own log, `back` entries before its end.
    Snapshot {
        back: u8,
        bytes: u8,
    },
    /// Of another node, beyond the log.
    SnapshotAhead {
        ahead: u8,
    },
    /// Of another node, whose history differs from the log's `back` entries before its end.
    SnapshotDiverged {
        back: u8,
    },
    Identity {
        node_id: u8,
    },
    Kill,
    LosePower,
    FailSyncs {
        good: u8,
        failing: u8,
    },
    Capacity {
        bytes: Option<u16>,
    },
    /// Stops in the middle of an operation soon after, by a kill or a loss of power.
    Halt {
        operations: u8,
    },
}

impl Arbitrary for Step {
    fn arbitrary(gen: &mut Gen) -> Self {
        let small = |gen: &mut Gen, limit: u8| u8::arbitrary(gen) % limit;
        match small(gen, 24) {
            0..=1 => Step::Vote { term: u8::arbitrary(gen), vote: Option::arbitrary(gen) },
            2..=9 => Step::Append {
                count: 1 + small(gen, 5),
                bytes: u8::arbitrary(gen),
                vote: bool::arbitrary(gen),
            },
            10..=12 => Step::Replace { back: small(gen, 12), count: small(gen, 4) },
            13..=14 => Step::Snapshot { back: small(gen, 12), bytes: u8::arbitrary(gen) },
            15 => Step::SnapshotAhead { ahead: 1 + small(gen, 9) },
            16 => Step::SnapshotDiverged { back: small(gen, 12) },
            17 => Step::Identity { node_id: u8::arbitrary(gen) },
            18 => Step::Kill,
            19 => Step::LosePower,
            20 => Step::FailSyncs { good: small(gen, 4), failing: 1 + small(gen, 3) },
            21 => Step::Capacity { bytes: Option::arbitrary(gen) },
            _ => Step::Halt { operations: small(gen, 12) },
        }
    }
}

/// A disk, the store on it, and what it must hold.
pub struct Player {
    pub disk: ModelDirectory,
    options: StoreOptions,
    store: Option<Store<ModelDirectory>>,
    /// What was reported durable.
    expected: Recovered,
    /// What else may be found: an operation that failed may have taken effect, or the beginning of it.
    possible: Vec<Recovered>,
    possible_identities: Vec<Option<Identity>>,
    /// Makes every payload different.
    written: u64,
    /// How an operation that was halted ended: by turns a loss of power and a kill.
    halts: u64,
}

/// Why a script failed.
pub type Failure = String;

impl Player {
    pub fn new(seed: u64, segment_bytes: u64) -> Self {
        Player {
            disk: ModelDirectory::new(seed),
            options: StoreOptions { segment_bytes },
            store: None,
            expected: Recovered::default(),
            possible: Vec::new(),
            possible_identities: Vec::new(),
            written: 0,
            halts: seed % 2,
        }
    }

    /// Carries out a step, after a start if the store is not open.
    pub fn play(&mut self, step: &Step) -> Result<(), Failure> {
        if self.store.is_none() && !self.start()? {
            return Ok(());
        }
        match *step {
            Step::Vote { term, vote } => {
                let state = HardState { term: term.into(), vote: vote.map(u64::from) };
                self.write(WriteBatch { hard_state: Some(state), ..WriteBatch::default() });
            }
            Step::Append { count, bytes, vote } => self.append(count, bytes, vote),
            Step::Replace { back, count } => self.replace(back, count),
            Step::Snapshot { back, bytes } => self.snapshot(back, bytes),
            Step::SnapshotAhead { ahead } => {
                let index = self.last_index() + u64::from(ahead);
                self.save_snapshot(index, self.last_term() + 1, 30);
            }
            Step::SnapshotDiverged { back } => {
                let index = self.last_index().saturating_sub(back.into());
                self.save_snapshot(index, self.last_term() + 1, 30);
            }
            Step::Identity { node_id } => self.write_identity(Identity { node_id: node_id.into() }),
            Step::Kill => self.kill(),
            Step::LosePower => self.lose_power(),
            Step::FailSyncs { good, failing } => self.disk.fail_syncs(good.into(), failing.into()),
            Step::Capacity { bytes } => {
                let capacity = bytes.map(|bytes| self.disk.used_bytes() + u64::from(bytes % 1024));
                self.disk.set_capacity(capacity);
            }
            Step::Halt { operations } => self.disk.halt_after(operations.into()),
        }
        self.finish_halt();
        self.check_open_store()
    }

    pub fn kill(&mut self) {
        self.store = None;
        self.disk.kill();
    }

    pub fn lose_power(&mut self) {
        self.store = None;
        self.disk.lose_power();
    }

    /// Opens the store and compares; `false` if a fault kept it from opening.
    pub fn start(&mut self) -> Result<bool, Failure> {
        let opened = Store::open(self.disk.clone(), self.options);
        let (store, recovered) = match opened {
            Ok(opened) => opened,
            Err(error @ (StorageError::Corrupt { .. } | StorageError::Missing { .. })) => {
                return Err(format!("does not open: {error}"));
            }
            Err(_) => {
                self.disk.fail_syncs(0, 0);
                self.disk.set_capacity(None);
                self.finish_halt();
                return Ok(false);
            }
        };
        self.compare(&recovered)?;
        if store.disk_usage_bytes() != self.disk.used_bytes() {
            return Err(format!("usage {} of {}", store.disk_usage_bytes(), self.disk.used_bytes()));
        }
        self.possible_identities = vec![recovered.identity];
        self.possible.clear();
        self.expected = recovered;
        self.store = Some(store);
        Ok(true)
    }

    fn compare(&self, recovered: &Recovered) -> Result<(), Failure> {
        let identity = recovered.identity;
        if identity != self.expected.identity && !self.possible_identities.contains(&identity) {
            return Err(format!("identity {identity:?}, not {:?}", self.possible_identities));
        }
        let same = |other: &Recovered| {
            other.hard_state == recovered.hard_state
                && other.snapshot == recovered.snapshot
                && other.entries == recovered.entries
        };
        if same(&self.expected) || self.possible.iter().any(same) {
            return Ok(());
        }
        Err(format!("found {recovered:?}\nnot {:?}\nnor any of {:?}", self.expected, self.possible))
    }

    fn check_open_store(&self) -> Result<(), Failure> {
        let Some(store) = &self.store else {
            return Ok(());
        };
        let last = self.last_index();
        if store.last_index() != last {
            return Err(format!("last index {}, not {last}", store.last_index()));
        }
        Ok(())
    }

    /// After a halted operation, the process or the machine goes down.
    fn finish_halt(&mut self) {
        if !self.disk.is_halted() {
            return;
        }
        self.halts += 1;
        if self.halts % 2 == 0 {
            self.kill();
        } else {
            self.lose_power();
        }
    }

    fn last_index(&self) -> u64 {
        let covered = self.expected.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        covered + self.expected.entries.len() as u64
    }

    fn last_term(&self) -> u64 {
        let covered = self.expected.snapshot.as_ref().map_or(0, |snapshot| snapshot.term);
        self.expected.entries.last().map_or(covered, |entry| entry.term)
    }

    fn make_entries(&mut self, first: u64, count: u8, term: u64, bytes: usize) -> Vec<StoredEntry> {
        let make = |index: u64| {
            self.written += 1;
            let mut payload = self.written.to_le_bytes().to_vec();
            payload.resize(payload.len() + bytes, index as u8);
            StoredEntry { index, term, kind: bytes as u8, payload }
        };
        (first..first + u64::from(count)).map(make).collect()
    }

    fn append(&mut self, count: u8, bytes: u8, vote: bool) {
        let term = self.last_term().max(1);
        let entries = self.make_entries(self.last_index() + 1, count, term, bytes.into());
        let hard_state = vote.then_some(HardState { term, vote: Some(self.written) });
        self.write(WriteBatch { hard_state, truncate_from: None, entries });
    }

    fn replace(&mut self, back: u8, count: u8) {
        let kept = self.expected.entries.len().saturating_sub(back.into());
        let removed = self.expected.entries.len() - kept;
        if removed == 0 {
            return;
        }
        let first = self.last_index() + 1 - removed as u64;
        let entries = self.make_entries(first, count, self.last_term() + 1, 20);
        self.write(WriteBatch { hard_state: None, truncate_from: Some(first), entries });
    }

    fn write(&mut self, batch: WriteBatch) {
        let Some(store) = &mut self.store else {
            return;
        };
        let written = store.write(&batch);
        let parts = apply_in_parts(&self.expected, &batch);
        self.record_outcome(written.is_ok(), parts);
    }

    fn snapshot(&mut self, back: u8, bytes: u8) {
        let kept = self.expected.entries.len().saturating_sub(back.into());
        let Some(last) = kept.checked_sub(1).and_then(|at| self.expected.entries.get(at)) else {
            return;
        };
        self.save_snapshot(last.index, last.term, bytes.into());
    }

    fn save_snapshot(&mut self, index: u64, term: u64, bytes: usize) {
        let covered = self.expected.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let Some(store) = self.store.as_mut().filter(|_| index > covered) else {
            return;
        };
        self.written += 1;
        let data = Arc::new(vec![self.written as u8; bytes]);
        let snapshot = StoredSnapshot { index, term, membership: self.written.to_le_bytes().to_vec(), data };
        let saved = store.save_snapshot(&snapshot);
        let after = apply_snapshot(&self.expected, snapshot);
        self.record_outcome(saved.is_ok(), vec![after]);
    }

    /// Records how an operation ended. `states` are those that it passes through; the last one is its result.
    fn record_outcome(&mut self, succeeded: bool, mut states: Vec<Recovered>) {
        if !succeeded {
            self.possible.append(&mut states);
            return;
        }
        self.possible.clear();
        if let Some(after) = states.pop() {
            self.expected = after;
        }
    }

    fn write_identity(&mut self, identity: Identity) {
        let Some(store) = &mut self.store else {
            return;
        };
        if store.write_identity(&identity).is_ok() {
            self.expected.identity = Some(identity);
            self.possible_identities.clear();
        }
        self.possible_identities.push(Some(identity));
    }
}

/// States after the first record of the batch, the first two, and so on.
fn apply_in_parts(before: &Recovered, batch: &WriteBatch) -> Vec<Recovered> {
    let mut parts = Vec::new();
    let mut state = before.clone();
    if let Some(hard_state) = batch.hard_state {
        state.hard_state = hard_state;
        parts.push(state.clone());
    }
    if let Some(from) = batch.truncate_from {
        state.entries.retain(|entry| entry.index < from);
        parts.push(state.clone());
    }
    for entry in &batch.entries {
        state.entries.push(entry.clone());
        parts.push(state.clone());
    }
    parts
}

fn apply_snapshot(before: &Recovered, snapshot: StoredSnapshot) -> Recovered {
    let mut state = before.clone();
    let known =
        state.entries.iter().any(|entry| entry.index == snapshot.index && entry.term == snapshot.term);
    state.entries.retain(|entry| known && entry.index > snapshot.index);
    state.snapshot = Some(snapshot);
    state
}
