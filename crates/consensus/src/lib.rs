//! Replicated log: elections, replication, leases, snapshots and membership changes, without any I/O.
//!
//! The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice") with pre-votes, CheckQuorum,
//! leader leases, pipelined replication, leadership transfer and single-server membership changes. The caller
//! owns the clock, the network and the disk: it passes each [`Event`] and the current time to
//! [`Node::handle`] and carries out the returned [`Output`]s. `examples/three_nodes.rs` shows the complete
//! loop.
//!
//! # Requirements on the caller
//!
//! - Writes are carried out one after the other. [`Event::Persisted`] is passed in only once a write is
//!   durable.
//! - A process that starts with an empty disk uses a new identity that no process has used before.
//! - A message is delivered only to the identity it is addressed to, even if a process with another identity
//!   now uses the same network address.
//! - The monotonic clocks of two processes differ in rate by less than the ratio of the lease margin to the
//!   leader stickiness.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clock;
mod durability;
mod election;
mod error;
mod follower;
mod founding;
mod group_growth;
mod incoming_snapshot;
mod interface;
mod leadership;
mod leadership_obstacle;
mod leadership_transfer;
mod log;
mod membership_changes;
mod memberships;
mod message;
mod node;
mod options;
mod progress;
mod quorum;
mod replication;
mod restore;
mod role;
mod snapshots;
mod step_down;
mod types;
mod vote_tally;

pub use error::{OptionsError, RestoredError};
pub use founding::{Founding, FoundingOffer, FoundingStatus, FoundingStep, OtherGroup};
pub use interface::{Event, Output};
pub use leadership_obstacle::LeadershipObstacle;
pub use message::{
    AppendReply, AppendRequest, Message, SnapshotChunk, SnapshotReply, TimeoutNow, VoteReply, VoteRequest,
};
pub use node::Node;
pub use options::Options;
pub use restore::check_restored;
pub use step_down::{StepDown, StepDownReason};
pub use types::{
    Entry, HardState, Index, Member, Membership, NodeId, Payload, Restored, Snapshot, SnapshotMeta, Term,
    BOOTSTRAP_TERM,
};
