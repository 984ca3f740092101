//! Reconciler of one incarnation of a worker. Its inputs are the attempts that should run and the outcomes
//! of calls; its outputs are calls to send and reports for the leader.
//!
//! The reconciler does no input or output itself. The caller passes in attempts and call outcomes, calls
//! [`WorkerSession::poll`] afterwards and whenever [`WorkerSession::next_timer`] has come, and carries out
//! the outputs: it sends the calls and handles the reports.
//!
//! Two leases must be distinguished. The worker's lease is the permission for everything that runs on the
//! worker; calls named lease renewals extend it. The leader's lease is the permission to send such calls.

mod attempt_table;
mod attempts;
mod backoff;
mod call_outcomes;
mod calls;
mod clock;
mod end_watermarks;
mod health;
mod lease_expiry;
mod lease_renewals;
mod lease_schedule;
mod lists;
mod orders;
mod reachability;
mod resolution;
mod response_clock;
mod round_trip;
mod session;
mod types;

pub use response_clock::ResponseClock;
pub use session::WorkerSession;
pub use types::{
    CallOutcome, Refusal, RunningEntry, SessionOptions, SessionOutput, StartOrder, WorkerRequest,
};
