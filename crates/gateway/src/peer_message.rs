//! The messages that two processes of one gateway exchange. This file only defines them; they are sent and
//! handled in `driver/peer.rs`, `server.rs` and `handover.rs`.

use gateway_decisions::{Name, Share, Snapshot};
use gateway_protocol::list::Target;
use serde::{Deserialize, Serialize};

/// One message, encoded as a line of JSON. Variants and fields keep their names: the other process may be of
/// another version.
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// The successor's first message.
    Hello,
    /// The predecessor's answer.
    State(Box<State>),
    /// The successor serves from now on.
    Ready,
    Share(Share),
    Disable {
        server: Name,
    },
    Enable {
        server: Name,
    },
    /// An operator started or ended a drain of clients.
    Away {
        on: bool,
    },
}

/// The state with which a successor continues.
#[derive(Serialize, Deserialize)]
pub struct State {
    pub rev: u64,
    pub targets: Vec<Target>,
    pub snapshot: Snapshot,
    pub away: bool,
}

#[cfg(test)]
mod tests;
