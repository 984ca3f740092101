//! A worker session without a worker: the test answers each call.

use messages::job::{EndKind, Resolution, WorkerEnd};
use scheduler::ids::AttemptKey;
use scheduler::worker::{CallOutcome, Refusal, RunningEntry, SessionOutput, WorkerRequest, WorkerSession};

use super::{incarnation, options, MS};

/// Monotonic time at which the session begins, in milliseconds. The worker's clock shows the same time.
pub const SESSION_START_MS: u64 = 100_000;

pub struct Driver {
    pub session: WorkerSession,
    pub now: u64,
}

impl Driver {
    /// A session whose leader holds a lease and does not know the worker's clock yet.
    pub fn new() -> Self {
        let now = SESSION_START_MS * MS;
        let mut session = WorkerSession::new(incarnation(1), 0, options(7, now), now);
        session.set_leader_lease(u64::MAX);
        session.extend_start_limit(u64::MAX);
        Driver { session, now }
    }

    pub fn now_ms(&self) -> u64 {
        self.now / MS
    }

    pub fn advance_ms(&mut self, span_ms: u64) {
        self.now += span_ms * MS;
    }

    pub fn poll(&mut self) -> Vec<SessionOutput> {
        let mut out = Vec::new();
        self.session.poll(self.now, &mut out);
        out
    }

    /// Polls at each timer up to the end of the span and returns all outputs.
    pub fn poll_for_ms(&mut self, span_ms: u64) -> Vec<SessionOutput> {
        let end = self.now + span_ms * MS;
        let mut out = self.poll();
        while self.session.next_timer() <= end {
            self.now = self.session.next_timer().max(self.now);
            out.extend(self.poll());
        }
        self.now = end;
        out
    }

    pub fn answer(&mut self, call: u64, outcome: CallOutcome) -> Vec<SessionOutput> {
        self.session.complete_call(self.now, call, outcome);
        self.poll()
    }

    pub fn answer_ok(&mut self, call: u64) -> Vec<SessionOutput> {
        let now_ms = self.now_ms();
        self.answer(call, CallOutcome::Answer { now_ms })
    }

    pub fn refuse(&mut self, call: u64, reason: Refusal) -> Vec<SessionOutput> {
        let now_ms = Some(self.now_ms());
        self.answer(call, CallOutcome::Refused { now_ms, reason })
    }

    pub fn answer_with_lists(
        &mut self,
        call: u64,
        running: &[AttemptKey],
        finished: &[WorkerEnd],
    ) -> Vec<SessionOutput> {
        let entry = |key: &AttemptKey| RunningEntry { key: *key, checkpoint: String::new(), percent: 0 };
        let running = running.iter().map(entry).collect();
        let now_ms = self.now_ms();
        self.answer(call, CallOutcome::Lists { now_ms, running, finished: finished.to_vec() })
    }

    /// Answers the first query with these lists and returns the resulting outputs. The session must have an
    /// attempt, as it sends no query otherwise.
    pub fn answer_first_query(
        &mut self,
        running: &[AttemptKey],
        finished: &[WorkerEnd],
    ) -> Vec<SessionOutput> {
        let query = only_lease_renewal(&self.poll());
        self.answer_with_lists(query, running, finished)
    }
}

pub fn end(sequence: u64, key: AttemptKey, kind: EndKind) -> WorkerEnd {
    let checkpoint = String::new();
    let task = Some(key.task.into());
    WorkerEnd { sequence, task, attempt: key.attempt, kind, checkpoint, counted: false }
}

pub fn calls(out: &[SessionOutput]) -> Vec<(u64, WorkerRequest)> {
    let call = |output: &SessionOutput| match output {
        SessionOutput::Call { call, request } => Some((*call, request.clone())),
        _ => None,
    };
    out.iter().filter_map(call).collect()
}

pub fn lease_renewals(out: &[SessionOutput]) -> Vec<u64> {
    let lease_renewal = |(call, request)| matches!(request, WorkerRequest::RenewLease { .. }).then_some(call);
    calls(out).into_iter().filter_map(lease_renewal).collect()
}

pub fn only_lease_renewal(out: &[SessionOutput]) -> u64 {
    let found = lease_renewals(out);
    assert_eq!(found.len(), 1, "one lease renewal is expected: {out:?}");
    found[0]
}

pub fn starts(out: &[SessionOutput]) -> Vec<u64> {
    let start = |(call, request)| matches!(request, WorkerRequest::Start { .. }).then_some(call);
    calls(out).into_iter().filter_map(start).collect()
}

pub fn stops(out: &[SessionOutput]) -> Vec<(u64, AttemptKey)> {
    let stop = |(call, request)| match request {
        WorkerRequest::Stop { key, .. } => Some((call, key)),
        _ => None,
    };
    calls(out).into_iter().filter_map(stop).collect()
}

pub fn resolutions(out: &[SessionOutput]) -> Vec<(AttemptKey, Resolution)> {
    let resolved = |output: &SessionOutput| match output {
        SessionOutput::Resolved { key, resolution, .. } => Some((*key, *resolution)),
        _ => None,
    };
    out.iter().filter_map(resolved).collect()
}

pub fn ends(out: &[SessionOutput]) -> Vec<(u64, bool)> {
    let ended = |output: &SessionOutput| match output {
        SessionOutput::Ended { end } => Some((end.sequence, end.counted)),
        _ => None,
    };
    out.iter().filter_map(ended).collect()
}

pub fn has_started(out: &[SessionOutput], key: AttemptKey) -> bool {
    out.contains(&SessionOutput::Started { key })
}
