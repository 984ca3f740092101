//! Replicated log: elections, replication, leases, snapshots and change of members, without input or output.
//!
//! The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice") with pre-votes, check of quorum, leader
//! leases, pipelined replication, transfer of leadership and single-server changes of members. The caller owns
//! clock, network and disk: it hands [`Node::handle`] each [`Event`] with the time, and carries out the [`Output`]s.
//! `examples/three_nodes.rs` shows the complete loop.
//!
//! # What the caller must keep
//!
//! - Writes are carried out one after the other; [`Event::Persisted`] comes only when one is durable.
//! - A process with an empty disk uses an identity that was never used before.
//! - A message is delivered only to the identity that it names, also where another identity uses the address now.
//! - Steady clocks of two processes differ in rate by less than the lease margin's fraction of the leader stickiness.

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
