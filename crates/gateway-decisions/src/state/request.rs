//! Requests that wait or are in flight.

use crate::interface::names::{Name, Time};
use crate::interface::requests::Request;

/// State of a request until its final answer.
pub(crate) struct PendingRequest {
    pub(crate) class: usize,
    pub(crate) plan: usize,
    pub(crate) customer: Name,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    /// Time after which the request is not sent any more, because its answer could no longer arrive within
    /// the latency target.
    pub(crate) latest_send: Time,
    pub(crate) units: f64,
    /// Number of attempts sent.
    pub(crate) attempts: u32,
    /// Random number in 0..1 that selects at most one of the servers that are warming up for the next
    /// attempt.
    pub(crate) warm_up_draw: f64,
    /// The attempt that is in flight.
    pub(crate) in_flight: Option<InFlightAttempt>,
    /// The gateway has started to forward an answer to the client.
    pub(crate) streaming: bool,
    /// The body is streamed to the server while the client uploads it.
    pub(crate) relayed: bool,
    pub(crate) client_gone: bool,
    /// The first attempt that may have run.
    pub(crate) first_run: Option<FirstRun>,
    pub(crate) tried_servers: Vec<Name>,
}

impl PendingRequest {
    /// A request that has just arrived.
    pub(crate) fn new(request: &Request, arrived: Time, latest_send: Time, warm_up_draw: f64) -> Self {
        PendingRequest {
            class: request.class,
            plan: request.plan,
            customer: request.customer.clone(),
            arrived,
            deadline: request.deadline,
            latest_send,
            units: request.units,
            attempts: 0,
            warm_up_draw,
            in_flight: None,
            streaming: false,
            relayed: request.relayed,
            client_gone: false,
            first_run: None,
            tried_servers: Vec::new(),
        }
    }
}

/// An attempt that was sent and has not ended.
pub(crate) struct InFlightAttempt {
    pub(crate) server: Name,
    pub(crate) sent_at: Time,
    /// Number of the attempt within the request, from 0.
    pub(crate) attempt: u32,
    pub(crate) cancelled: bool,
}

/// The first attempt of a request that may have run. Servers of its zone or cell recognise a retry by the
/// idempotency key, counted from the time at which this attempt was sent.
#[derive(Clone, Copy)]
pub(crate) struct FirstRun {
    pub(crate) sent_at: Time,
    pub(crate) zone: u32,
    pub(crate) cell: u32,
}
