//! Relays: core processes that make calls to workers for the leader, which decides on them.
//!
//! A leader of many workers would spend a third of its processor time on connections, requests and answers, while the
//! processors of the other core machines are idle. It therefore sends calls to them in batches and gets outcomes back.
//!
//! `CallRouter` is the leader's side, `RelayAgent` the other one. Neither does input or output or reads a clock.
//!
//! What keeps it safe:
//!
//! - A worker is called by one machine at a time. When that machine changes, the fencing token of its calls rises
//!   (`FencingTokens`), so that the worker rejects what the former one still has under way.
//! - A call does not leave a relay after the leader's lease has ended, nor a start after the knowledge it rests on is too
//!   old. Both limits are given by the relay's steady clock as its last report showed it, hence never too late.
//! - Batches and reports are numbered within a session. What is lost ends the session, and then the outcomes of its calls
//!   are unknown (`CallOutcome::Interrupted`).
//! - A relay drops the calls of a session when a newer one begins, and takes no batch of an older session or term.

mod agent;
mod fencing_token;
mod router;
mod session;
pub mod wire;

pub use agent::{AgentAction, RelayAgent};
pub use fencing_token::fencing_token;
pub use router::{CallRouter, Cancellation, MIN_RELAYED_WORKERS};
pub use session::RELAY_TIMEOUT;
