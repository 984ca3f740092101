//! Reasons for closing connections.

use serde::Serialize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CloseReason {
    /// The attempt that used the connection was cancelled or timed out, or its client disconnected.
    GivenUp,
    /// The connection reached its idle timeout.
    Expired,
    /// The server closed the connection while it was idle, or sent data that belongs to no request.
    Closed,
    /// The connection was reused after idling and broke as soon as a request was written to it.
    Stale,
    /// The connection broke during a request.
    Broken,
    /// The server's answer announced that it was the last on this connection.
    Ended,
    /// The server is draining, removed, moved, restarted or disabled by an operator.
    Listed,
    /// The server did not respond on another connection.
    Silent,
    /// The connection was closed because of a connection limit, or to free its slot or descriptor for another
    /// one.
    Room,
}

impl CloseReason {
    /// Returns the name of the reason in the figures.
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
