//! What happens to a gateway, and what it does about it.

use crate::interface::names::{Name, RequestId, Time};
use crate::interface::requests::{AttemptEnd, Ending, Load, Request};
use crate::interface::servers::{Node, Scope};
use crate::interface::shares::Share;
use crate::state::Snapshot;

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Discovery sent an update of the list of servers, or failed to.
    Fleet {
        /// The update's number.
        seq: u64,
        /// What the entries are of the list.
        scope: Scope,
        /// The entries.
        nodes: Vec<Node>,
    },
    /// A client's request came.
    Request(Request),
    /// A client left before its final answer.
    ClientGone {
        /// Its request.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptEnd(AttemptEnd),
    /// The time of a timer has come.
    Timer {
        /// The token of the timer's action.
        token: u64,
    },
    /// An answer has begun to go to the client.
    Streaming {
        /// Its request.
        id: RequestId,
        /// The attempt that it answers.
        attempt: u32,
    },
    /// A health check ended. Without effect.
    Probed {
        /// The server.
        server: Name,
        /// How the check ended.
        ending: Ending,
        /// The server's load, where it reported it.
        load: Option<Load>,
    },
    /// The shared counter answered. Without effect.
    Counted {
        /// The count's name.
        name: u64,
        /// How the call ended.
        ending: Ending,
        /// The count's total.
        level: f64,
    },
    /// Another gateway sent a message. Without effect.
    GatewayMessage {
        /// That gateway's number.
        from: u32,
        /// The message.
        bytes: String,
    },
    /// Operators take a server out of use, until they enable it, whatever the list says of it.
    Disable {
        /// The server.
        server: Name,
    },
    /// Operators put a server back into use.
    Enable {
        /// The server.
        server: Name,
    },
    /// What another process of this gateway knew when this one began.
    Restore(Box<Snapshot>),
    /// Another process of this gateway runs beside this one, or does so no more.
    PeerProcess {
        /// Whether it runs.
        running: bool,
    },
    /// What that process has done since it last shared.
    PeerShare(Share),
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: Name,
        /// When to give the attempt up, in the caller's time.
        attempt_deadline: Time,
    },
    /// Answer a request that it is rejected; none of its attempts has run.
    Reject {
        /// The request.
        id: RequestId,
        /// After how long the client ought to return; 0 for no advice.
        retry_after: Time,
    },
    /// Answer a request that it failed; an attempt may have run.
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
    /// Give back an event at a time.
    Timer {
        /// What that event carries.
        token: u64,
        /// When.
        at: Time,
    },
    /// Subscribe to discovery, or end the subscription.
    Subscribe {
        /// Whether to subscribe.
        on: bool,
    },
    /// The most connections to have to a server from now on, or over all of them.
    Connections {
        /// The server; none for the limit over all.
        server: Option<Name>,
        /// The limit.
        limit: u32,
    },
    /// Tell the other process of this gateway.
    Share(Share),
}

/// How full the servers look to this gateway, and what it does about it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadStatus {
    /// The part of the limits at servers that is open: 1 while answers are in time, less where they are late.
    pub open_share: f64,
    /// Attempts that may be in flight at once; below 1 the gateway rests between two.
    pub attempt_capacity: f64,
    /// Requests that wait for it.
    pub queued: usize,
    /// Retries that may be sent now.
    pub retry_tokens: f64,
}
