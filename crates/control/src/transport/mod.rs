//! Transport between processes of the system: frames over TCP, one persistent connection for each direction.
//!
//! The tasks of these connections are spawned on the runtime and not on the driver's `LocalSet`: calls to workers are
//! tasks there by the thousand, run in turn, and a frame must not wait for all of them to be read.

pub mod connection;
pub mod link;
pub mod listener;
pub mod outbox;
pub mod socket;
