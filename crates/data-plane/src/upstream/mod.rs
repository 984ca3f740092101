//! Forwarding of requests to the leader of the core: finds the leader, and decides where each request is
//! sent.
//!
//! [`Upstream`] is a state machine without input or output. [`Forwarder`] feeds it with events and executes
//! its outputs.

mod connection;
mod forwarder;
mod interface;
mod leader;
mod leader_tracking;
mod links;
mod peers;
mod requests;
mod state;
mod time;

pub use forwarder::{Forwarder, PendingReply};
pub use interface::{UpstreamOptions, UpstreamOutput};
pub use requests::ForwardRequest;
pub use state::Upstream;
