//! The administrators' API: reports on a running group, and a few commands to it.
//!
//! It is served on the same address as the operator's API. It keeps no state: each reply is built on request.

pub(crate) mod call;
mod metrics;
mod reports;
mod routes;

pub(crate) use routes::register;
