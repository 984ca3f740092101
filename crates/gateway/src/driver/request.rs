//! What the server and the driver say to each other about one request.

use crate::backends::outcome::Served;
use crate::backends::outgoing::Outgoing;
use gateway_decisions::{Name, RequestId};
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// The final answer to a request.
pub enum Answer {
    Served(Served),
    /// Trying again is harmless, best after so long.
    Refused {
        tried: bool,
        retry_after: Option<Duration>,
    },
    Failed {
        timed_out: bool,
    },
}

/// A client's request that the server found well-formed.
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

/// A request's id as clients and roll servers write it.
pub struct RequestName(pub RequestId);

impl fmt::Display for RequestName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
