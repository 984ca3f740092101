//! The relay's side: receives batches of calls from a leader and reports their outcomes.

use super::wire::{call_from_wire, call_id_from_wire, outcome_to_wire};
use crate::worker_calls::WorkerCall;
use consensus::NodeId;
use messages::peer::{RelayReport, RelayedOutcome, WorkerCallBatch};
use scheduler::leader::CallId;
use scheduler::worker::CallOutcome;

/// An action of the driver on its connections to workers.
#[derive(Debug)]
pub enum AgentAction {
    /// Abandon all calls made so far: their session has ended.
    AbandonCalls,
    /// Make this call.
    Start(WorkerCall),
    /// Cancel this call.
    Cancel(CallId),
}

/// The session with the leader that this process makes calls for.
#[derive(Debug)]
struct Session {
    leader: NodeId,
    term: u64,
    number: u64,
    /// Number of the newest received batch.
    last_batch: u64,
    /// Number of the last sent report.
    last_report: u64,
    /// Whether a batch of this session was missed; no further call is then accepted.
    has_lost_batches: bool,
    is_report_due: bool,
    /// Outcomes for the next report.
    outcomes: Vec<RelayedOutcome>,
}

/// Makes calls for one leader at a time.
#[derive(Debug)]
pub struct RelayAgent {
    own_id: NodeId,
    session: Option<Session>,
}

impl RelayAgent {
    /// Creates an agent without a session.
    pub fn new(own_id: NodeId) -> Self {
        RelayAgent { own_id, session: None }
    }

    /// Accepts a batch. `own_term` is the newest term that this process knows; batches of an older term or
    /// session are ignored.
    pub fn receive_batch(&mut self, own_term: u64, batch: WorkerCallBatch) -> Vec<AgentAction> {
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
            self.session = Some(Session::from_first_batch(&batch));
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

    /// Ends the session if a term newer than the session's is known (`own_term`): its leader was replaced,
    /// possibly by this process. Returns true if the session's calls must be abandoned.
    pub fn end_session_before(&mut self, own_term: u64) -> bool {
        let is_old = self.session.as_ref().is_some_and(|session| session.term < own_term);
        if is_old {
            self.session = None;
        }
        is_old
    }

    /// Adds the outcome of a finished call to the next report.
    pub fn call_finished(&mut self, call: CallId, outcome: CallOutcome) {
        if let Some(session) = &mut self.session {
            session.outcomes.push(outcome_to_wire(call, outcome));
            session.is_report_due = true;
        }
    }

    /// Whether a report must be sent.
    pub fn is_report_due(&self) -> bool {
        self.session.as_ref().is_some_and(|session| session.is_report_due)
    }

    /// Takes the due report, together with the leader that receives it. `clock` is the current reading of the
    /// steady clock.
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
    fn from_first_batch(batch: &WorkerCallBatch) -> Self {
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
