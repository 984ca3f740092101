//! Events that tasks and threads send to the driver.

use crate::admin::call::AdminCall;
use crate::metrics::turns::TurnPart;
use crate::platform::error::PlatformError;
use crate::platform::pages::{ListedPage, ReadId};
use crate::transport::outbox::Outbox;
use messages::peer::mod_PeerFrame::OneOfbody;
use process_signals::Signal;
use scheduler::leader::CallId;
use scheduler::worker::CallOutcome;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Identifies a connection between processes; unique for the lifetime of this process.
pub type ConnectionId = u64;
/// First identifier of accepted connections. Connections opened by this process have lower ones.
pub const FIRST_ACCEPTED: ConnectionId = 1 << 32;

/// An event from outside the driver.
pub enum DriverEvent {
    /// Another process connected.
    Accepted {
        /// The new connection.
        connection: ConnectionId,
        /// Queue of the frames to be sent on the connection.
        outbox: Arc<Outbox>,
    },
    /// A frame arrived.
    Frame {
        /// The connection that the frame arrived on.
        connection: ConnectionId,
        /// The frame's content.
        body: OneOfbody,
    },
    /// A connection ended.
    Closed {
        /// The connection.
        connection: ConnectionId,
    },
    /// A new connection was refused at an address where this process was connected before: no process listens
    /// there any more.
    Refused {
        /// The connection.
        connection: ConnectionId,
    },
    /// A call to a worker ended.
    CallFinished {
        /// The generation of `WorkerClient` that made the call: each leadership of this process has its own.
        generation: u64,
        /// The leader's number of the call.
        call: CallId,
        /// The outcome.
        outcome: CallOutcome,
    },
    /// Everything that arrived before this marker was sent has been handed to the driver.
    InputMarker {
        /// When the marker was sent, in nanoseconds of the process's clock.
        at: u64,
    },
    /// A page of the platform's list was read, or could not be read.
    Instances {
        /// The read that the page belongs to.
        read: ReadId,
        /// The page, or the error that ended the read.
        result: Result<ListedPage, PlatformError>,
    },
    /// A call to the operator's API.
    Operator(OperatorCall),
    /// A call to the administrators' API.
    Admin(AdminCall),
    /// A signal from the platform.
    Signal(Signal),
}

impl DriverEvent {
    /// The part of a turn that the handling of this event is counted in.
    pub fn turn_part(&self) -> TurnPart {
        match self {
            DriverEvent::Frame { body: OneOfbody::request(_), .. } => TurnPart::Requests,
            DriverEvent::CallFinished { .. }
            | DriverEvent::Frame { body: OneOfbody::worker_calls(_) | OneOfbody::relay_report(_), .. } => {
                TurnPart::WorkerCalls
            }
            DriverEvent::Instances { .. } => TurnPart::Instances,
            _ => TurnPart::OtherEvents,
        }
    }

    /// The lane in which the event waits for the driver.
    ///
    /// Events with a deadline set by another process, the operator or the platform are urgent. Client
    /// requests and outcomes of calls to workers are ordinary. So is the end of a connection, because it must
    /// follow the requests on that connection.
    pub fn lane(&self) -> Lane {
        match self {
            DriverEvent::Frame { body: OneOfbody::consensus(_), .. } => Lane::Consensus,
            DriverEvent::Frame {
                body: OneOfbody::request(_) | OneOfbody::worker_calls(_) | OneOfbody::relay_report(_),
                ..
            }
            | DriverEvent::Closed { .. }
            | DriverEvent::CallFinished { .. }
            | DriverEvent::InputMarker { .. }
            | DriverEvent::Admin(_) => Lane::Ordinary,
            DriverEvent::Frame { .. }
            | DriverEvent::Accepted { .. }
            | DriverEvent::Refused { .. }
            | DriverEvent::Instances { .. }
            | DriverEvent::Operator(_)
            | DriverEvent::Signal(_) => Lane::Urgent,
        }
    }
}

/// Lanes of the event queue, by priority: each lane is emptied before the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lane {
    /// Consensus messages.
    Consensus,
    /// Other events with a deadline.
    Urgent,
    /// All other events.
    Ordinary,
}

/// A call of the operator, pending until its reply is sent.
#[derive(Debug)]
pub struct OperatorCall {
    /// The request.
    pub request: OperatorRequest,
    /// Where the reply is sent.
    pub reply: oneshot::Sender<OperatorReply>,
}

/// A request of the operator.
#[derive(Debug)]
pub enum OperatorRequest {
    /// Replace the configuration.
    Put {
        /// The version that the change is based on, if given.
        if_match: Option<u64>,
        /// The body as received.
        body: Vec<u8>,
    },
    /// Return the newest configuration.
    Get,
}

/// The reply to the operator.
#[derive(Debug)]
pub enum OperatorReply {
    /// The configuration is committed.
    Accepted,
    /// The newest configuration, exactly as it was sent.
    Body(Vec<u8>),
    /// The change is based on another version than the current one.
    Conflict {
        /// The current version, and what the operator has to do.
        text: String,
    },
    /// The configuration is invalid; the text says why.
    Invalid(String),
    /// Another process leads.
    Redirect {
        /// The leader's `Control` address.
        control: String,
    },
    /// The call had no effect: no leader is known, or the leader cannot confirm that it leads.
    Unavailable,
    /// The call may or may not have taken effect.
    OutcomeUnknown,
}
