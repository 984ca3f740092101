//! One process of the control role: consensus, storage, state and leader, connected as in the control role's
//! driver, but without threads and sockets.

mod clients;
mod disk;
mod effects;
pub mod identity;
mod interface;
mod joining;
mod leading;
mod peers;
mod replicated_state;
mod turns;
mod writer;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use configuration::Instance;
use consensus::{Event, Node, NodeId, Options, Output};
use fastrand::Rng;
use scheduler::leader::{self, Input, Leader, LeaderLoad, LeaderSettings};
use scheduler::state::State;
use storage::model::ModelDirectory;
use storage::StorageError;

pub use interface::{CoreEvent, CoreFrame, CoreOutput, CoreSettings, OperatorReply, SnapshotPolicy};
pub use turns::MAX_EVENTS_PER_TURN;

use clients::Pending;
use effects::Effect;
use joining::Joining;
use writer::Writer;

use crate::processor::TurnWork;

/// A core process. Times are nanoseconds of its machine's monotonic clock.
pub struct CoreProcess {
    machine: usize,
    now: u64,
    time_of_day_ms: u64,
    node: Node,
    state: State,
    writer: Writer,
    outputs: Vec<Output>,
    effects: VecDeque<Effect>,
    applied_index: u64,
    snapshot_under_way: bool,
    entries_since_snapshot: usize,
    snapshot_policy: SnapshotPolicy,
    /// Number of committed entries that this turn may still apply.
    apply_budget: usize,
    /// Work of this turn so far.
    work: TurnWork,
    leader: Option<Leader>,
    leader_settings: LeaderSettings,
    leader_term: u64,
    leader_outputs: Vec<leader::Output>,
    /// When the platform's worker list was last asked for.
    list_asked_at: u64,
    /// The worker list that was received last.
    listed: Arc<[Instance]>,
    wake_at: u64,
    announced_lease: u64,
    addresses: BTreeMap<NodeId, usize>,
    edges: Vec<u64>,
    pending: BTreeMap<u64, Pending>,
    next_token: u64,
    joining: Joining,
    stopping: bool,
    rng: Rng,
    out: Vec<CoreOutput>,
}

impl CoreProcess {
    /// Opens the disk and starts the process.
    pub fn start(
        settings: &CoreSettings,
        directory: &ModelDirectory,
        now: u64,
        mut rng: Rng,
    ) -> Result<CoreProcess, StorageError> {
        let opened = identity::open(directory, settings.machine, &settings.founders, &mut rng)?;
        let mut options = Options::new(opened.id);
        options.target_voters = settings.target_voters;
        options.retained_entries = settings.snapshot_policy.retained_entries;
        let entries = opened.restored.entries.len();
        let snapshot = opened.restored.snapshot.clone();
        let node = Node::new(options, opened.restored, now, rng.u64(..));
        let mut process = CoreProcess {
            machine: settings.machine,
            now,
            time_of_day_ms: 0,
            node,
            state: State::new(),
            writer: Writer::new(opened.store, directory.clone()),
            outputs: Vec::new(),
            effects: VecDeque::new(),
            applied_index: 0,
            snapshot_under_way: false,
            entries_since_snapshot: entries,
            snapshot_policy: settings.snapshot_policy,
            apply_budget: usize::MAX,
            work: TurnWork::default(),
            leader: None,
            leader_settings: settings.leader.clone(),
            leader_term: 0,
            leader_outputs: Vec::new(),
            list_asked_at: 0,
            listed: Arc::new([]),
            wake_at: u64::MAX,
            announced_lease: 0,
            addresses: BTreeMap::new(),
            edges: Vec::new(),
            pending: BTreeMap::new(),
            next_token: 0,
            joining: Joining::new(opened.id, settings.machine, &settings.seeds, now),
            stopping: false,
            rng,
            out: Vec::new(),
        };
        if let Some(snapshot) = &snapshot {
            process.restore(snapshot);
        }
        process.update_addresses();
        Ok(process)
    }

    /// The consensus node.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The replicated state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether this process leads and its state is complete.
    pub fn is_leading(&self) -> bool {
        self.leader.is_some()
    }

    /// Load of this process as leader, including its backlog; `None` if it does not lead.
    pub fn load_report(&self) -> Option<LeaderLoad> {
        self.leader.as_ref().map(|leader| leader.load_report(self.now))
    }

    /// Whether this process holds a leader lease at a time of its machine's monotonic clock.
    pub fn holds_lease(&self, now: u64) -> bool {
        self.node.lease_until() > now
    }

    /// Interrupts the disk's pending write after the given number of disk operations.
    pub fn halt_disk(&mut self, operations: u64) {
        self.writer.halt(operations);
    }

    /// Latest time at which the next `CoreEvent::Tick` is due.
    pub fn next_timer(&self) -> u64 {
        if !self.effects.is_empty() {
            return self.now;
        }
        let knows_leader = self.node.leader().is_some();
        let joining = self.joining.next_timer(self.node.is_member(), knows_leader);
        let mut next = self.node.next_timer().min(joining);
        if self.leader.is_some() {
            next = next.min(self.wake_at);
        }
        next
    }

    /// Handles an event and everything that follows from it.
    pub fn handle(&mut self, now: u64, time_of_day_ms: u64, event: CoreEvent, out: &mut Vec<CoreOutput>) {
        self.now = self.now.max(now);
        self.time_of_day_ms = time_of_day_ms;
        self.apply_budget = usize::MAX;
        self.handle_event(event);
        self.finish_turn();
        out.append(&mut self.out);
    }

    /// Handles due timers and everything that follows.
    fn finish_turn(&mut self) {
        self.tick();
        self.run_until_idle();
        self.take_snapshot_if_due();
        if self.stopping && !self.node.is_leader() && self.pending.is_empty() {
            self.out.push(CoreOutput::Stopped);
        }
    }

    fn handle_event(&mut self, event: CoreEvent) {
        match event {
            CoreEvent::Tick => {}
            CoreEvent::Frame { from, frame } => self.handle_frame(from, frame),
            CoreEvent::PeerLost { machine } => self.peer_lost(machine),
            CoreEvent::PeerRefused { machine } => self.peer_refused(machine),
            CoreEvent::DiskDone => self.disk_done(),
            CoreEvent::EdgeConnected { connection } => self.edge_connected(connection),
            CoreEvent::EdgeClosed { connection } => self.edge_closed(connection),
            CoreEvent::Request { connection, request } => self.handle_request(connection, request),
            CoreEvent::Ping { connection, number } => self.out.push(CoreOutput::Pong { connection, number }),
            CoreEvent::Put { call, if_match, body } => self.handle_put(call, if_match, body),
            CoreEvent::Get { call } => self.handle_get(call),
            CoreEvent::CallFinished { term, call, outcome } => {
                if term == self.leader_term {
                    self.notify_leader(Input::CallFinished { call, outcome });
                }
            }
            CoreEvent::Instances { term, instances } => {
                if term == self.leader_term {
                    match instances {
                        Some(instances) => {
                            self.listed = instances.into();
                            self.list_arrived(true);
                        }
                        None => self.notify_leader(Input::InstancesFailed),
                    }
                }
            }
            CoreEvent::InstancesUnchanged { term } => {
                if term == self.leader_term {
                    self.list_arrived(false);
                }
            }
            CoreEvent::Stop => self.stop(),
        }
    }

    fn stop(&mut self) {
        self.stopping = true;
        self.node_event(Event::Transfer);
    }

    fn tick(&mut self) {
        if self.node.next_timer() <= self.now {
            self.node_event(Event::Tick);
        }
        if self.wake_at <= self.now {
            self.wake_leader();
        }
        let knows_leader = self.node.leader().is_some();
        if self.joining.poll(self.now, self.node.is_member(), knows_leader) {
            let own = identity::member(self.machine, self.node.id(), false);
            let members = self.node.membership().members.iter();
            let mut asked: Vec<usize> =
                members.filter_map(|member| identity::machine_at(&member.address)).collect();
            asked.extend_from_slice(self.joining.contacts());
            asked.sort_unstable();
            asked.dedup();
            for machine in asked.into_iter().filter(|machine| *machine != self.machine) {
                self.out.push(CoreOutput::ToCore { machine, frame: CoreFrame::Join(own.clone()) });
            }
        }
    }
}
