//! What a worker's reconciler takes and gives.

use std::sync::Arc;

use messages::job;

use crate::ids::AttemptKey;

/// Settings of a session, fixed for a leader's term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionOptions {
    /// Fencing token of all calls: the leader's term.
    pub fencing_token: u64,
    /// How far ahead the worker's lease is set, in milliseconds of the worker's clock.
    pub worker_lease_ms: u64,
    /// The longest worker lease that a worker grants, in milliseconds.
    pub max_worker_lease_ms: u64,
    /// How long a worker may wait for an end before it answers a lease renewal, in milliseconds.
    pub long_poll_wait_ms: u64,
    /// How long a call may take beyond its wait before it counts as unanswered, in milliseconds.
    pub call_timeout_ms: u64,
    /// Most calls that start or stop attempts in flight at one time.
    pub max_order_calls: usize,
    /// The longest time that a worker takes to stop an attempt, in milliseconds.
    pub max_stop_ms: u64,
    /// Whether several lease renewals may follow each other quickly, within the usual pace over longer times.
    pub lease_renewal_bursts: bool,
    /// Whether another lease renewal is sent beside one that is overdue.
    pub hedged_lease_renewals: bool,
    /// Whether a worker of which an answer is missing gets no starts and no longer lease until it answers.
    pub suspicion: bool,
    /// When this leader's term began, in nanoseconds of the steady clock.
    pub term_started_at: u64,
}

/// An attempt to be started; its intent is committed in this leader's term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Which attempt.
    pub key: AttemptKey,
    /// The job's text, as the client sent it.
    pub spec: Arc<str>,
    /// Where to go on from; empty: from the beginning.
    pub checkpoint: String,
}

/// A call to the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerRequest {
    /// Start an attempt.
    Start {
        /// Which attempt.
        key: AttemptKey,
        /// The job's text.
        spec: Arc<str>,
        /// Where to go on from; empty: from the beginning.
        checkpoint: String,
        /// Until when the worker's lease lasts, in milliseconds of the worker's clock.
        deadline_ms: u64,
        /// Fencing token.
        fencing_token: u64,
        /// From then on the order must not leave, in nanoseconds of the leader's steady clock: what it was decided on is
        /// too old.
        expires_at: u64,
    },
    /// Stop an attempt, or bar it from ever starting.
    Stop {
        /// Which attempt.
        key: AttemptKey,
        /// Fencing token.
        fencing_token: u64,
    },
    /// Extend the worker's lease, forget acknowledged ends and ask for both lists.
    RenewLease {
        /// Fencing token.
        fencing_token: u64,
        /// Ends up to this number are durable and may be forgotten.
        last_seen: u64,
        /// Until when the worker's lease lasts, in milliseconds of the worker's clock; `None` leaves it as it is.
        deadline_ms: Option<u64>,
        /// How long the worker may wait for an end before it answers, in milliseconds.
        wait_ms: u64,
    },
}

impl WorkerRequest {
    /// The call's fencing token.
    pub fn fencing_token(&self) -> u64 {
        match self {
            WorkerRequest::Start { fencing_token, .. }
            | WorkerRequest::Stop { fencing_token, .. }
            | WorkerRequest::RenewLease { fencing_token, .. } => *fencing_token,
        }
    }

    /// Replaces the fencing token by one that counts more than the leader's term.
    pub fn set_fencing_token(&mut self, token: u64) {
        match self {
            WorkerRequest::Start { fencing_token, .. }
            | WorkerRequest::Stop { fencing_token, .. }
            | WorkerRequest::RenewLease { fencing_token, .. } => *fencing_token = token,
        }
    }
}

/// An entry of the worker's list of running attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningEntry {
    /// Which attempt.
    pub key: AttemptKey,
    /// Its newest saved checkpoint; empty: none.
    pub checkpoint: String,
    /// Share of its work that is done, in percent.
    pub percent: u32,
}

/// Why the worker refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher fencing token (409 `fence`).
    StaleFencingToken,
    /// The attempt is not above one that was stopped or ended there (409 `old`).
    SupersededAttempt,
    /// The deadline had passed (409 `late`).
    DeadlinePassed,
    /// The attempt doesn't fit (409 `room`).
    NoCapacity,
    /// It could not read the call (400).
    BadRequest,
    /// It is unhealthy and has done nothing (429 or 503).
    Unhealthy,
    /// Another incarnation answers at this address (421).
    WrongIncarnation,
    /// Any other status.
    Unknown,
}

/// How a call to the worker ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// 200 to a start or a stop.
    Answer {
        /// The worker's clock, in milliseconds.
        now_ms: u64,
    },
    /// 200 to a lease renewal.
    Lists {
        /// The worker's clock, in milliseconds.
        now_ms: u64,
        /// What runs there.
        running: Vec<RunningEntry>,
        /// Ends that are not acknowledged yet, with `counted` unset.
        finished: Vec<job::WorkerEnd>,
    },
    /// A clear refusal: the call did nothing but, maybe, extend the worker's lease.
    Refused {
        /// The worker's clock, in milliseconds, if the answer held it.
        now_ms: Option<u64>,
        /// Why.
        reason: Refusal,
    },
    /// No answer: the call may have been carried out, now or seconds later.
    NoResponse,
    /// The machine that made the call for this one was lost: the call may have been carried out, now or seconds later, and
    /// that says nothing of the worker.
    Interrupted,
    /// No byte of the call ever left, since the worker was not reached.
    NotSent,
    /// No byte of the call ever left, since this process withheld it: that says nothing of the worker.
    Withheld,
}

/// A call that is due, or a fact that is certain.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionOutput {
    /// Send this call; report its end with `complete_call`.
    Call {
        /// Number of the call.
        call: u64,
        /// What to send.
        request: WorkerRequest,
    },
    /// The outcome of this call is not needed any more.
    CancelCall {
        /// Number of the call.
        call: u64,
    },
    /// The attempt runs.
    Started {
        /// Which attempt.
        key: AttemptKey,
    },
    /// The worker lists an end that was not acknowledged yet; given once.
    Ended {
        /// The end, with `counted` set.
        end: job::WorkerEnd,
    },
    /// The attempt certainly does not run and never will, and no end of it counts.
    Resolved {
        /// Which attempt.
        key: AttemptKey,
        /// Why.
        resolution: job::Resolution,
        /// Its newest known checkpoint; empty: as before.
        checkpoint: String,
    },
    /// The attempt has a new checkpoint or has got further.
    Progress {
        /// Which attempt.
        key: AttemptKey,
        /// Its newest saved checkpoint.
        checkpoint: String,
        /// Share of its work that is done, in percent.
        percent: u32,
    },
    /// Whether the worker answers; given at each change, reachable at first.
    ReachabilityChanged {
        /// True if it answers.
        reachable: bool,
    },
    /// Whether an answer is missing for longer than usual; given at each change, not so at first.
    SuspicionChanged {
        /// True while one is missing.
        suspected: bool,
    },
    /// Whether the worker refuses starts as unhealthy; given at each change, healthy at first.
    HealthChanged {
        /// True if it refuses.
        unhealthy: bool,
    },
    /// This incarnation has ended; all its attempts were resolved before.
    IncarnationEnded,
    /// The worker has seen a newer leader: this one must not act any more.
    Fenced,
}
