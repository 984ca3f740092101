//! The relay's side: takes batches of calls from a leader and reports their outcomes.

use super::wire::{call_from_wire, call_id_from_wire, outcome_to_wire};
use crate::worker_calls::WorkerCall;
use consensus::NodeId;
use messages::peer::{RelayReport, RelayedOutcome, WorkerCallBatch};
use scheduler::leader::CallId;
use scheduler::worker::CallOutcome;

/// What the driver is to do with its connections to workers.
#[derive(Debug)]
pub enum AgentAction {
    /// All calls made so far belong to a session that has ended.
    AbandonCalls,
    /// Make this call.
    Start(WorkerCall),
    /// Cancel this call.
    Cancel(CallId),
}

/// The session with the leader whose calls are made.
#[derive(Debug)]
struct Session {
    leader: NodeId,
    term: u64,
    number: u64,
    last_batch: u64,
    last_report: u64,
    has_lost_batches: bool,
    is_report_due: bool,
    outcomes: Vec<RelayedOutcome>,
}

/// Makes calls for one leader at a time.
#[derive(Debug)]
pub struct RelayAgent {
    own_id: NodeId,
    session: Option<Session>,
}

impl RelayAgent {
    /// No session yet.
    pub fn new(own_id: NodeId) -> Self {
        RelayAgent { own_id, session: None }
    }

    /// Takes a batch at a process that knows of `own_term`.
    pub fn take_batch(&mut self, own_term: u64, batch: WorkerCallBatch) -> Vec<AgentAction> {
        let mut actions = Vec::new();
        let offered = (batch.term, batch.session);
        let current = self.session.as_ref().map(|session| (session.term, session.number));
        if batch.term < own_term || current.is_some_and(|current| offered < current) {
            return actions;
        }
        if current != Some(offered) {
            if self.session.is_some() {
                actions.push(AgentAction::AbandonCalls);
            }
            self.session = Some(Session::of(&batch));
        }
        let Some(session) = &mut self.session else { return actions };
        session.is_report_due = true;
        session.has_lost_batches |= batch.number != session.last_batch + 1;
        session.last_batch = session.last_batch.max(batch.number);
        if session.has_lost_batches {
            return actions;
        }
        actions.extend(batch.calls.into_iter().filter_map(call_from_wire).map(AgentAction::Start));
        actions.extend(batch.cancelled.iter().map(call_id_from_wire).map(AgentAction::Cancel));
        actions
    }

    /// Ends the session if its leader has been replaced, or leads here. True if calls have to be abandoned.
    pub fn end_session_before(&mut self, own_term: u64) -> bool {
        let is_old = self.session.as_ref().is_some_and(|session| session.term < own_term);
        if is_old {
            self.session = None;
        }
        is_old
    }

    /// A call has ended.
    pub fn call_finished(&mut self, call: CallId, outcome: CallOutcome) {
        if let Some(session) = &mut self.session {
            session.outcomes.push(outcome_to_wire(call, outcome));
            session.is_report_due = true;
        }
    }

    /// Whether a report is to be sent.
    pub fn is_report_due(&self) -> bool {
        self.session.as_ref().is_some_and(|session| session.is_report_due)
    }

    /// The report that is due, and the leader that gets it. `clock` is the steady clock now.
    pub fn take_report(&mut self, clock: u64) -> Option<(NodeId, RelayReport)> {
        let own_id = self.own_id;
        let session = self.session.as_mut().filter(|session| session.is_report_due)?;
        session.is_report_due = false;
        session.last_report += 1;
        let report = RelayReport {
            from: own_id,
            term: session.term,
            session: session.number,
            number: session.last_report,
            received: session.last_batch,
            clock,
            lost_batches: session.has_lost_batches,
            outcomes: std::mem::take(&mut session.outcomes),
        };
        Some((session.leader, report))
    }
}

impl Session {
    fn of(batch: &WorkerCallBatch) -> Self {
        Session {
            leader: batch.from,
            term: batch.term,
            number: batch.session,
            last_batch: 0,
            last_report: 0,
            has_lost_batches: false,
            is_report_due: false,
            outcomes: Vec::new(),
        }
    }
}
