//! Options and outputs of [`Upstream`](super::Upstream).

use messages::peer::ClientReply;
use std::net::SocketAddr;

/// Options of an [`Upstream`](super::Upstream).
#[derive(Debug, Clone)]
pub struct UpstreamOptions {
    /// Name that this process sends to the members of the core when a connection opens.
    pub node_name: String,
    /// Maximum number of pending requests.
    pub max_requests: usize,
    /// Maximum total size of pending requests, in bytes.
    pub max_bytes: usize,
}

/// An action that the caller of [`Upstream`](super::Upstream) has to execute.
#[derive(Debug)]
pub enum UpstreamOutput {
    /// Open a connection, then report the result with `connected` or `disconnected`.
    Connect {
        /// Number of the connection, never reused.
        connection: u64,
        /// Address to connect to.
        address: SocketAddr,
    },
    /// Close a connection, or cancel the attempt to open it. The caller reports no further event of this
    /// connection.
    Close {
        /// Number of the connection.
        connection: u64,
    },
    /// Write bytes to an open connection.
    Send {
        /// Number of the connection.
        connection: u64,
        /// One or more complete frames.
        bytes: Vec<u8>,
    },
    /// Give a request its final answer.
    Answer {
        /// Token of the request.
        token: u64,
        /// The final answer.
        reply: ClientReply,
    },
    /// Read the seeds again and pass them to `set_seeds`: no member is reachable.
    ReadSeeds,
}
