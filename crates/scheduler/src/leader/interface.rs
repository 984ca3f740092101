//! Inputs and outputs of the leader: the events that it handles and the actions that its driver must take.

use std::sync::Arc;

use configuration::Instance;
use messages::{job, peer};

use crate::state::StateChange;
use crate::worker::{CallOutcome, WorkerRequest};

/// Identifies a call to a worker; unique within a leader's term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId {
    /// The key that the leader assigned to the worker.
    pub worker: u64,
    /// The number that the worker's session assigned to the call.
    pub call: u64,
}

/// An event for the leader. The driver chooses each `token`, and the reply carries the same token.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A client request.
    Client {
        /// Identifies the request in `Output::Reply`.
        token: u64,
        /// The request as received from the edge.
        request: peer::ClientRequest,
    },
    /// The sender no longer waits for the reply.
    Abandoned {
        /// The token of the request.
        token: u64,
    },
    /// An operator request to activate a configuration.
    PutConfiguration {
        /// Identifies the request in `Output::ConfigurationReply`.
        token: u64,
        /// The version that the new configuration builds on.
        if_match: Option<u64>,
        /// The text of the configuration.
        body: Vec<u8>,
    },
    /// An operator request for the newest configuration.
    ReadConfiguration {
        /// Identifies the request in `Output::ConfigurationReply`.
        token: u64,
    },
    /// A page of the platform's instance list was read.
    Instances {
        /// The instances of the page.
        instances: Arc<[Instance]>,
        /// When the page was requested, in nanoseconds of the monotonic clock. The page shows the list as of
        /// that time or later.
        as_of: u64,
        /// Whether the page differs from the previous page that this leader received at the same position.
        has_changed: bool,
        /// Whether this is the last page. Instances that no page of this read shows are not listed.
        is_last: bool,
    },
    /// A read of the platform's instance list failed before the last page.
    InstancesFailed,
    /// A call to a worker ended.
    CallFinished {
        /// The call of `Output::Call`.
        call: CallId,
        /// The outcome of the call.
        outcome: CallOutcome,
    },
    /// A batch was committed and applied to the state that is passed along.
    BatchApplied {
        /// The changes that the batch made, in order.
        changes: Vec<StateChange>,
        /// The batch.
        batch: job::CommandBatch,
    },
    /// A batch was not appended to the log because this process has stepped down.
    ProposalDropped,
    /// Everything that arrived at this machine before `at` has been passed in. After the first such input,
    /// response timeouts are evaluated only up to the newest `at`. A driver that never sends this input must
    /// pass in everything without delay.
    ReadUntil {
        /// Nanoseconds of the monotonic clock.
        at: u64,
    },
    /// Time has passed. Must be passed in no later than `Output::WakeAt` requests.
    Tick {
        /// Milliseconds since 1970.
        time_of_day_ms: u64,
    },
}

/// An action for the driver.
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
        /// The reply. The driver fills in its `request_id`.
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
        /// The instance ID of the incarnation that the call is meant for.
        instance: String,
        /// The request to the worker.
        request: WorkerRequest,
    },
    /// Cancel a call whose outcome is no longer needed.
    CancelCall {
        /// The call of `Output::Call`.
        call: CallId,
    },
    /// Read the platform's complete instance list.
    ReadInstances,
    /// Pass in a `Tick` at this time. Replaces earlier wake-ups.
    WakeAt {
        /// Nanoseconds of the monotonic clock.
        at: u64,
    },
}

/// A reply to the operator and the HTTP status that it is sent with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigurationReply {
    /// 200: the configuration is active.
    Accepted,
    /// 412: another version is current.
    Conflict {
        /// What is wrong and how to correct it.
        text: String,
    },
    /// 400: the configuration cannot be activated.
    Invalid {
        /// What is wrong and how to correct it.
        text: String,
    },
    /// 503: no configuration is known, or this process has no lease to answer under.
    Unavailable {
        /// Retry delay, in milliseconds.
        retry_after_ms: u32,
    },
    /// 200 with the newest configuration.
    Body {
        /// The version of the configuration.
        version: u64,
        /// The text of the configuration, byte for byte.
        body: Vec<u8>,
    },
}
