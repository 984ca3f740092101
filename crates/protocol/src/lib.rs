//! What the programs say to each other about roll servers: the list, how it is read and merged, and a caller's
//! side of the protocol.
#![forbid(unsafe_code)]

pub mod list;
pub mod watch;
