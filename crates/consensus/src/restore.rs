//! Builds the in-memory log from the state restored from disk.

use crate::error::RestoredError;
use crate::log::Log;
use crate::memberships::Memberships;
use crate::types::{Entry, Index, Payload, Restored};

/// Checks that the restored entries form a valid log. [`crate::Node::new`] ignores entries that do not.
///
/// # Errors
///
/// Returns the first entry that does not continue the log before it.
pub fn check_restored(restored: &Restored) -> Result<(), RestoredError> {
    let mut previous: Option<&Entry> = None;
    let base = restored.snapshot.as_ref().map_or(0, |snapshot| snapshot.meta.index);
    for entry in &restored.entries {
        let expected = previous.map_or(base + 1, |previous| previous.index + 1);
        let may_begin_earlier = previous.is_none() && entry.index <= expected;
        if entry.index != expected && !may_begin_earlier && entry.index != base + 1 {
            return Err(RestoredError::Gap(expected, entry.index));
        }
        if previous.is_some_and(|previous| previous.term > entry.term) {
            return Err(RestoredError::TermDecreases(entry.index));
        }
        previous = Some(entry);
    }
    Ok(())
}

/// Returns the in-memory log, its memberships, and the index up to which entries are known to be committed.
pub(crate) fn load_log(restored: &Restored) -> (Log, Memberships, Index) {
    let meta = restored.snapshot.as_ref().map(|snapshot| snapshot.meta.clone()).unwrap_or_default();
    let at_base = restored.entries.iter().find(|entry| entry.index == meta.index);
    let conflicts_with_snapshot = at_base.is_some_and(|entry| entry.term != meta.term);
    let mut log = Log::new(meta.index, meta.term);
    let mut memberships = Memberships::new(meta.index, meta.membership);
    if conflicts_with_snapshot {
        return (log, memberships, meta.index);
    }
    for entry in restored.entries.iter().filter(|entry| entry.index > meta.index) {
        if entry.index != log.last_index() + 1 || entry.term < log.last_term() {
            break;
        }
        if let Payload::Membership(membership) = &entry.payload {
            memberships.push(entry.index, membership.clone());
        }
        log.push(entry.clone());
    }
    (log, memberships, meta.index)
}
