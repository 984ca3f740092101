//! The events that a gateway handles and the actions that it answers with.

use crate::interface::names::{Name, RequestId, Time};
use crate::interface::requests::{AttemptEnd, Ending, Load, Request};
use crate::interface::servers::{Node, Scope};
use crate::interface::shares::Share;
use crate::state::Snapshot;

/// Something that happened and that the gateway has to know.
#[derive(Clone, Debug)]
pub enum Event {
    /// Discovery sent an update of the server list, or a call to discovery failed.
    Fleet {
        /// Sequence number of the update.
        seq: u64,
        /// How the entries relate to the whole list.
        scope: Scope,
        /// The entries.
        nodes: Vec<Node>,
    },
    /// A client request arrived.
    Request(Request),
    /// A client disconnected before it got its final answer.
    ClientGone {
        /// The client's request.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptEnd(AttemptEnd),
    /// A timer expired.
    Timer {
        /// Token of the [`Action::Timer`] that set the timer.
        token: u64,
    },
    /// The gateway started to forward an answer to the client.
    Streaming {
        /// The request.
        id: RequestId,
        /// Number of the attempt whose answer is forwarded.
        attempt: u32,
    },
    /// A health check ended. The gateway ignores this event.
    Probed {
        /// The server.
        server: Name,
        /// Result of the check.
        ending: Ending,
        /// The server's load, if it reported one.
        load: Option<Load>,
    },
    /// The shared counter answered. The gateway ignores this event.
    Counted {
        /// Name of the count.
        name: u64,
        /// Result of the call.
        ending: Ending,
        /// Total of the count.
        level: f64,
    },
    /// Another gateway sent a message. The gateway ignores this event.
    GatewayMessage {
        /// Number of the gateway that sent it.
        from: u32,
        /// The message.
        bytes: String,
    },
    /// An operator took a server out of use. It stays disabled until [`Event::Enable`], whatever the server
    /// list says.
    Disable {
        /// The server.
        server: Name,
    },
    /// An operator put a disabled server back into use.
    Enable {
        /// The server.
        server: Name,
    },
    /// State of another process of this gateway, taken when this process started.
    Restore(Box<Snapshot>),
    /// A second process of this gateway started or stopped serving beside this one (during an upgrade).
    PeerProcess {
        /// Whether the second process is running.
        running: bool,
    },
    /// What the second process has done since its previous share.
    PeerShare(Share),
}

/// Something that the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a server.
    Send {
        /// The request.
        id: RequestId,
        /// The server.
        server: Name,
        /// When to abandon the attempt, on the caller's clock.
        attempt_deadline: Time,
    },
    /// Reject a request. None of its attempts has run.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries, in nanoseconds; 0 for no advice.
        retry_after: Time,
    },
    /// Answer a request with an error. An attempt may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Set a timer that returns [`Event::Timer`].
    Timer {
        /// Token that the event carries.
        token: u64,
        /// When the timer expires.
        at: Time,
    },
    /// Subscribe to the server list, or end the subscription.
    Subscribe {
        /// Whether to subscribe.
        on: bool,
    },
    /// Limit the number of open connections, to one server or in total.
    Connections {
        /// The server; `None` for the limit over all servers.
        server: Option<Name>,
        /// Maximum number of connections from now on.
        limit: u32,
    },
    /// Send this to the second process of this gateway.
    Share(Share),
}

/// How loaded the servers look to this gateway, and what it may still send.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadStatus {
    /// Share of the servers' concurrency limits that load shedding leaves open: 1 while answers are in time,
    /// less while they are late.
    pub open_share: f64,
    /// Number of attempts that may be in flight at once. Below 1, the gateway pauses between attempts.
    pub attempt_capacity: f64,
    /// Number of requests that wait to be sent.
    pub queued: usize,
    /// Number of retries that the retry budget allows now.
    pub retry_tokens: f64,
}
