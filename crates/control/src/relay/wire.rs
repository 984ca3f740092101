//! Conversion of relayed calls and their outcomes to and from wire messages.

use crate::worker_calls::WorkerCall;
use messages::peer;
use messages::peer::mod_RelayedCall::OneOfrequest;
use messages::peer::mod_RelayedOutcome::OneOfkind;
use messages::peer::{
    FailureKind, RefusalReason, RelayedAnswer, RelayedCall, RelayedCallId, RelayedFailure,
    RelayedLeaseRenewal, RelayedLists, RelayedOutcome, RelayedRefusal, RelayedRunning, RelayedStart,
    RelayedStop,
};
use scheduler::ids::{AttemptKey, TaskKey};
use scheduler::leader::CallId;
use scheduler::worker::{CallOutcome, Refusal, RunningEntry, WorkerRequest};

/// Converts a call's identifier to its wire message.
pub fn call_id_to_wire(call: CallId) -> RelayedCallId {
    RelayedCallId { worker: call.worker, call: call.call }
}

/// Converts a received call identifier.
pub fn call_id_from_wire(id: &RelayedCallId) -> CallId {
    CallId { worker: id.worker, call: id.call }
}

/// Converts a call to the wire message for a relay.
pub fn call_to_wire(call: WorkerCall) -> RelayedCall {
    let fencing_token = call.request.fencing_token();
    let request = match call.request {
        WorkerRequest::Start { key, spec, checkpoint, deadline_ms, .. } => {
            OneOfrequest::start(RelayedStart {
                task: Some(key.task.into()),
                attempt: key.attempt,
                spec: spec.to_string(),
                checkpoint,
                deadline_ms,
            })
        }
        WorkerRequest::Stop { key, .. } => {
            OneOfrequest::stop(RelayedStop { task: Some(key.task.into()), attempt: key.attempt })
        }
        WorkerRequest::RenewLease { last_seen, deadline_ms, wait_ms, .. } => {
            OneOfrequest::renew_lease(RelayedLeaseRenewal {
                last_seen,
                has_deadline: deadline_ms.is_some(),
                deadline_ms: deadline_ms.unwrap_or(0),
                wait_ms,
            })
        }
    };
    RelayedCall {
        id: Some(call_id_to_wire(call.call)),
        address: call.address,
        instance: call.instance,
        leave_by: call.send_deadline.unwrap_or(0),
        fencing_token,
        request,
    }
}

/// Converts a call that a relay received; `None` if the message is incomplete.
pub fn call_from_wire(call: RelayedCall) -> Option<WorkerCall> {
    let id = call_id_from_wire(&call.id?);
    let request = request_from_wire(call.request, call.fencing_token, call.leave_by)?;
    let (address, instance, send_deadline) = (call.address, call.instance, Some(call.leave_by));
    Some(WorkerCall { call: id, address, instance, request, send_deadline })
}

fn request_from_wire(request: OneOfrequest, fencing_token: u64, send_deadline: u64) -> Option<WorkerRequest> {
    Some(match request {
        OneOfrequest::start(start) => WorkerRequest::Start {
            key: attempt_key(start.task, start.attempt)?,
            spec: start.spec.into(),
            checkpoint: start.checkpoint,
            deadline_ms: start.deadline_ms,
            fencing_token,
            expires_at: send_deadline,
        },
        OneOfrequest::stop(stop) => {
            WorkerRequest::Stop { key: attempt_key(stop.task, stop.attempt)?, fencing_token }
        }
        OneOfrequest::renew_lease(renewal) => WorkerRequest::RenewLease {
            fencing_token,
            last_seen: renewal.last_seen,
            deadline_ms: renewal.has_deadline.then_some(renewal.deadline_ms),
            wait_ms: renewal.wait_ms,
        },
        OneOfrequest::None => return None,
    })
}

fn attempt_key(task: Option<messages::job::TaskId>, attempt: u32) -> Option<AttemptKey> {
    Some(AttemptKey { task: TaskKey::from(&task?), attempt })
}

/// Converts an outcome to the wire message for the leader.
pub fn outcome_to_wire(call: CallId, outcome: CallOutcome) -> RelayedOutcome {
    let failure = |kind| OneOfkind::failed(RelayedFailure { kind });
    let kind = match outcome {
        CallOutcome::Answer { now_ms } => OneOfkind::answer(RelayedAnswer { now_ms }),
        CallOutcome::Lists { now_ms, running, finished } => {
            let running = running.into_iter().map(running_to_wire).collect();
            OneOfkind::lists(RelayedLists { now_ms, running, finished })
        }
        CallOutcome::Refused { now_ms, reason } => OneOfkind::refused(RelayedRefusal {
            has_clock: now_ms.is_some(),
            now_ms: now_ms.unwrap_or(0),
            reason: reason_to_wire(reason),
        }),
        // A relay does not use relays itself, so its calls are never `Interrupted`. Should one be, it may
        // have been executed.
        CallOutcome::NoResponse | CallOutcome::Interrupted => failure(FailureKind::NO_RESPONSE),
        CallOutcome::NotSent => failure(FailureKind::NOT_SENT),
        CallOutcome::Withheld => failure(FailureKind::WITHHELD),
    };
    RelayedOutcome { id: Some(call_id_to_wire(call)), kind }
}

/// Converts an outcome that the leader received; `None` if the message has no call identifier.
pub fn outcome_from_wire(outcome: RelayedOutcome) -> Option<(CallId, CallOutcome)> {
    let call = call_id_from_wire(&outcome.id?);
    let outcome = match outcome.kind {
        OneOfkind::answer(answer) => CallOutcome::Answer { now_ms: answer.now_ms },
        OneOfkind::lists(lists) => CallOutcome::Lists {
            now_ms: lists.now_ms,
            running: lists.running.into_iter().filter_map(running_from_wire).collect(),
            finished: lists.finished,
        },
        OneOfkind::refused(refused) => CallOutcome::Refused {
            now_ms: refused.has_clock.then_some(refused.now_ms),
            reason: reason_from_wire(refused.reason),
        },
        OneOfkind::failed(failed) => match failed.kind {
            FailureKind::NO_RESPONSE => CallOutcome::NoResponse,
            FailureKind::NOT_SENT => CallOutcome::NotSent,
            FailureKind::WITHHELD => CallOutcome::Withheld,
        },
        OneOfkind::None => CallOutcome::NoResponse,
    };
    Some((call, outcome))
}

fn running_to_wire(entry: RunningEntry) -> RelayedRunning {
    RelayedRunning {
        task: Some(entry.key.task.into()),
        attempt: entry.key.attempt,
        checkpoint: entry.checkpoint,
        percent: entry.percent,
    }
}

fn running_from_wire(entry: RelayedRunning) -> Option<RunningEntry> {
    let key = attempt_key(entry.task, entry.attempt)?;
    Some(RunningEntry { key, checkpoint: entry.checkpoint, percent: entry.percent })
}

fn reason_to_wire(reason: Refusal) -> RefusalReason {
    match reason {
        Refusal::StaleFencingToken => RefusalReason::STALE_FENCING_TOKEN,
        Refusal::SupersededAttempt => RefusalReason::OLD,
        Refusal::DeadlinePassed => RefusalReason::LATE,
        Refusal::NoCapacity => RefusalReason::NO_CAPACITY,
        Refusal::BadRequest => RefusalReason::BAD_REQUEST,
        Refusal::Unhealthy => RefusalReason::UNHEALTHY,
        Refusal::WrongIncarnation => RefusalReason::WRONG_INCARNATION,
        Refusal::Unknown => RefusalReason::REFUSAL_UNKNOWN,
    }
}

fn reason_from_wire(reason: peer::RefusalReason) -> Refusal {
    match reason {
        RefusalReason::STALE_FENCING_TOKEN => Refusal::StaleFencingToken,
        RefusalReason::OLD => Refusal::SupersededAttempt,
        RefusalReason::LATE => Refusal::DeadlinePassed,
        RefusalReason::NO_CAPACITY => Refusal::NoCapacity,
        RefusalReason::BAD_REQUEST => Refusal::BadRequest,
        RefusalReason::UNHEALTHY => Refusal::Unhealthy,
        RefusalReason::WRONG_INCARNATION => Refusal::WrongIncarnation,
        RefusalReason::REFUSAL_UNKNOWN => Refusal::Unknown,
    }
}
