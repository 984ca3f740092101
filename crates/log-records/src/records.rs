//! Conversion of members, entries, snapshots and hard states between `consensus`, messages and `storage`.

use consensus::{Entry, HardState, Index, Member, Membership, Payload, Restored, Snapshot, SnapshotMeta};
use messages::peer::{self, EntryKind};
use messages::{decode, encode, FrameError};
use storage::{Recovered, StoredEntry, StoredSnapshot, WriteBatch};

/// Converts a member to a message.
pub fn member_to_wire(member: &Member) -> peer::Member {
    peer::Member {
        id: member.id,
        address: member.address.clone(),
        control: member.control.clone(),
        voter: member.voter,
    }
}

/// Converts a message to a member.
pub fn member_from_wire(member: peer::Member) -> Member {
    Member { id: member.id, address: member.address, control: member.control, voter: member.voter }
}

/// Converts a membership to a message.
pub fn membership_to_wire(membership: &Membership) -> peer::Membership {
    peer::Membership { members: membership.members.iter().map(member_to_wire).collect() }
}

/// Converts a message to a membership.
pub fn membership_from_wire(membership: peer::Membership) -> Membership {
    Membership { members: membership.members.into_iter().map(member_from_wire).collect() }
}

/// Encodes the payload of an entry as a kind and bytes.
pub fn payload_to_bytes(payload: Payload) -> (EntryKind, Vec<u8>) {
    match payload {
        Payload::Noop => (EntryKind::NOOP, Vec::new()),
        Payload::Command(bytes) => (EntryKind::COMMAND, bytes),
        Payload::Membership(membership) => (EntryKind::MEMBERSHIP, encode(&membership_to_wire(&membership))),
    }
}

/// Decodes the payload of an entry from its kind and bytes.
///
/// # Errors
///
/// [`FrameError::Malformed`] if the bytes of a membership entry are not a valid message.
pub fn payload_from_bytes(kind: EntryKind, bytes: Vec<u8>) -> Result<Payload, FrameError> {
    Ok(match kind {
        EntryKind::NOOP => Payload::Noop,
        EntryKind::COMMAND => Payload::Command(bytes),
        EntryKind::MEMBERSHIP => Payload::Membership(membership_from_wire(decode(&bytes)?)),
    })
}

/// Converts an entry to a record of the store.
pub fn entry_to_stored(entry: Entry) -> StoredEntry {
    let (kind, payload) = payload_to_bytes(entry.payload);
    StoredEntry { index: entry.index, term: entry.term, kind: kind as u8, payload }
}

fn entry_from_stored(entry: StoredEntry) -> Result<Entry, FrameError> {
    let kind = EntryKind::from(i32::from(entry.kind));
    let payload = payload_from_bytes(kind, entry.payload)?;
    Ok(Entry { index: entry.index, term: entry.term, payload })
}

/// Converts a snapshot to a record of the store.
pub fn snapshot_to_stored(snapshot: &Snapshot) -> StoredSnapshot {
    StoredSnapshot {
        index: snapshot.meta.index,
        term: snapshot.meta.term,
        membership: encode(&membership_to_wire(&snapshot.meta.membership)),
        data: snapshot.data.clone(),
    }
}

fn snapshot_from_stored(snapshot: StoredSnapshot) -> Result<Snapshot, FrameError> {
    let membership = membership_from_wire(decode(&snapshot.membership)?);
    let meta = SnapshotMeta { index: snapshot.index, term: snapshot.term, membership };
    Ok(Snapshot { meta, data: snapshot.data })
}

/// Converts a hard state to a record of the store.
pub fn hard_state_to_stored(state: &HardState) -> storage::HardState {
    storage::HardState { term: state.term, vote: state.vote }
}

/// Converts the state that the store recovered to the initial state of consensus.
///
/// # Errors
///
/// [`FrameError::Malformed`] if a membership in a record is not a valid message.
pub fn restored_from_stored(recovered: Recovered) -> Result<Restored, FrameError> {
    let entries = recovered.entries.into_iter().map(entry_from_stored).collect::<Result<_, _>>()?;
    Ok(Restored {
        hard_state: HardState { term: recovered.hard_state.term, vote: recovered.hard_state.vote },
        snapshot: recovered.snapshot.map(snapshot_from_stored).transpose()?,
        entries,
    })
}

/// Converts a change of the log to a batch of the store.
pub fn write_batch(
    hard_state: Option<&HardState>,
    truncate_from: Option<Index>,
    entries: Vec<Entry>,
) -> WriteBatch {
    WriteBatch {
        hard_state: hard_state.map(hard_state_to_stored),
        truncate_from,
        entries: entries.into_iter().map(entry_to_stored).collect(),
    }
}
