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

/// The log target of the whole driver, whichever of its files logs a line.
pub const LOG_TARGET: &str = "sprucehatch_gateway::driver";

/// A request from its arrival until it is answered and no attempt is in flight.
pub struct PendingRequest {
    /// None once the request is answered or its client has disconnected.
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
    /// Returns whether the attempt has a connection, so that its request may have been written.
    pub fn has_connection(&self) -> bool {
        self.progress.connected.get()
    }
}

/// The purpose of a timer: one that the engine set, by its token, or the deadline of a request.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Engine(u64),
    Deadline(RequestId),
}

/// The state that changes with each event.
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
    /// Requests that the driver answered because the engine had not decided by the deadline.
    pub overdue: Cell<u64>,
    pub batches: Cell<u64>,
    /// The longest delay between the due time of a timer and the loop's wake-up.
    pub longest_delay: Cell<Duration>,
}

/// Increments a counter by one.
pub fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
