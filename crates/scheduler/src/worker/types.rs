//! Input and output types of a worker's reconciler.

use std::sync::Arc;

use messages::job;

use crate::ids::AttemptKey;

/// Settings of a session. They are constant during a leader's term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionOptions {
    /// Fencing token of all calls: the leader's term.
    pub fencing_token: u64,
    /// How far ahead the worker's lease is set, in milliseconds of the worker's clock.
    pub worker_lease_ms: u64,
    /// The longest lease that a worker grants, in milliseconds.
    pub max_worker_lease_ms: u64,
    /// How long a worker may wait for an end before it answers a lease renewal, in milliseconds.
    pub long_poll_wait_ms: u64,
    /// How long a call may take beyond its wait before it counts as unanswered, in milliseconds.
    pub call_timeout_ms: u64,
    /// Most calls in flight at one time that start or stop attempts.
    pub max_order_calls: usize,
    /// The longest time that a worker takes to stop an attempt, in milliseconds.
    pub max_stop_ms: u64,
    /// Whether several lease renewals may follow each other quickly, within the usual mean pace.
    pub lease_renewal_bursts: bool,
    /// Whether another lease renewal is sent when one is overdue, while that one is still in flight.
    pub hedged_lease_renewals: bool,
    /// Whether a worker that owes an answer is suspected: it gets no starts and no lease extension until it
    /// answers.
    pub suspicion: bool,
    /// When this leader's term began, in nanoseconds of the steady clock.
    pub term_started_at: u64,
}

/// An attempt to start. Its intent is committed in this leader's term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The attempt.
    pub key: AttemptKey,
    /// The job's text, as the client sent it.
    pub spec: Arc<str>,
    /// The checkpoint from which to resume; empty to start from the beginning.
    pub checkpoint: String,
}

/// A call to the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerRequest {
    /// Start an attempt.
    Start {
        /// The attempt.
        key: AttemptKey,
        /// The job's text.
        spec: Arc<str>,
        /// The checkpoint from which to resume; empty to start from the beginning.
        checkpoint: String,
        /// End of the worker's lease, in milliseconds of the worker's clock.
        deadline_ms: u64,
        /// Fencing token.
        fencing_token: u64,
        /// Time from which the start must not be sent, in nanoseconds of the leader's steady clock, because
        /// the information behind the decision is too old by then.
        expires_at: u64,
    },
    /// Stop an attempt, or prevent it from ever starting.
    Stop {
        /// The attempt.
        key: AttemptKey,
        /// Fencing token.
        fencing_token: u64,
    },
    /// Extend the worker's lease, let the worker forget acknowledged ends, and ask for both lists.
    RenewLease {
        /// Fencing token.
        fencing_token: u64,
        /// Ends up to this sequence number are durable and may be forgotten.
        last_seen: u64,
        /// End of the worker's lease, in milliseconds of the worker's clock; `None` leaves the lease as it
        /// is.
        deadline_ms: Option<u64>,
        /// How long the worker may wait for an end before it answers, in milliseconds.
        wait_ms: u64,
    },
}

impl WorkerRequest {
    /// The fencing token of the call.
    pub fn fencing_token(&self) -> u64 {
        match self {
            WorkerRequest::Start { fencing_token, .. }
            | WorkerRequest::Stop { fencing_token, .. }
            | WorkerRequest::RenewLease { fencing_token, .. } => *fencing_token,
        }
    }

    /// Replaces the fencing token by one that combines the leader's term with a further counter.
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
    /// The attempt.
    pub key: AttemptKey,
    /// The newest saved checkpoint of the attempt; empty if there is none.
    pub checkpoint: String,
    /// Completed share of the attempt's work, in percent.
    pub percent: u32,
}

/// Reason why the worker refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The worker has seen a higher fencing token (409 `fence`).
    StaleFencingToken,
    /// An attempt with the same or a higher number was stopped or ended there (409 `old`).
    SupersededAttempt,
    /// The deadline had passed (409 `late`).
    DeadlinePassed,
    /// The attempt does not fit (409 `room`).
    NoCapacity,
    /// The worker could not parse the call (400).
    BadRequest,
    /// The worker is unhealthy and did nothing (429 or 503).
    Unhealthy,
    /// Another incarnation answers at this address (421).
    WrongIncarnation,
    /// Any other HTTP status.
    Unknown,
}

/// Outcome of a call to the worker.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// Success (200) of a start or a stop.
    Answer {
        /// The worker's clock, in milliseconds.
        now_ms: u64,
    },
    /// Success (200) of a lease renewal.
    Lists {
        /// The worker's clock, in milliseconds.
        now_ms: u64,
        /// The running attempts.
        running: Vec<RunningEntry>,
        /// The ends that are not acknowledged yet, with `counted` unset.
        finished: Vec<job::WorkerEnd>,
    },
    /// A definite refusal. The call had no effect, except that it may have extended the worker's lease.
    Refused {
        /// The worker's clock, in milliseconds, if the answer contained it.
        now_ms: Option<u64>,
        /// The reason.
        reason: Refusal,
    },
    /// No answer. The worker may have carried out the call, or may do so seconds later.
    NoResponse,
    /// The machine that relayed the call for this one was lost. The worker may have carried out the call,
    /// or may do so seconds later. The loss says nothing about the worker.
    Interrupted,
    /// No byte of the call was sent, because the worker could not be reached.
    NotSent,
    /// No byte of the call was sent, because this process withheld it. This says nothing about the worker.
    Withheld,
}

/// A call to send, or a report of a certain fact.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionOutput {
    /// A call to send. The caller reports its outcome with `complete_call`.
    Call {
        /// Number of the call.
        call: u64,
        /// The request to send.
        request: WorkerRequest,
    },
    /// The outcome of this call is no longer needed.
    CancelCall {
        /// Number of the call.
        call: u64,
    },
    /// The attempt runs.
    Started {
        /// The attempt.
        key: AttemptKey,
    },
    /// The worker lists an end that is not acknowledged yet. Each end is reported once.
    Ended {
        /// The end, with `counted` set.
        end: job::WorkerEnd,
    },
    /// The attempt certainly does not run and never will, and no end of it counts.
    Resolved {
        /// The attempt.
        key: AttemptKey,
        /// The reason.
        resolution: job::Resolution,
        /// The newest known checkpoint of the attempt; empty if it is unchanged.
        checkpoint: String,
    },
    /// The attempt has a new checkpoint or has made progress.
    Progress {
        /// The attempt.
        key: AttemptKey,
        /// The newest saved checkpoint of the attempt.
        checkpoint: String,
        /// Completed share of the attempt's work, in percent.
        percent: u32,
    },
    /// The worker became reachable or unreachable. It counts as reachable at first.
    ReachabilityChanged {
        /// Whether the worker answers.
        reachable: bool,
    },
    /// The worker became suspected or ceased to be, because an answer is missing for longer than usual. It
    /// is not suspected at first.
    SuspicionChanged {
        /// Whether an answer is missing.
        suspected: bool,
    },
    /// The worker became unhealthy or healthy. It counts as healthy at first.
    HealthChanged {
        /// Whether the worker refuses starts because it is unhealthy.
        unhealthy: bool,
    },
    /// This incarnation has ended. All its attempts were resolved before this report.
    IncarnationEnded,
    /// The worker has seen a newer leader, so this leader must stop acting.
    Fenced,
}
