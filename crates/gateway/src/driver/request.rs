//! The requests and answers that the server and the driver exchange.

use crate::backends::outcome::Served;
use crate::backends::outgoing::Outgoing;
use gateway_decisions::{Name, RequestId};
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// The final answer to a request.
pub enum Answer {
    Served(Served),
    /// The request did not run: it can be retried safely, preferably after this delay.
    Refused {
        tried: bool,
        retry_after: Option<Duration>,
    },
    Failed {
        timed_out: bool,
    },
}

/// A well-formed request of a client.
pub struct ClientRequest {
    pub id: RequestId,
    pub class: usize,
    pub plan: usize,
    pub customer: Name,
    pub arrived: Instant,
    pub timeout: Duration,
    pub units: f64,
    pub spread: u32,
    pub is_retry: bool,
    pub outgoing: Outgoing,
}

/// Displays a request's id the way that clients and roll servers write it.
pub struct RequestName(pub RequestId);

impl fmt::Display for RequestName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
