//! A process that becomes leader after a restart has a long log to apply. Its heartbeats must not be delayed
//! by that.

use consensus::{
    AppendReply, Entry, Event, Member, Membership, Message, Node, NodeId, Options, Payload, Snapshot,
    SnapshotMeta, VoteReply,
};
use control::replica::{Effect, Replica};
use control::writer::{Writer, Written};
use log_records::{entry_to_stored, hard_state_to_stored};
use messages::encode;
use messages::job::SchedulerSnapshot;
use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::Arc;
use storage::{FileDirectory, Store, StoreOptions, WriteBatch};
use tokio::sync::mpsc::{self, UnboundedReceiver};

const OWN: NodeId = 1;
const FOLLOWER: NodeId = 2;
/// Number of entries that become committed at once.
const ENTRIES: u64 = 1_000;

/// A restarted process. The test simulates its peers and its clock.
struct Restarted {
    replica: Replica,
    now: u64,
    effects: VecDeque<Effect>,
    written: UnboundedReceiver<Written>,
    folder: PathBuf,
}

impl Restarted {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("replica-{name}-{}", std::process::id()));
        let directory = FileDirectory::new(&folder).expect("a folder");
        let (mut store, _) = Store::open(directory, StoreOptions::default()).expect("an empty store");
        let member = |id| Member { id, address: String::new(), control: String::new(), voter: true };
        let membership = Membership { members: (OWN..=3).map(member).collect() };
        let mut restored = Node::bootstrap(membership);
        let command = |index| Entry { index, term: 1, payload: Payload::Command(Vec::new()) };
        restored.entries.extend((2..=ENTRIES).map(command));
        let batch = WriteBatch {
            hard_state: Some(hard_state_to_stored(&restored.hard_state)),
            truncate_from: None,
            entries: restored.entries.iter().cloned().map(entry_to_stored).collect(),
        };
        store.write(&batch).expect("a disk with room");
        let (sender, written) = mpsc::unbounded_channel();
        let writer = Writer::start(store, sender).expect("a thread");
        let replica = Replica::new(Options::new(OWN), restored, writer, 0).expect("no snapshot");
        Restarted { replica, now: 0, effects: VecDeque::new(), written, folder }
    }

    fn handle(&mut self, event: Event) {
        self.replica.handle(self.now, event, &mut self.effects);
    }

    fn run_timer(&mut self) {
        self.now = self.now.max(self.replica.node().next_timer());
        self.handle(Event::Tick);
    }

    fn receive(&mut self, message: Message) {
        self.handle(Event::Message { from: FOLLOWER, message });
    }

    fn wait_for_disk(&mut self) {
        match self.written.blocking_recv() {
            Some(Written::Log { ticket }) => self.handle(Event::Persisted { ticket }),
            other => panic!("the write failed: {other:?}"),
        }
    }

    fn win_election(&mut self) {
        self.run_timer();
        let term = self.replica.node().term() + 1;
        self.receive(Message::VoteReply(VoteReply { term, granted: true, pre_vote: true }));
        self.wait_for_disk();
        self.receive(Message::VoteReply(VoteReply { term, granted: true, pre_vote: false }));
        assert!(self.replica.node().is_leader());
        self.wait_for_disk();
    }

    fn acknowledge_all(&mut self) {
        let node = self.replica.node();
        let (term, match_index, leader_clock) = (node.term(), node.last_index(), self.now);
        let reply = AppendReply { term, success: true, match_index, conflict_index: 0, leader_clock };
        self.receive(Message::AppendReply(reply));
    }
}

impl Drop for Restarted {
    fn drop(&mut self) {
        // An error only leaves the directory behind.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn heartbeats_do_not_wait_for_the_application_of_a_long_log() {
    let mut process = Restarted::new("long-log");
    process.win_election();
    process.acknowledge_all();
    let committed = process.effects.iter().filter(|effect| matches!(effect, Effect::Committed(_))).count();
    assert_eq!(committed as u64, ENTRIES + 1, "the complete log and the first entry of the term");
    process.replica.take_messages();
    process.run_timer();
    let messages = process.replica.take_messages();
    for other in [FOLLOWER, 3] {
        let is_heartbeat = |message: &Message| matches!(message, Message::AppendRequest(_));
        assert!(messages.iter().any(|(to, message)| *to == other && is_heartbeat(message)), "{messages:?}");
    }
}

#[test]
fn failed_restore_is_an_error_and_leaves_state_unchanged() {
    let mut process = Restarted::new("snapshot");
    process.win_election();
    process.acknowledge_all();
    let before = encode(&process.replica.state().snapshot());
    let later_format = encode(&SchedulerSnapshot { format: u32::MAX, ..SchedulerSnapshot::default() });
    for data in [vec![0xff; 40], later_format] {
        let meta = SnapshotMeta { index: 5, term: 1, membership: Membership::default() };
        let error = process.replica.restore(&Snapshot { meta, data: Arc::new(data) });
        assert!(error.is_err(), "a process without the group's state must not continue");
        assert_eq!(encode(&process.replica.state().snapshot()), before);
        assert_eq!(process.replica.applied_index(), 0);
    }
}
