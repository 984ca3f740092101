//! Merging pending batches leaves the same log as writing them one by one.

use log_records::merge_batch;
use quickcheck::{quickcheck, Arbitrary, Gen};
use storage::{HardState, StoredEntry, WriteBatch};

/// Applies a batch to a log. The log is a list of terms; the first entry has the index 1.
fn apply(log: &mut Vec<u64>, hard_state: &mut HardState, batch: &WriteBatch) {
    if let Some(state) = batch.hard_state {
        *hard_state = state;
    }
    if let Some(from) = batch.truncate_from {
        log.truncate(from as usize - 1);
    }
    for entry in &batch.entries {
        assert_eq!(entry.index, log.len() as u64 + 1, "the batch does not continue the log");
        log.push(entry.term);
    }
}

/// A random change of the log: the number of entries to remove from its end and to add, and whether to vote.
#[derive(Debug, Clone)]
struct Change {
    truncated: Option<u8>,
    added: u8,
    votes: bool,
}

impl Arbitrary for Change {
    fn arbitrary(generator: &mut Gen) -> Self {
        let truncated = bool::arbitrary(generator).then(|| u8::arbitrary(generator) % 6);
        Change { truncated, added: u8::arbitrary(generator) % 4, votes: bool::arbitrary(generator) }
    }
}

/// Converts changes to batches, each of which continues the log of `start` entries.
fn batches(start: usize, changes: &[Change]) -> Vec<WriteBatch> {
    let mut length = start as u64;
    let mut batches = Vec::new();
    for (term, change) in (2..).zip(changes) {
        let truncate_from = change.truncated.map(|count| length.saturating_sub(u64::from(count)) + 1);
        if let Some(from) = truncate_from {
            length = length.min(from - 1);
        }
        let indexes = length + 1..=length + u64::from(change.added);
        let entries = indexes.map(|index| StoredEntry { index, term, kind: 0, payload: Vec::new() });
        length += u64::from(change.added);
        let hard_state = change.votes.then_some(HardState { term, vote: Some(term) });
        batches.push(WriteBatch { hard_state, truncate_from, entries: entries.collect() });
    }
    batches
}

quickcheck! {
    fn merged_batch_leaves_same_log_as_single_batches(start: u8, changes: Vec<Change>) -> bool {
        let start = usize::from(start % 8);
        let batches = batches(start, &changes);
        let (mut expected, mut expected_state) = (vec![1; start], HardState::default());
        for batch in &batches {
            apply(&mut expected, &mut expected_state, batch);
        }
        let mut merged = WriteBatch::default();
        for batch in batches {
            merge_batch(&mut merged, batch);
        }
        let (mut log, mut state) = (vec![1; start], HardState::default());
        apply(&mut log, &mut state, &merged);
        (log, state) == (expected, expected_state)
    }
}
