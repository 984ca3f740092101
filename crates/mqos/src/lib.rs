//! Multiple-resource request scheduling (mQoS): deficit round robin over one queue per plan and dominant
//! resource. Deficits are charged in every resource, and items wait until every resource is available.
//!
//! After Lin et al., "Multiple-resource request scheduling for differentiated QoS at website gateway",
//! Computer Communications 31 (2008):
//!
//! - An item queues under its plan and the resource of which it needs the largest share.
//! - The main scheduler runs the sub-scheduler of the most available resource, and the next ones if that has
//!   nothing to send.
//! - A sub-scheduler sends the head of the queue under its round-robin pointer if the availability of every
//!   resource and the plan's deficit in every resource cover what the item needs, and charges the deficits.
//!   Otherwise the pointer moves on.
//! - When the pointers wrap, the deficits gain their quanta, which are proportional to the plans' weights.
//!
//! Two points are not in the paper. Rounds that would send nothing are computed instead of executed, so that
//! a call costs O(plans x resources) however large a need is relative to its quantum. And all sub-schedulers
//! wrap together, once none of them can send, so that a plan's counters grow at the same pace in every
//! resource.
//!
//! The library does not track availability: the caller passes what is free in each call.
//!
//! [`Queues`] is the complete scheduler. [`DeficitRoundRobin`] holds only the counters and pointers, for
//! callers with their own queues, such as the gateway.

#![warn(missing_docs)]

mod deficits;
mod queues;

pub use deficits::DeficitRoundRobin;
pub use queues::{Candidate, PlanOptions, Queues, Released};
