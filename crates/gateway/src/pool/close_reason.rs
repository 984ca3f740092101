//! Why connections are closed.

use serde::Serialize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CloseReason {
    /// The attempt on it was given up, or its client left.
    GivenUp,
    /// It stood idle for too long.
    Expired,
    /// The other side closed it while it was idle, or said what nobody had asked for.
    Closed,
    /// It broke as soon as it was written to again.
    Stale,
    /// It broke under a request.
    Broken,
    /// Its last answer was to be its last.
    Ended,
    /// The server is drained, gone, moved, restarted or out by hand.
    Listed,
    /// The server said nothing on another connection.
    Silent,
    /// It made room.
    Room,
}

impl CloseReason {
    /// As the figures name it.
    pub fn label(self) -> &'static str {
        match self {
            CloseReason::GivenUp => "given_up",
            CloseReason::Expired => "expired",
            CloseReason::Closed => "closed",
            CloseReason::Stale => "stale",
            CloseReason::Broken => "broken",
            CloseReason::Ended => "ended",
            CloseReason::Listed => "listed",
            CloseReason::Silent => "silent",
            CloseReason::Room => "room",
        }
    }
}
