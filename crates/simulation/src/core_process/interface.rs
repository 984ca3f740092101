//! What a core process takes and gives: its settings, events, frames and outputs.

use configuration::Instance;
use consensus::{Member, Message, NodeId};
use messages::peer::{ClientReply, ClientRequest, LeaderNotice};
use scheduler::leader::{CallId, LeaderSettings};
use scheduler::worker::{CallOutcome, WorkerRequest};

/// Settings of a core process.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// Its machine.
    pub machine: usize,
    /// Machines of the first start, if this is the first start of the complete system.
    pub founders: Vec<usize>,
    /// Machines that it may ask for the group.
    pub seeds: Vec<usize>,
    /// Voters the group wants.
    pub target_voters: usize,
    /// What the leader goes by.
    pub leader: LeaderSettings,
    /// How often it takes snapshots.
    pub pacing: Pacing,
}

/// How often a process takes snapshots, and what it keeps of the log.
#[derive(Clone, Copy, Debug)]
pub struct Pacing {
    /// Entries after which a snapshot is due.
    pub snapshot_entries: usize,
    /// Entries that are kept behind a snapshot.
    pub retained_entries: u64,
}

impl Pacing {
    /// Far more often than the control role, so that days meet snapshots.
    pub const FREQUENT: Pacing = Pacing { snapshot_entries: 400, retained_entries: 64 };
    /// As the control role does it.
    pub const USUAL: Pacing = Pacing { snapshot_entries: 20_000, retained_entries: 1_024 };
}

/// Frames that core processes send each other.
#[derive(Clone, Debug)]
pub enum CoreFrame {
    /// A message of consensus.
    Consensus {
        /// The sender.
        from: NodeId,
        /// The receiving identity; another one at the same machine drops it.
        to: NodeId,
        /// The message itself.
        message: Message,
    },
    /// A process asks to join the group.
    Join(Member),
    /// Who leads, in answer to a process that asked.
    Notice(LeaderNotice),
}

/// Something that happened to a process.
#[derive(Debug)]
pub enum CoreEvent {
    /// Time has passed.
    Tick,
    /// A frame of another core machine.
    Frame {
        /// Machine that sent it.
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
    /// The disk has finished its pending write.
    DiskDone,
    /// An edge connected and said who it is.
    EdgeConnected {
        /// The connection of the edge.
        connection: u64,
    },
    /// An edge's connection ended.
    EdgeClosed {
        /// The connection of the edge.
        connection: u64,
    },
    /// A request of a client.
    Request {
        /// The connection of the edge.
        connection: u64,
        /// The request.
        request: ClientRequest,
    },
    /// An edge asks whether this process is there.
    Ping {
        /// The connection of the edge.
        connection: u64,
        /// Number of the ping.
        number: u64,
    },
    /// The operator changes the configuration; `call` names the exchange.
    Put {
        /// Names the exchange, or the call to a worker.
        call: u64,
        /// Version that the change builds on, if one was named.
        if_match: Option<u64>,
        /// The configuration as it was sent.
        body: Vec<u8>,
    },
    /// The operator reads the configuration.
    Get {
        /// Names the exchange, or the call to a worker.
        call: u64,
    },
    /// A call to a worker ended; `term` names the leadership that made it.
    CallFinished {
        /// The leadership that it belongs to.
        term: u64,
        /// Names the exchange, or the call to a worker.
        call: CallId,
        /// How the call ended.
        outcome: CallOutcome,
    },
    /// The platform's list, or `None` if it did not come.
    Instances {
        /// The leadership that it belongs to.
        term: u64,
        /// The instances on the list.
        instances: Option<Vec<Instance>>,
    },
    /// The platform's list has not changed since it was last read.
    InstancesUnchanged {
        /// The leadership that it belongs to.
        term: u64,
    },
    /// SIGTERM.
    Stop,
}

/// What is to be done for a process.
#[derive(Debug)]
pub enum CoreOutput {
    /// Send to another core machine.
    ToCore {
        /// The other machine.
        machine: usize,
        /// The frame.
        frame: CoreFrame,
    },
    /// Notify an edge of the leader.
    Notice {
        /// The connection of the edge.
        connection: u64,
        /// The notice.
        notice: LeaderNotice,
    },
    /// Answer an edge.
    Reply {
        /// The connection of the edge.
        connection: u64,
        /// The answer.
        reply: ClientReply,
    },
    /// Answer an edge's ping.
    Pong {
        /// The connection of the edge.
        connection: u64,
        /// Number of the ping.
        number: u64,
    },
    /// Answer the operator.
    Operator {
        /// Names the exchange, or the call to a worker.
        call: u64,
        /// The answer.
        reply: OperatorReply,
    },
    /// Call a worker.
    Call {
        /// The leadership that it belongs to.
        term: u64,
        /// Names the exchange, or the call to a worker.
        call: CallId,
        /// Address of the worker.
        address: String,
        /// Identity of the worker.
        instance: String,
        /// The request.
        request: WorkerRequest,
    },
    /// Cancel a call.
    CancelCall {
        /// The leadership that it belongs to.
        term: u64,
        /// Names the exchange, or the call to a worker.
        call: CallId,
    },
    /// Read the platform's list.
    ReadInstances {
        /// The leadership that it belongs to.
        term: u64,
    },
    /// The disk begins the pending write.
    DiskBegins,
    /// The disk failed and retries after a backoff.
    DiskRetries,
    /// The identity was removed: the process clears its disk and begins anew.
    Removed,
    /// All outputs are given: the process ends.
    Stopped,
    /// The process cannot go on.
    Failed(String),
}

/// Answers to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorReply {
    /// 200.
    Accepted,
    /// 200 with the configuration.
    Body(Vec<u8>),
    /// 412.
    Conflict,
    /// 400.
    Invalid,
    /// 307 to a machine.
    Redirect(usize),
    /// 503.
    Unavailable,
}
