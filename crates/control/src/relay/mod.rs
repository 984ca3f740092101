//! Relays: core processes that make calls to workers on behalf of the leader, which decides on the calls.
//!
//! A leader of many workers would spend a third of its CPU time on connections, requests and answers, while
//! the CPUs of the other core machines are idle. The leader therefore sends calls to these machines in
//! batches and receives outcomes.
//!
//! `CallRouter` is the leader's side, `RelayAgent` the relay's side. Neither does input or output or reads a
//! clock.
//!
//! Safety rules:
//!
//! - Only one machine at a time calls a worker. When that machine changes, the fencing token of the worker's
//!   calls rises (`fencing_token`), so that the worker rejects calls of the previous machine that are still
//!   in flight.
//! - A relay sends no call after the leader's lease has ended, and no start after the information behind the
//!   start is too old. Both deadlines are given in the relay's steady clock as its last report showed it, so
//!   that they are never too late.
//! - Batches and reports are numbered within a session. A lost batch or report ends the session; the outcomes
//!   of its calls are then unknown (`CallOutcome::Interrupted`).
//! - A relay abandons the calls of a session when a newer one begins, and ignores batches of an older session
//!   or term.

mod agent;
mod fencing_token;
mod router;
mod session;
pub mod wire;

pub use agent::{AgentAction, RelayAgent};
pub use fencing_token::fencing_token;
pub use router::{CallRouter, Cancellation, MIN_RELAYED_WORKERS};
pub use session::RELAY_TIMEOUT_NS;
