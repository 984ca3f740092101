//! Transport between processes of the system: frames over TCP, with one persistent connection per direction.
//!
//! The tasks of these connections are spawned on the runtime and not on the driver's `LocalSet`. The
//! `LocalSet` runs thousands of tasks for calls to workers one after the other, and reading a frame must not
//! wait for all of them.

pub mod connection;
pub mod link;
pub mod listener;
pub mod outbox;
pub mod socket;
