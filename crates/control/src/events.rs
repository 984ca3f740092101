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

/// Names a connection between processes; unique for the lifetime of this process.
pub type ConnectionId = u64;
/// Connections from here on were accepted; those below were opened by this process.
pub const FIRST_ACCEPTED: ConnectionId = 1 << 32;

/// Something that happened outside the driver.
pub enum DriverEvent {
    /// Another process connected.
    Accepted {
        /// The new connection.
        connection: ConnectionId,
        /// Queue of the frames to send on it.
        outbox: Arc<Outbox>,
    },
    /// A frame arrived.
    Frame {
        /// The connection it arrived on.
        connection: ConnectionId,
        /// Its content.
        body: OneOfbody,
    },
    /// A connection ended.
    Closed {
        /// The connection.
        connection: ConnectionId,
    },
    /// Where this process was connected, nothing listens any more.
    Refused {
        /// The connection.
        connection: ConnectionId,
    },
    /// A call to a worker ended.
    CallFinished {
        /// The generation of `WorkerClient` that made it: one for each leadership of this process.
        generation: u64,
        /// The leader's number of the call.
        call: CallId,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// Everything that arrived before this marker set out has been handed to the driver.
    InputMarker {
        /// When it set out, in nanoseconds of the process's clock.
        at: u64,
    },
    /// A page of the platform's list was read, or could not be read.
    Instances {
        /// The read that it belongs to.
        read: ReadId,
        /// The page, or why the read ended.
        result: Result<ListedPage, PlatformError>,
    },
    /// A call of the operator.
    Operator(OperatorCall),
    /// A call of an administrator.
    Admin(AdminCall),
    /// A signal of the platform.
    Signal(Signal),
}

impl DriverEvent {
    /// The part of a turn that handles the event.
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
    /// What keeps a time limit of another process, of the operator or of the platform is urgent. Requests of clients and
    /// outcomes of calls to workers are ordinary, and so is the end of a connection, which follows the requests on it.
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

/// Where an event waits for the driver: a lane is emptied before the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lane {
    /// Messages of consensus.
    Consensus,
    /// Other events with a time limit.
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
        /// The version that the change builds on, if given.
        if_match: Option<u64>,
        /// The body as sent.
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
    /// The newest configuration, as it was sent.
    Body(Vec<u8>),
    /// Another version is in force.
    Conflict {
        /// Which one, and what the operator has to do.
        text: String,
    },
    /// The configuration is invalid, and why.
    Invalid(String),
    /// Another process leads.
    Redirect {
        /// Its `Control` address.
        control: String,
    },
    /// The call surely had no effect: no leader is known, or it cannot confirm that it leads.
    Unavailable,
    /// The call may or may not have taken effect.
    OutcomeUnknown,
}
