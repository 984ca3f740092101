//! Inputs and outputs of the leader: the events it handles and what its driver is to do.

use std::sync::Arc;

use configuration::Instance;
use messages::{job, peer};

use crate::state::StateChange;
use crate::worker::{CallOutcome, WorkerRequest};

/// A call to a worker, unique within a leader's term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId {
    /// The worker, by the number that the leader gave it.
    pub worker: u64,
    /// The call, by the number that the worker's session gave it.
    pub call: u64,
}

/// An event for the leader. A `token` is chosen by the driver and comes back with the reply.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A client's request.
    Client {
        /// Identifies the request in `Output::Reply`.
        token: u64,
        /// The request as it came from the edge.
        request: peer::ClientRequest,
    },
    /// Nobody waits for the reply any longer.
    Abandoned {
        /// The request's token.
        token: u64,
    },
    /// The operator's request to put a configuration in force.
    PutConfiguration {
        /// Identifies the request in `Output::ConfigurationReply`.
        token: u64,
        /// The version that the new one builds on.
        if_match: Option<u64>,
        /// The configuration's text.
        body: Vec<u8>,
    },
    /// The operator asks for the newest configuration.
    ReadConfiguration {
        /// Identifies the request in `Output::ConfigurationReply`.
        token: u64,
    },
    /// A page of the platform's list was read.
    Instances {
        /// The instances of the page.
        instances: Arc<[Instance]>,
        /// When the page was asked for, in nanoseconds of the steady clock: it shows the list as of then or later.
        as_of: u64,
        /// Whether the page differs from the one that this leader got last in its place.
        has_changed: bool,
        /// Whether it is the last page: what no page of this read shows is not listed.
        is_last: bool,
    },
    /// The platform's list could not be read to its end.
    InstancesFailed,
    /// A call to a worker has ended.
    CallFinished {
        /// The call of `Output::Call`.
        call: CallId,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// A batch was committed and applied to the state that is passed along.
    BatchApplied {
        /// What it changed, in order.
        changes: Vec<StateChange>,
        /// The batch itself.
        batch: job::CommandBatch,
    },
    /// A batch was not taken into the log: this process has stepped down.
    ProposalDropped,
    /// Everything that arrived at this machine before `at` was handed in. From the first of them on, time limits for
    /// answers are judged up to the newest `at` only; a driver that never hands it in hands in everything in time.
    ReadUntil {
        /// Nanoseconds of the steady clock.
        at: u64,
    },
    /// Time has passed; given at the latest when `Output::WakeAt` says so.
    Tick {
        /// Milliseconds since 1970.
        time_of_day_ms: u64,
    },
}

/// What the driver is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Propose the batch to the log.
    Propose {
        /// The commands.
        batch: job::CommandBatch,
    },
    /// Reply to a client.
    Reply {
        /// The token of `Input::Client`.
        token: u64,
        /// The reply; its `request_id` is left to the driver.
        reply: peer::ClientReply,
    },
    /// Reply to the operator.
    ConfigurationReply {
        /// The token of the request.
        token: u64,
        /// The reply.
        reply: ConfigurationReply,
    },
    /// Call a worker and report the outcome.
    Call {
        /// Identifies the call in `Input::CallFinished`.
        call: CallId,
        /// The worker's `ip:port`.
        address: String,
        /// The incarnation that is meant.
        instance: String,
        /// What it is asked for.
        request: WorkerRequest,
    },
    /// Nobody waits for this call any longer.
    CancelCall {
        /// The call of `Output::Call`.
        call: CallId,
    },
    /// Read the platform's complete list.
    ReadInstances,
    /// Hand in a `Tick` at this time; replaces earlier ones.
    WakeAt {
        /// Nanoseconds of the steady clock.
        at: u64,
    },
}

/// A reply to the operator, with the status under which it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigurationReply {
    /// 200: in force.
    Accepted,
    /// 412: another version is current.
    Conflict {
        /// What is wrong and what to do.
        text: String,
    },
    /// 400: the configuration cannot be put in force.
    Invalid {
        /// What is wrong and what to do.
        text: String,
    },
    /// 503: nothing is known yet.
    Unavailable {
        /// When to ask again, in milliseconds.
        retry_after_ms: u32,
    },
    /// 200 with the newest configuration.
    Body {
        /// Its version.
        version: u64,
        /// Its text, byte for byte.
        body: Vec<u8>,
    },
}
