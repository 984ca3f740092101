//! State of the decision module. Data structures only, no decisions.

mod customer;
mod request;
mod server;
mod snapshot;
mod units;

pub(crate) use customer::{Customer, UnmeteredDemand};
pub(crate) use request::{FirstRun, InFlightAttempt, PendingRequest};
pub(crate) use server::{DecayedRate, Server, Servers, NO_CONNECTION_LIMIT};
pub use snapshot::Snapshot;
pub(crate) use units::{nanos, secs};
