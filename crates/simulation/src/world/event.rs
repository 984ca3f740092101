//! Events of the simulation.

use data_plane::upstream::UpstreamOutput;
use messages::peer::PeerFrame;
use scheduler::worker::CallOutcome;

use super::calls::WorkerCallId;
use crate::core_process::{CoreFrame, CoreOutput, OperatorReply};
use crate::history::Answer;

/// An event. It names a process by machine and incarnation; an event for an earlier incarnation is dropped.
#[derive(Debug)]
pub enum Event {
    /// A core process starts.
    CoreStarts { machine: usize, power: u32 },
    /// A timer of a core process expires.
    CoreWakes { machine: usize, incarnation: u32, generation: u64 },
    /// A core process begins a turn.
    TurnBegins { machine: usize, incarnation: u32 },
    /// A core process ends a turn and its outputs are sent.
    TurnEnds { machine: usize, incarnation: u32, outputs: Vec<CoreOutput> },
    /// A frame between core machines arrives.
    CoreFrame { machine: usize, from: usize, frame: CoreFrame },
    /// A core process is notified that a connection broke.
    PeerLost { machine: usize, incarnation: u32, lost: usize },
    /// A core process is notified that nothing listens at a machine to which it was connected.
    PeerRefused { machine: usize, incarnation: u32, refused: usize },
    /// A core process freezes until the given time.
    CoreFreezes { machine: usize, until: u64 },
    /// A replaced core machine is asked to stop.
    CoreLeaves { machine: usize, incarnation: u32 },
    /// A core machine's disk finishes a write.
    DiskDone { machine: usize, incarnation: u32 },
    /// The grace period after SIGTERM ends; the process gets SIGKILL.
    GraceEnds { machine: usize, incarnation: u32 },
    /// An edge process starts.
    EdgeStarts { edge: usize },
    /// A timer of an edge process expires.
    EdgeWakes { edge: usize, incarnation: u32, generation: u64 },
    /// An edge's attempt to connect arrives at a core machine.
    EdgeConnects { connection: usize },
    /// An edge is notified whether its connection was established (`stands`).
    EdgeConnected { connection: usize, stands: bool },
    /// A frame from an edge arrives at a core machine.
    EdgeFrame { connection: usize, frame: PeerFrame },
    /// A frame from a core machine arrives at an edge.
    ToEdge { connection: usize, frame: PeerFrame },
    /// The edge is notified that its connection is closed.
    EdgeHungUp { connection: usize },
    /// The core machine is notified that an edge's connection is closed.
    CoreHungUp { connection: usize },
    /// The platform probes the readiness of every edge.
    ReadinessAsked,
    /// A job is due for submission.
    JobComes { job: usize },
    /// A client sends a call.
    ClientSends { job: u64, intent: Intent },
    /// A client's call arrives at its edge.
    ClientArrives { call: usize, edge_incarnation: u32 },
    /// An answer arrives at a client.
    ClientAnswered { call: usize, answer: Answer },
    /// A client stops waiting for an answer.
    ClientLeaves { call: usize },
    /// A client asks for a queue's number of pending jobs.
    ClientCounts { prefix: String },
    /// A call of the leader arrives at a worker.
    CallArrives { call: WorkerCallId },
    /// A worker's answer arrives at the caller.
    CallAnswered { call: WorkerCallId, outcome: CallOutcome },
    /// A timer of a worker expires.
    FleetWakes { at: u64 },
    /// A read of the worker list arrives at the platform.
    ListAsked { machine: usize, incarnation: u32, term: u64 },
    /// The worker list (`version`), or a refusal (`None`), arrives at the reader.
    ListArrives { machine: usize, incarnation: u32, term: u64, version: Option<usize> },
    /// A worker starts a new incarnation.
    WorkerBoots { worker: usize },
    /// A worker shuts down for good.
    WorkerLeaves { worker: usize },
    /// The platform removes a worker's incarnation from its list.
    WorkerUnlisted { instance: String },
    /// The operator sends a configuration change, for the first time or again.
    OperatorSends { order: usize },
    /// A request of the operator arrives at a core machine.
    OperatorArrives { exchange: usize },
    /// An answer arrives at the operator.
    OperatorAnswered { exchange: usize, reply: OperatorReply },
    /// The operator's request timed out, or its connection was refused.
    OperatorGivesUp { exchange: usize },
    /// The operator reads the configuration back at the end of the day.
    ReadBack,
    /// The operator's periodic read of the configuration.
    OperatorQueries,
    /// A fault begins.
    FaultBegins { fault: usize },
    /// The effect of a fault on the listed machines or workers ends.
    FaultEnds { fault: usize, touched: Vec<usize> },
    /// The time of a partition is over.
    PartitionEnds,
    /// The world checks for jobs that stay idle without a reason.
    ChecksIdle,
    /// A core machine loses power just after an acknowledgement.
    PowerFails { machine: usize, incarnation: u32, wipe: bool, lasts: u64 },
    /// The operator sends the initial configuration, before all traffic.
    FirstConfiguration,
    /// Clients read the states of all accepted jobs.
    FinalQuestions,
    /// The final fault is armed.
    Closing,
}

/// What a client does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intent {
    /// Submit the job.
    Submit,
    /// Read the job's state.
    Read,
    /// Cancel the job.
    Cancel,
}

/// Outputs of an edge's upstream.
pub type EdgeOutputs = Vec<UpstreamOutput>;
