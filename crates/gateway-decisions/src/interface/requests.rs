//! Requests of clients, and how attempts at them end.

use crate::interface::names::{Name, RequestId, Time};

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its customer's plan in the settings.
    pub plan: usize,
    /// Whose quota it counts against.
    pub customer: Name,
    /// Until when the client waits.
    pub deadline: Time,
    /// Its size as guessed, in units of the quota.
    pub units: f64,
    /// How many gateways the customer's requests may come through.
    pub spread: u32,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// Its body goes on as it comes: an attempt takes as long as the client does, and its time begins after.
    pub relayed: bool,
}

impl Request {
    /// A first request, complete, of a customer that uses one gateway.
    pub fn new(id: RequestId, class: usize, plan: usize, customer: &str, deadline: Time, units: f64) -> Self {
        Request {
            id,
            class,
            plan,
            customer: customer.into(),
            deadline,
            units,
            spread: 1,
            is_retry: false,
            relayed: false,
        }
    }
}

/// How an attempt ended. `Full`, `NoRoute` and `Stale` prove that it never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A good answer.
    Pass,
    /// An answer that tells of a failure.
    Fault,
    /// The server rejected it for lack of capacity.
    Full,
    /// No answer within the time limit.
    Late,
    /// Nothing of the request reached the server.
    NoRoute,
    /// The connection broke when the request may have run and before an answer was complete.
    Cut,
    /// The caller cancelled it; it may have run.
    Undone,
    /// The caller never sent it, for reasons of its own.
    Stale,
}

/// How an attempt came by its connection, as far as the caller knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Via {
    /// The caller does not know.
    #[default]
    Unknown,
    /// One that had carried others before.
    Reused,
    /// One that was new.
    New,
    /// None: the server's machine refused to open one.
    Refused,
}

/// What a server reports of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that it has in hand.
    pub inflight: Option<f64>,
    /// Requests that wait there.
    pub queue: Option<f64>,
    /// Its recent service time without waiting, in milliseconds.
    pub latency_ms: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request's id.
    pub id: RequestId,
    /// The attempt's number within the request, from 0.
    pub attempt: u32,
    /// The server that it went to.
    pub server: Name,
    /// How it ended.
    pub ending: Ending,
    /// The request is finished.
    pub request_finished: bool,
    /// The request's body is not kept any more, so it can't be sent again.
    pub body_discarded: bool,
    /// How long the attempt took.
    pub elapsed: Time,
    /// True units, where answers tell them; else 0.
    pub actual_units: f64,
    /// The customer's metered use over all gateways as a share of its rate, where the answer tells.
    pub metered_share: Option<f64>,
    /// The server's load, where the answer tells.
    pub load: Option<Load>,
    /// How it came by its connection.
    pub via: Via,
    /// Connections that this process has to the server, those that are being opened among them.
    pub open_connections: u32,
}
