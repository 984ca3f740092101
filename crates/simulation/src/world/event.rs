//! What can happen in the world.

use data_plane::upstream::UpstreamOutput;
use messages::peer::PeerFrame;
use scheduler::worker::CallOutcome;

use super::calls::WorkerCallId;
use crate::core_process::{CoreFrame, CoreOutput, OperatorReply};
use crate::history::Answer;

/// An event. Processes are named by machine and incarnation: what is for an earlier incarnation is dropped.
#[derive(Debug)]
pub enum Event {
    /// A core process starts.
    CoreStarts { machine: usize, power: u32 },
    /// A core process's timer.
    CoreWakes { machine: usize, incarnation: u32, generation: u64 },
    /// A core process begins a turn.
    TurnBegins { machine: usize, incarnation: u32 },
    /// A core process ends a turn, and what it gives leaves.
    TurnEnds { machine: usize, incarnation: u32, outputs: Vec<CoreOutput> },
    /// A frame between core machines arrives.
    CoreFrame { machine: usize, from: usize, frame: CoreFrame },
    /// A core process learns that a connection broke.
    PeerLost { machine: usize, incarnation: u32, lost: usize },
    /// A core process learns that nothing listens at a machine that it was connected to.
    PeerRefused { machine: usize, incarnation: u32, refused: usize },
    /// A core process is frozen until a time.
    CoreFreezes { machine: usize, until: u64 },
    /// A core machine that was replaced is asked to stop.
    CoreLeaves { machine: usize, incarnation: u32 },
    /// A core machine's disk has finished a write.
    DiskDone { machine: usize, incarnation: u32 },
    /// SIGKILL after the grace of a SIGTERM.
    GraceEnds { machine: usize, incarnation: u32 },
    /// An edge process starts.
    EdgeStarts { edge: usize },
    /// An edge process's timer.
    EdgeWakes { edge: usize, incarnation: u32, generation: u64 },
    /// An edge's attempt to connect arrives at a core machine.
    EdgeConnects { connection: usize },
    /// An edge learns that its connection stands, or not.
    EdgeConnected { connection: usize, stands: bool },
    /// A frame of an edge arrives at a core machine.
    EdgeFrame { connection: usize, frame: PeerFrame },
    /// A frame of a core machine arrives at an edge.
    ToEdge { connection: usize, frame: PeerFrame },
    /// The core's end of a connection learns that it is closed.
    EdgeHungUp { connection: usize },
    /// The edge's end of a connection learns that it is closed.
    CoreHungUp { connection: usize },
    /// The platform asks every edge whether it is ready.
    ReadinessAsked,
    /// A job is due to be handed in.
    JobComes { job: usize },
    /// A client sends a call.
    ClientSends { job: u64, intent: Intent },
    /// A client's call arrives at its edge.
    ClientArrives { call: usize, edge_incarnation: u32 },
    /// An answer arrives at a client.
    ClientAnswered { call: usize, answer: Answer },
    /// A client waits no longer.
    ClientLeaves { call: usize },
    /// A client asks for a count.
    ClientCounts { prefix: String },
    /// A call arrives at a worker.
    CallArrives { call: WorkerCallId },
    /// An answer of a worker arrives at its caller.
    CallAnswered { call: WorkerCallId, outcome: CallOutcome },
    /// Something is due at a worker.
    FleetWakes { at: u64 },
    /// A request for the list arrives at the platform.
    ListAsked { machine: usize, incarnation: u32, term: u64 },
    /// The list, or a refusal, arrives at its reader.
    ListArrives { machine: usize, incarnation: u32, term: u64, version: Option<usize> },
    /// A worker starts a new incarnation.
    WorkerBoots { worker: usize },
    /// A worker leaves for good.
    WorkerLeaves { worker: usize },
    /// The list forgets a worker's incarnation.
    WorkerUnlisted { instance: String },
    /// The operator goes on with an order.
    OperatorSends { order: usize },
    /// An order of the operator arrives at a core machine.
    OperatorArrives { exchange: usize },
    /// An answer arrives at the operator.
    OperatorAnswered { exchange: usize, reply: OperatorReply },
    /// The operator waits no longer for an answer, or its connection was refused.
    OperatorGivesUp { exchange: usize },
    /// The operator reads the configuration back.
    ReadBack,
    /// The operator reads the configuration now and then.
    OperatorQueries,
    /// A fault begins.
    FaultBegins { fault: usize },
    /// What a fault does to single things ends.
    FaultEnds { fault: usize, touched: Vec<usize> },
    /// A machine's power, disk or freeze comes back.
    PartitionEnds,
    /// The world checks for jobs that wait for no reason.
    ChecksIdle,
    /// A core machine loses its power, just after it said something.
    PowerFails { machine: usize, incarnation: u32, wipe: bool, lasts: u64 },
    /// The operator sends the configuration that precedes all traffic.
    FirstConfiguration,
    /// All jobs are asked for.
    FinalQuestions,
    /// The final fault.
    Closing,
}

/// What a client wants next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intent {
    /// Hand the job in.
    Submit,
    /// Ask for its state.
    Read,
    /// Cancel it.
    Cancel,
}

/// Outputs of an edge's way to the leader, gathered.
pub type EdgeOutputs = Vec<UpstreamOutput>;
