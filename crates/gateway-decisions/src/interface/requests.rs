//! Client requests and the results of attempts to serve them.

use crate::interface::names::{Name, RequestId, Time};

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Index of its class in [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// Index of its customer's plan in [`Settings::plans`](crate::Settings::plans).
    pub plan: usize,
    /// The customer whose quota the request is charged to.
    pub customer: Name,
    /// How long the client waits: the time at which it gives up.
    pub deadline: Time,
    /// Estimated size, in units of the quota.
    pub units: f64,
    /// Number of gateways through which the customer's requests may arrive.
    pub spread: u32,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// The body is streamed to the server while the client uploads it. The duration of an attempt then
    /// depends on the client, and its elapsed time is counted from the end of the upload.
    pub relayed: bool,
}

impl Request {
    /// A request with a complete body that is not a retry, of a customer that uses one gateway.
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

/// How an attempt ended. `Full`, `NoRoute` and `Stale` prove that the attempt never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A successful answer.
    Pass,
    /// An answer that reports a failure.
    Fault,
    /// The server rejected the attempt for lack of capacity.
    Full,
    /// No answer within the time limit.
    Late,
    /// No part of the request reached the server.
    NoRoute,
    /// The connection broke after the request may have run and before the answer was complete.
    Cut,
    /// The caller cancelled the attempt, which may have run.
    Undone,
    /// The caller never sent the attempt, for reasons of its own.
    Stale,
}

/// What kind of connection an attempt used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Via {
    /// The caller does not know.
    #[default]
    Unknown,
    /// A connection that had carried earlier attempts.
    Reused,
    /// A new connection.
    New,
    /// None: the server's host refused to open a connection.
    Refused,
}

/// Load that a server reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that the server is processing.
    pub inflight: Option<f64>,
    /// Requests that wait in the server's queue.
    pub queue: Option<f64>,
    /// Recent service time without queueing, in milliseconds.
    pub latency_ms: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// Id of the request.
    pub id: RequestId,
    /// Number of the attempt within the request, from 0.
    pub attempt: u32,
    /// The server that got the attempt.
    pub server: Name,
    /// Result of the attempt.
    pub ending: Ending,
    /// Whether the request is finished, so that no retry is possible.
    pub request_finished: bool,
    /// Whether the request's body is no longer stored, so that the request cannot be sent again.
    pub body_discarded: bool,
    /// Duration of the attempt.
    pub elapsed: Time,
    /// Actual units of the request if the answer reports them, else 0.
    pub actual_units: f64,
    /// The customer's use over all gateways, as the meter reads it, as a share of the plan's rate; `None` if
    /// the answer does not report it.
    pub metered_share: Option<f64>,
    /// The server's load, if the answer reports it.
    pub load: Option<Load>,
    /// The connection that the attempt used.
    pub via: Via,
    /// Connections that this process has to the server, including those that are being opened.
    pub open_connections: u32,
}
