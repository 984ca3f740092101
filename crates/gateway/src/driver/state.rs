//! The driver's state: pending requests, timers, and counts for the status line.

use crate::backends::outgoing::Outgoing;
use crate::driver::request::Answer;
use crate::link::Progress;
use gateway_decisions::{Event, Gateway, RequestId};
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// The module that the log's events and levels name for all of the driver, whichever file an event comes from.
pub const LOG_TARGET: &str = "sprucehatch_gateway::driver";

/// A request from its arrival until it is answered and no attempt is in flight.
pub struct PendingRequest {
    /// None once answered, or when the client is gone.
    pub client: Option<oneshot::Sender<Answer>>,
    pub outgoing: Rc<Outgoing>,
    pub attempts: u32,
    pub attempt: Option<RunningAttempt>,
    pub may_have_run: bool,
    pub timed_out: bool,
    pub deadline: Instant,
}

/// An attempt in flight.
pub struct RunningAttempt {
    pub task: AbortHandle,
    pub progress: Rc<Progress>,
}

impl RunningAttempt {
    /// Whether it has its connection, so that it may have been written.
    pub fn has_connection(&self) -> bool {
        self.progress.connected.get()
    }
}

/// What a timer is for: one of the module's, by its token, or a request's deadline.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Engine(u64),
    Deadline(RequestId),
}

/// What changes with each event.
pub struct DriverState {
    pub engine: Gateway,
    pub events: Vec<Event>,
    pub requests: HashMap<RequestId, PendingRequest>,
    pub timers: BinaryHeap<Reverse<(Instant, Due)>>,
}

/// Counts since the last status line.
#[derive(Default)]
pub struct Counts {
    pub served: Cell<u64>,
    pub refused: Cell<u64>,
    pub failed: Cell<u64>,
    /// Answered here because the module had not by the deadline.
    pub overdue: Cell<u64>,
    pub batches: Cell<u64>,
    /// The longest that the loop came late to a timer.
    pub longest_delay: Cell<Duration>,
}

/// Counts one more.
pub fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
