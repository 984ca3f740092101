//! Hashes calls to workers and their outcomes.

use messages::encode;
use scheduler::ids::AttemptKey;
use scheduler::worker::{CallOutcome, Refusal, WorkerRequest};

use super::DayDigest;

/// Hashes a call.
pub(super) fn request(digest: &mut DayDigest, request: &WorkerRequest) {
    match request {
        WorkerRequest::Start { key, spec, checkpoint, deadline_ms, fencing_token, expires_at: _ } => {
            digest.number(1);
            attempt(digest, key);
            digest.text(spec);
            digest.text(checkpoint);
            digest.numbers(&[*deadline_ms, *fencing_token]);
        }
        WorkerRequest::Stop { key, fencing_token } => {
            digest.number(2);
            attempt(digest, key);
            digest.number(*fencing_token);
        }
        WorkerRequest::RenewLease { fencing_token, last_seen, deadline_ms, wait_ms } => {
            digest.numbers(&[3, *fencing_token, *last_seen, *wait_ms]);
            digest.optional(*deadline_ms);
        }
    }
}

/// Hashes the outcome of a call.
pub(super) fn outcome(digest: &mut DayDigest, outcome: &CallOutcome) {
    match outcome {
        CallOutcome::Answer { now_ms } => digest.numbers(&[1, *now_ms]),
        CallOutcome::Lists { now_ms, running, finished } => {
            digest.numbers(&[2, *now_ms]);
            digest.each(running, |digest, entry| {
                attempt(digest, &entry.key);
                digest.text(&entry.checkpoint);
                digest.number(entry.percent.into());
            });
            digest.each(finished, |digest, end| digest.bytes(&encode(end)));
        }
        CallOutcome::Refused { now_ms, reason } => {
            digest.numbers(&[3, refusal(*reason)]);
            digest.optional(*now_ms);
        }
        CallOutcome::NoResponse => digest.number(4),
        CallOutcome::NotSent => digest.number(5),
        CallOutcome::Withheld => digest.number(6),
        CallOutcome::Interrupted => digest.number(7),
    }
}

fn refusal(reason: Refusal) -> u64 {
    match reason {
        Refusal::StaleFencingToken => 1,
        Refusal::SupersededAttempt => 2,
        Refusal::DeadlinePassed => 3,
        Refusal::NoCapacity => 4,
        Refusal::BadRequest => 5,
        Refusal::Unhealthy => 6,
        Refusal::WrongIncarnation => 7,
        Refusal::Unknown => 8,
    }
}

/// Hashes the key of an attempt.
pub(super) fn attempt(digest: &mut DayDigest, key: &AttemptKey) {
    let task = &key.task;
    digest.numbers(&[task.job, task.time.into(), task.step.into(), task.index.into(), key.attempt.into()]);
}
