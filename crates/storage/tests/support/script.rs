//! Random scripts of operations and faults. They run on a store and on a simple model of its expected state.

use std::sync::Arc;

use quickcheck::{Arbitrary, Gen};
use storage::model::ModelDirectory;
use storage::{
    HardState, Identity, Recovered, StorageError, Store, StoreOptions, StoredEntry, StoredSnapshot,
    WriteBatch,
};

/// One step of a script: an operation on the store or a fault.
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
    /// Replaces up to `back` entries at the end of the log by `count` new ones. `count` may be 0.
    Replace {
        back: u8,
        count: u8,
    },
    /// Saves a snapshot of the node's own log, `back` entries before its end.
    Snapshot {
        back: u8,
        bytes: u8,
    },
    /// Saves a snapshot of another node that ends `ahead` entries after the log.
    SnapshotAhead {
        ahead: u8,
    },
    /// Saves a snapshot of another node with a conflicting term, `back` entries before the end of the log.
    SnapshotDiverged {
        back: u8,
    },
    Identity {
        node_id: u8,
    },
    Kill,
    LosePower,
    FailSyncs {
        passing: u8,
        failing: u8,
    },
    Capacity {
        bytes: Option<u16>,
    },
    /// Halts in the middle of an operation after `operations` more, followed by a kill or a power loss.
    Halt {
        operations: u8,
    },
}

impl Arbitrary for Step {
    fn arbitrary(gen: &mut Gen) -> Self {
        let below = |gen: &mut Gen, limit: u8| u8::arbitrary(gen) % limit;
        match below(gen, 24) {
            0..=1 => Step::Vote { term: u8::arbitrary(gen), vote: Option::arbitrary(gen) },
            2..=9 => Step::Append {
                count: 1 + below(gen, 5),
                bytes: u8::arbitrary(gen),
                vote: bool::arbitrary(gen),
            },
            10..=12 => Step::Replace { back: below(gen, 12), count: below(gen, 4) },
            13..=14 => Step::Snapshot { back: below(gen, 12), bytes: u8::arbitrary(gen) },
            15 => Step::SnapshotAhead { ahead: 1 + below(gen, 9) },
            16 => Step::SnapshotDiverged { back: below(gen, 12) },
            17 => Step::Identity { node_id: u8::arbitrary(gen) },
            18 => Step::Kill,
            19 => Step::LosePower,
            20 => Step::FailSyncs { passing: below(gen, 4), failing: 1 + below(gen, 3) },
            21 => Step::Capacity { bytes: Option::arbitrary(gen) },
            _ => Step::Halt { operations: below(gen, 12) },
        }
    }
}

/// Runs scripts on a store and compares the recovered state with the expected state.
pub struct ScriptRunner {
    pub disk: ModelDirectory,
    options: StoreOptions,
    store: Option<Store<ModelDirectory>>,
    /// State that was reported durable.
    expected: Recovered,
    /// Other states that recovery may find: a failed operation may have taken effect completely or in part.
    possible: Vec<Recovered>,
    possible_identities: Vec<Option<Identity>>,
    /// Incremented for each entry and snapshot, so that all payloads differ.
    payload_counter: u64,
    /// Number of halts, plus 1 for odd seeds. Its parity decides between a kill and a power loss.
    halt_count: u64,
}

/// Description of why a script failed.
pub type Failure = String;

impl ScriptRunner {
    pub fn new(seed: u64, segment_bytes: u64) -> Self {
        ScriptRunner {
            disk: ModelDirectory::new(seed),
            options: StoreOptions { segment_bytes },
            store: None,
            expected: Recovered::default(),
            possible: Vec::new(),
            possible_identities: Vec::new(),
            payload_counter: 0,
            halt_count: seed % 2,
        }
    }

    /// Runs a step. Opens the store first if it is not open.
    pub fn run_step(&mut self, step: &Step) -> Result<(), Failure> {
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
            Step::FailSyncs { passing, failing } => self.disk.fail_syncs(passing.into(), failing.into()),
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

    /// Opens the store and compares the recovered state with the expected one. Returns `false` if an injected
    /// fault prevented the store from opening.
    pub fn start(&mut self) -> Result<bool, Failure> {
        let opened = Store::open(self.disk.clone(), self.options);
        let (store, recovered) = match opened {
            Ok(opened) => opened,
            Err(error @ (StorageError::Corrupt { .. } | StorageError::Missing { .. })) => {
                return Err(format!("store does not open: {error}"));
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
            return Err(format!(
                "disk usage is {}, not {}",
                store.disk_usage_bytes(),
                self.disk.used_bytes()
            ));
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
            return Err(format!("identity is {identity:?}, not one of {:?}", self.possible_identities));
        }
        let matches = |other: &Recovered| {
            other.hard_state == recovered.hard_state
                && other.snapshot == recovered.snapshot
                && other.entries == recovered.entries
        };
        if matches(&self.expected) || self.possible.iter().any(matches) {
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
            return Err(format!("last index is {}, not {last}", store.last_index()));
        }
        Ok(())
    }

    /// Ends a halt by a kill or a power loss.
    fn finish_halt(&mut self) {
        if !self.disk.is_halted() {
            return;
        }
        self.halt_count += 1;
        if self.halt_count % 2 == 0 {
            self.kill();
        } else {
            self.lose_power();
        }
    }

    fn last_index(&self) -> u64 {
        let snapshot_index = self.expected.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        snapshot_index + self.expected.entries.len() as u64
    }

    fn last_term(&self) -> u64 {
        let snapshot_term = self.expected.snapshot.as_ref().map_or(0, |snapshot| snapshot.term);
        self.expected.entries.last().map_or(snapshot_term, |entry| entry.term)
    }

    fn make_entries(&mut self, first: u64, count: u8, term: u64, bytes: usize) -> Vec<StoredEntry> {
        let make = |index: u64| {
            self.payload_counter += 1;
            let mut payload = self.payload_counter.to_le_bytes().to_vec();
            payload.resize(payload.len() + bytes, index as u8);
            StoredEntry { index, term, kind: bytes as u8, payload }
        };
        (first..first + u64::from(count)).map(make).collect()
    }

    fn append(&mut self, count: u8, bytes: u8, vote: bool) {
        let term = self.last_term().max(1);
        let entries = self.make_entries(self.last_index() + 1, count, term, bytes.into());
        let hard_state = vote.then_some(HardState { term, vote: Some(self.payload_counter) });
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
        let snapshot_index = self.expected.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let Some(store) = self.store.as_mut().filter(|_| index > snapshot_index) else {
            return;
        };
        self.payload_counter += 1;
        let data = Arc::new(vec![self.payload_counter as u8; bytes]);
        let snapshot =
            StoredSnapshot { index, term, membership: self.payload_counter.to_le_bytes().to_vec(), data };
        let saved = store.save_snapshot(&snapshot);
        let after = apply_snapshot(&self.expected, snapshot);
        self.record_outcome(saved.is_ok(), vec![after]);
    }

    /// Records the outcome of an operation. `states` are the successive states during the operation; the last
    /// one is its result.
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

/// Returns the states after each prefix of the records of the batch.
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
    let is_in_log =
        state.entries.iter().any(|entry| entry.index == snapshot.index && entry.term == snapshot.term);
    state.entries.retain(|entry| is_in_log && entry.index > snapshot.index);
    state.snapshot = Some(snapshot);
    state
}
