//! A simulated disk: writes complete in order, each after a delay. A crash loses the incomplete writes and
//! may leave a part of the current one.

use std::collections::VecDeque;

use consensus::{Entry, HardState, Restored, Snapshot};
use fastrand::Rng;

/// A write that has not completed yet.
#[derive(Clone, Debug)]
pub struct Write {
    pub ticket: Option<u64>,
    pub hard_state: Option<HardState>,
    pub truncate_from: Option<u64>,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
}

#[derive(Clone, Debug, Default)]
pub struct Disk {
    durable: Restored,
    queue: VecDeque<Write>,
    pub empty: bool,
}

impl Disk {
    pub fn new() -> Disk {
        Disk { empty: true, ..Disk::default() }
    }

    pub fn format(&mut self, contents: Restored) {
        self.durable = contents;
        self.empty = false;
    }

    pub fn restore(&self) -> Restored {
        self.durable.clone()
    }

    /// Term and vote that survive a power loss.
    pub fn durable_hard_state(&self) -> HardState {
        self.durable.hard_state
    }

    /// Index of the last entry that survives a power loss.
    pub fn durable_last_index(&self) -> u64 {
        let base = self.durable.snapshot.as_ref().map_or(0, |snapshot| snapshot.meta.index);
        self.durable.entries.last().map_or(base, |last| last.index)
    }

    pub fn push(&mut self, write: Write) {
        self.queue.push_back(write);
    }

    pub fn has_writes(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Completes the oldest pending write.
    pub fn complete(&mut self) -> Option<Write> {
        let write = self.queue.pop_front()?;
        self.apply(&write, write.entries.len());
        Some(write)
    }

    /// Loses power: a random number of the pending writes complete, and the next one may be torn.
    pub fn lose_power(&mut self, rng: &mut Rng) {
        let complete = rng.usize(0..=self.queue.len());
        for _ in 0..complete {
            self.complete();
        }
        if let Some(torn) = self.queue.pop_front() {
            self.tear(torn, rng);
        }
        self.queue.clear();
    }

    /// Loses power before any pending write completes.
    pub fn lose_all_writes(&mut self) {
        self.queue.clear();
    }

    fn tear(&mut self, mut torn: Write, rng: &mut Rng) {
        let parts = rng.usize(0..=4);
        if parts < 1 {
            torn.hard_state = None;
        }
        if parts < 2 {
            torn.truncate_from = None;
        }
        if parts < 3 {
            torn.snapshot = None;
        }
        let entries = if parts < 4 { 0 } else { rng.usize(0..=torn.entries.len()) };
        self.apply(&torn, entries);
    }

    fn apply(&mut self, write: &Write, entries: usize) {
        if let Some(hard_state) = write.hard_state {
            assert!(hard_state.term >= self.durable.hard_state.term, "the durable term falls");
            self.durable.hard_state = hard_state;
        }
        if let Some(from) = write.truncate_from {
            self.durable.entries.retain(|entry| entry.index < from);
        }
        if let Some(snapshot) = &write.snapshot {
            let newest = self.durable.snapshot.as_ref().map_or(0, |newest| newest.meta.index);
            if snapshot.meta.index > newest {
                self.durable.entries.retain(|entry| entry.index > snapshot.meta.index);
                self.durable.snapshot = Some(snapshot.clone());
            }
        }
        for entry in &write.entries[..entries] {
            self.append(entry);
        }
    }

    fn append(&mut self, entry: &Entry) {
        let base = self.durable.snapshot.as_ref().map_or(0, |snapshot| snapshot.meta.index);
        let last = self.durable.entries.last().map_or(base, |last| last.index);
        assert!(
            entry.index == last + 1 || entry.index <= base,
            "entry {} is written after {last}",
            entry.index
        );
        if entry.index > base {
            self.durable.entries.push(entry.clone());
        }
    }
}
