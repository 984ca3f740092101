//! Changes of the log that wait are merged into one that leaves the same log.

use log_records::merge_batch;
use quickcheck::{quickcheck, Arbitrary, Gen};
use storage::{HardState, StoredEntry, WriteBatch};

/// What a batch leaves of a log of (index, term), where the first entry has the index 1.
fn apply(log: &mut Vec<u64>, hard_state: &mut HardState, batch: &WriteBatch) {
    if let Some(state) = batch.hard_state {
        *hard_state = state;
    }
    if let Some(from) = batch.truncate_from {
        log.truncate(from as usize - 1);
    }
    for entry in &batch.entries {
        assert_eq!(entry.index, log.len() as u64 + 1, "the batch continues the log");
        log.push(entry.term);
    }
}

/// How a script goes on from a log: how many entries it truncates and adds.
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

/// Turns changes into batches that each continue the log.
fn batches(start: usize, changes: &[Change]) -> Vec<WriteBatch> {
    let mut length = start as u64;
    let mut batches = Vec::new();
    for (term, change) in (2..).zip(changes) {
        let truncate_from = change.truncated.map(|back| length.saturating_sub(u64::from(back)) + 1);
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
    fn one_merged_batch_leaves_the_log_of_all(start: u8, changes: Vec<Change>) -> bool {
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
