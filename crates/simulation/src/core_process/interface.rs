//! Interface of a core process: settings, events, frames and outputs.

use configuration::Instance;
use consensus::{Member, Message, NodeId};
use messages::peer::{ClientReply, ClientRequest, LeaderNotice};
use scheduler::leader::{CallId, LeaderSettings};
use scheduler::worker::{CallOutcome, WorkerRequest};

/// Settings of a core process.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// The machine that the process runs on.
    pub machine: usize,
    /// Machines of the first start if this is the first start of the whole system; otherwise empty.
    pub founders: Vec<usize>,
    /// Machines that the process may ask to join the group.
    pub seeds: Vec<usize>,
    /// Target number of voters of the group.
    pub target_voters: usize,
    /// Settings of the leader.
    pub leader: LeaderSettings,
    /// When snapshots are taken and how much of the log is kept.
    pub snapshot_policy: SnapshotPolicy,
}

/// When a process takes snapshots, and how much of the log it keeps.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotPolicy {
    /// Number of entries after which a snapshot is taken.
    pub snapshot_entries: usize,
    /// Number of entries that are kept before a snapshot.
    pub retained_entries: u64,
}

impl SnapshotPolicy {
    /// Snapshots far more often than in the control role, so that simulated days include some.
    pub const FREQUENT: SnapshotPolicy = SnapshotPolicy { snapshot_entries: 400, retained_entries: 64 };
    /// The settings of the control role.
    pub const USUAL: SnapshotPolicy = SnapshotPolicy { snapshot_entries: 20_000, retained_entries: 1_024 };
}

/// Frames that core processes send each other.
#[derive(Clone, Debug)]
pub enum CoreFrame {
    /// A consensus message.
    Consensus {
        /// The sender's identity.
        from: NodeId,
        /// The receiver's identity; a process with another identity on the same machine drops the message.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// A process asks to join the group.
    Join(Member),
    /// The current leader and members, in answer to a request to join.
    Notice(LeaderNotice),
}

/// An event for a process.
#[derive(Debug)]
pub enum CoreEvent {
    /// Time has passed.
    Tick,
    /// A frame from another core machine arrived.
    Frame {
        /// The machine that sent the frame.
        from: usize,
        /// The frame.
        frame: CoreFrame,
    },
    /// The connection to another core machine broke.
    PeerLost {
        /// The other machine.
        machine: usize,
    },
    /// Nothing listens at another core machine.
    PeerRefused {
        /// The other machine.
        machine: usize,
    },
    /// The disk finished its pending write.
    DiskDone,
    /// An edge connected and identified itself.
    EdgeConnected {
        /// The edge's connection.
        connection: u64,
    },
    /// An edge's connection was closed.
    EdgeClosed {
        /// The edge's connection.
        connection: u64,
    },
    /// A client's request arrived.
    Request {
        /// The edge's connection.
        connection: u64,
        /// The request.
        request: ClientRequest,
    },
    /// An edge checks whether this process responds.
    Ping {
        /// The edge's connection.
        connection: u64,
        /// Number of the ping.
        number: u64,
    },
    /// The operator changes the configuration.
    Put {
        /// Identifies the operator's exchange.
        call: u64,
        /// The version that the change is based on, if given.
        if_match: Option<u64>,
        /// The configuration as sent.
        body: Vec<u8>,
    },
    /// The operator reads the configuration.
    Get {
        /// Identifies the operator's exchange.
        call: u64,
    },
    /// A call to a worker ended.
    CallFinished {
        /// The leadership term that made the call.
        term: u64,
        /// Identifies the call to the worker.
        call: CallId,
        /// How the call ended.
        outcome: CallOutcome,
    },
    /// The platform's worker list was read.
    Instances {
        /// The leadership term that asked for the list.
        term: u64,
        /// The instances on the list; `None` if the read failed.
        instances: Option<Vec<Instance>>,
    },
    /// The platform's worker list has not changed since the last read.
    InstancesUnchanged {
        /// The leadership term that asked for the list.
        term: u64,
    },
    /// The process got SIGTERM.
    Stop,
}

/// An action that a process requests from its host.
#[derive(Debug)]
pub enum CoreOutput {
    /// Send a frame to another core machine.
    ToCore {
        /// The other machine.
        machine: usize,
        /// The frame.
        frame: CoreFrame,
    },
    /// Notify an edge of the current leader.
    Notice {
        /// The edge's connection.
        connection: u64,
        /// The notice.
        notice: LeaderNotice,
    },
    /// Answer a client's request.
    Reply {
        /// The edge's connection.
        connection: u64,
        /// The answer.
        reply: ClientReply,
    },
    /// Answer an edge's ping.
    Pong {
        /// The edge's connection.
        connection: u64,
        /// Number of the ping.
        number: u64,
    },
    /// Answer the operator.
    Operator {
        /// Identifies the operator's exchange.
        call: u64,
        /// The answer.
        reply: OperatorReply,
    },
    /// Call a worker.
    Call {
        /// The leadership term that makes the call.
        term: u64,
        /// Identifies the call to the worker.
        call: CallId,
        /// The worker's address.
        address: String,
        /// The worker's incarnation.
        instance: String,
        /// The request.
        request: WorkerRequest,
    },
    /// Cancel a call to a worker.
    CancelCall {
        /// The leadership term that made the call.
        term: u64,
        /// Identifies the call to the worker.
        call: CallId,
    },
    /// Read the platform's worker list.
    ReadInstances {
        /// The leadership term that asks for the list.
        term: u64,
    },
    /// Start the pending disk write.
    DiskBegins,
    /// The disk failed; retry the write after a backoff.
    DiskRetries,
    /// The identity was removed from the group: clear the disk and start again.
    Removed,
    /// All outputs were given: end the process.
    Stopped,
    /// The process failed for the given reason.
    Failed(String),
}

/// Answers to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorReply {
    /// Status 200: the change was accepted.
    Accepted,
    /// Status 200 with the configuration.
    Body(Vec<u8>),
    /// Status 412: the change is based on another version.
    Conflict,
    /// Status 400: the configuration is invalid.
    Invalid,
    /// Status 307 to the given core machine.
    Redirect(usize),
    /// Status 503: the leader is not known or not ready.
    Unavailable,
}
