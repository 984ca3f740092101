//! The replica of this process: its node of the consensus group, and the state machine that applies the log.

use crate::error::ControlError;
use crate::writer::Writer;
use configuration::ProcessSettings;
use consensus::{
    Entry, Event, Index, Member, Message, Node, NodeId, Options, Output, Payload, Restored, Snapshot, Term,
};
use log_records::{snapshot_to_stored, write_batch, LogChange, LogWrite};
use messages::job::{CommandBatch, SchedulerSnapshot};
use messages::{decode, encode};
use scheduler::state::{State, StateChange};
use std::collections::VecDeque;
use std::sync::Arc;

/// A snapshot is taken once the log has grown by this many bytes since the last one.
const SNAPSHOT_LOG_BYTES: usize = 4 * 1024 * 1024;
/// A snapshot is also taken once the log has grown by this many entries since the last one.
const SNAPSHOT_LOG_ENTRIES: usize = 20_000;

/// An action or a notification for the driver. Effects are queued in the order in which they were decided.
#[derive(Debug)]
pub enum Effect {
    /// An entry is committed and must be applied.
    Committed(Entry),
    /// The state must be replaced by that of a snapshot.
    Restore(Snapshot),
    /// A proposal was not accepted into the log.
    ProposalDropped,
    /// This process leads, and its state is complete.
    BecameLeader {
        /// The term that this process leads.
        term: Term,
    },
    /// This process stepped down.
    SteppedDown,
    /// The known leader has changed, possibly to none.
    LeaderChanged,
    /// The current membership has changed.
    MembershipChanged,
    /// The group has removed this identity.
    Removed,
}

/// Consensus, the state machine and the writer.
///
/// The replica executes the outputs of consensus but does not apply entries by itself. It queues effects, and
/// the driver applies entries one at a time (`apply`), so that the driver can process the consequences of
/// each entry before the next one. `state` is the state after entry `applied_index`. A snapshot contains
/// exactly that state; only one snapshot is written at a time.
pub struct Replica {
    node: Node,
    state: State,
    writer: Writer,
    outputs: Vec<Output>,
    /// Messages to be sent. They are kept apart from the effects, because heartbeats must not queue behind
    /// entries that are being applied.
    messages: Vec<(NodeId, Message)>,
    applied_index: Index,
    snapshot_index: Index,
    is_taking_snapshot: bool,
    bytes_since_snapshot: usize,
    entries_since_snapshot: usize,
}

/// Consensus options from the settings of this deployment.
pub fn options(settings: &ProcessSettings, id: NodeId) -> Options {
    let tolerated_failures = settings.fault_tolerance.machines as usize;
    let founders = settings.seed_nodes.len();
    let mut options = Options::new(id);
    options.target_voters = (2 * tolerated_failures + 1).max(founders);
    options
}

impl Replica {
    /// Starts from the recovered contents of the disk.
    ///
    /// # Errors
    ///
    /// Fails if the stored snapshot cannot be restored.
    pub fn new(options: Options, restored: Restored, writer: Writer, now: u64) -> Result<Self, ControlError> {
        let mut replica = Replica {
            node: Node::new(options, restored.clone(), now, fastrand::u64(..)),
            state: State::new(),
            writer,
            outputs: Vec::new(),
            messages: Vec::new(),
            applied_index: 0,
            snapshot_index: 0,
            is_taking_snapshot: false,
            bytes_since_snapshot: restored.entries.iter().map(Entry::size).sum(),
            entries_since_snapshot: restored.entries.len(),
        };
        if let Some(snapshot) = &restored.snapshot {
            replica.restore(snapshot)?;
        }
        Ok(replica)
    }

    /// The consensus node, for queries.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The replicated state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The leader, if this process knows one that is a member.
    pub fn leader(&self) -> Option<&Member> {
        self.node.membership().member(self.node.leader()?)
    }

    /// Whether this process leads and holds the lease at `now`; only then may it answer from its state.
    pub fn has_lease(&self, now: u64) -> bool {
        self.node.lease_until() > now
    }

    /// Passes an event to consensus and executes its outputs. Effects for the driver are appended to
    /// `effects`.
    pub fn handle(&mut self, now: u64, event: Event, effects: &mut VecDeque<Effect>) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.node.handle(now, event, &mut outputs);
        for output in outputs.drain(..) {
            self.execute(output, effects);
        }
        self.outputs = outputs;
    }

    /// Takes the messages to other processes that were queued since the last call, in order.
    pub fn take_messages(&mut self) -> Vec<(NodeId, Message)> {
        std::mem::take(&mut self.messages)
    }

    /// Proposes the payload of an entry.
    pub fn propose(&mut self, now: u64, payload: Vec<u8>, effects: &mut VecDeque<Effect>) {
        self.handle(now, Event::Propose { payload }, effects);
    }

    /// Records that a snapshot of this process is durable, so that consensus can compact its log.
    pub fn snapshot_taken(&mut self, now: u64, snapshot: Snapshot, effects: &mut VecDeque<Effect>) {
        self.is_taking_snapshot = false;
        self.snapshot_index = self.snapshot_index.max(snapshot.meta.index);
        self.handle(now, Event::SnapshotTaken { snapshot }, effects);
    }

    /// Takes a snapshot if the log has grown enough since the last one.
    pub fn take_snapshot_if_due(&mut self) {
        let is_due = self.bytes_since_snapshot >= SNAPSHOT_LOG_BYTES
            || self.entries_since_snapshot >= SNAPSHOT_LOG_ENTRIES;
        if is_due {
            self.take_snapshot();
        }
    }

    /// Whether a snapshot is being written.
    pub fn is_taking_snapshot(&self) -> bool {
        self.is_taking_snapshot
    }

    /// Index of the last entry covered by the newest durable snapshot.
    pub fn snapshot_index(&self) -> Index {
        self.snapshot_index
    }

    /// Index of the last applied entry.
    pub fn applied_index(&self) -> Index {
        self.applied_index
    }

    /// Takes a snapshot as of the last applied entry, unless one is being written.
    pub fn take_snapshot(&mut self) {
        if self.is_taking_snapshot {
            return;
        }
        let Some(meta) = self.node.snapshot_meta(self.applied_index) else {
            return;
        };
        let data = Arc::new(encode(&self.state.snapshot()));
        self.is_taking_snapshot = true;
        self.bytes_since_snapshot = 0;
        self.entries_since_snapshot = 0;
        self.writer.push(LogWrite::Snapshot(Snapshot { meta, data }));
    }

    fn execute(&mut self, output: Output, effects: &mut VecDeque<Effect>) {
        match output {
            Output::Send { to, message } => self.messages.push((to, message)),
            Output::Persist { ticket, hard_state, truncate_from, entries, snapshot } => {
                let batch = write_batch(hard_state.as_ref(), truncate_from, entries);
                let snapshot = snapshot.as_ref().map(snapshot_to_stored);
                self.writer.push(LogWrite::Change(LogChange { ticket, snapshot, batch }));
            }
            Output::Proposed { .. } => {}
            Output::ProposalDropped => effects.push_back(Effect::ProposalDropped),
            Output::Commit { entries } => effects.extend(entries.into_iter().map(Effect::Committed)),
            Output::Restore { snapshot } => effects.push_back(Effect::Restore(snapshot)),
            Output::LeaderChanged { .. } => effects.push_back(Effect::LeaderChanged),
            Output::BecameLeader { term } => effects.push_back(Effect::BecameLeader { term }),
            Output::SteppedDown => effects.push_back(Effect::SteppedDown),
            Output::MembershipChanged { .. } => effects.push_back(Effect::MembershipChanged),
            Output::Removed => effects.push_back(Effect::Removed),
        }
    }

    /// Applies a committed entry. Returns the batch in the entry, if any, and the changes that it made.
    pub fn apply(&mut self, entry: Entry) -> Option<(CommandBatch, Vec<StateChange>)> {
        self.applied_index = entry.index;
        self.bytes_since_snapshot += entry.size();
        self.entries_since_snapshot += 1;
        let Payload::Command(bytes) = entry.payload else {
            return None;
        };
        match decode::<CommandBatch>(&bytes) {
            Ok(batch) => {
                let changes = self.state.apply(&batch);
                Some((batch, changes))
            }
            Err(error) => {
                // Every replica skips the same bytes, so that all replicas keep the same state.
                log::error!("entry {} of the log: {error}", entry.index);
                None
            }
        }
    }

    /// Replaces the state by that of a snapshot; on an error the state is unchanged.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot cannot be decoded or restored. The process must then end, because its state is
    /// not that of the group.
    pub fn restore(&mut self, snapshot: &Snapshot) -> Result<(), ControlError> {
        let index = snapshot.meta.index;
        self.state = if snapshot.data.is_empty() {
            State::new()
        } else {
            let saved: SchedulerSnapshot = decode(&snapshot.data).map_err(ControlError::Stored)?;
            State::restore(&saved).map_err(|error| ControlError::Snapshot(index, error))?
        };
        self.applied_index = index;
        self.snapshot_index = index;
        self.bytes_since_snapshot = 0;
        self.entries_since_snapshot = 0;
        Ok(())
    }
}
