//! Writes the bodies of calls to workers (`run-start`, `run-stop`, `hold`) and reads the answers.
//!
//! `hold` is the API's name for a lease renewal. Tasks are identified by the text `ID.K.STEP.INDEX`, which
//! the crate that owns the task type parses.

use messages::job::EndKind;
use quick_error::quick_error;
use tinyjson::JsonValue;

use crate::fields::Fields;
use crate::json::{as_integer, as_rounded_down, as_small_integer, as_text, parse_bytes, JsonError, Location};
use crate::json_text::{push_integer, push_string};

const RUNNING: &str = "Running";
const FINISHED: &str = "Finished";

/// Upper bound of the size of a body without its strings: field names and numbers of maximum length, in
/// bytes.
const FIXED_BODY_BYTES: usize = 192;

quick_error! {
    /// Why a worker's answer cannot be read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum WorkerAnswerError {
        /// The body is not valid JSON, or a value in it is missing or has the wrong type.
        Json(error: JsonError) {
            from()
            display("cannot read the worker's answer ({error}): treat the call as unanswered and retry")
        }
        /// An entry of `Running` or `Finished` is invalid.
        BadEntry(location: Location) {
            display("{location} of the worker's answer is invalid: treat the call as unanswered and retry")
        }
    }
}

/// Body of `POST /v1/run-start`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartBody<'a> {
    /// `ID.K.STEP.INDEX`.
    pub task: &'a str,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// The task's text, as the client sent it.
    pub spec: &'a str,
    /// End of the worker's lease, in milliseconds of the worker's clock.
    pub deadline_ms: u64,
    /// Term of the leader that sends the call.
    pub fencing_token: u64,
    /// Checkpoint; empty: none.
    pub checkpoint: &'a str,
}

impl StartBody<'_> {
    /// The JSON text of the body.
    pub fn to_json(&self) -> String {
        let texts = self.task.len() + self.spec.len() + self.checkpoint.len();
        let mut out = String::with_capacity(FIXED_BODY_BYTES + texts);
        push_attempt(&mut out, self.task, self.attempt);
        out.push_str(",\"Spec\":");
        push_string(&mut out, self.spec);
        out.push_str(",\"DeadlineMs\":");
        push_integer(&mut out, self.deadline_ms);
        push_fencing_token(&mut out, self.fencing_token);
        if !self.checkpoint.is_empty() {
            out.push_str(",\"Checkpoint\":");
            push_string(&mut out, self.checkpoint);
        }
        out.push('}');
        out
    }
}

/// Body of `POST /v1/run-stop`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopBody<'a> {
    /// `ID.K.STEP.INDEX`.
    pub task: &'a str,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Term of the leader that sends the call.
    pub fencing_token: u64,
}

impl StopBody<'_> {
    /// The JSON text of the body.
    pub fn to_json(&self) -> String {
        let mut out = String::with_capacity(FIXED_BODY_BYTES + self.task.len());
        push_attempt(&mut out, self.task, self.attempt);
        push_fencing_token(&mut out, self.fencing_token);
        out.push('}');
        out
    }
}

/// Body of `POST /v1/hold`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseRenewalBody {
    /// New end of the worker's lease, in milliseconds of the worker's clock; none: the lease is not extended.
    pub deadline_ms: Option<u64>,
    /// Term of the leader that sends the call.
    pub fencing_token: u64,
    /// Acknowledged sequence number: the worker forgets the ends up to this one.
    pub last_seen: u64,
    /// How long the worker may delay its answer until an attempt ends, in milliseconds; none: no delay.
    pub wait_ms: Option<u64>,
}

impl LeaseRenewalBody {
    /// The JSON text of the body.
    pub fn to_json(&self) -> String {
        let mut out = String::with_capacity(FIXED_BODY_BYTES);
        out.push_str("{\"LastSeen\":");
        push_integer(&mut out, self.last_seen);
        push_fencing_token(&mut out, self.fencing_token);
        if let Some(deadline_ms) = self.deadline_ms {
            out.push_str(",\"DeadlineMs\":");
            push_integer(&mut out, deadline_ms);
        }
        if let Some(wait_ms) = self.wait_ms {
            out.push_str(",\"WaitMs\":");
            push_integer(&mut out, wait_ms);
        }
        out.push('}');
        out
    }
}

fn push_attempt(out: &mut String, task: &str, attempt: u32) {
    out.push_str("{\"TaskId\":");
    push_string(out, task);
    out.push_str(",\"Attempt\":");
    push_integer(out, u64::from(attempt));
}

fn push_fencing_token(out: &mut String, fencing_token: u64) {
    out.push_str(",\"FenceToken\":");
    push_integer(out, fencing_token);
}

/// An attempt that is running on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningEntry {
    /// `ID.K.STEP.INDEX`.
    pub task: String,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Checkpoint; empty: none.
    pub checkpoint: String,
    /// Share of its work that is done, in percent.
    pub percent: u32,
}

/// An attempt that has ended on a worker and whose end is not yet acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedEntry {
    /// Sequence number of the end, starting at 1 in each incarnation of the worker.
    pub sequence: u64,
    /// `ID.K.STEP.INDEX`.
    pub task: String,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// How the attempt ended; `END_UNKNOWN` for an unknown value.
    pub kind: EndKind,
    /// Checkpoint; empty: none.
    pub checkpoint: String,
}

/// Answer to a lease renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRenewalAnswer {
    /// The worker's clock, in milliseconds.
    pub now_ms: u64,
    /// Attempts that are running on the worker.
    pub running: Vec<RunningEntry>,
    /// Attempts whose ends are not yet acknowledged.
    pub finished: Vec<FinishedEntry>,
}

impl LeaseRenewalAnswer {
    /// Parses the body of an answer with status 200. A list that is missing or null is empty.
    ///
    /// # Errors
    ///
    /// If the body is not valid JSON, lacks `NowMs`, or has an invalid list entry.
    pub fn read(body: &[u8]) -> Result<Self, WorkerAnswerError> {
        let mut document = parse_bytes(body)?;
        let fields = Fields::of(&document, Location::DOCUMENT)?;
        let now_ms = fields.rounded_down("NowMs")?.ok_or_else(|| fields.missing("NowMs"))?;
        fields.list(RUNNING)?;
        fields.list(FINISHED)?;
        let running = take_list(&mut document, RUNNING);
        let finished = take_list(&mut document, FINISHED);
        Ok(LeaseRenewalAnswer {
            now_ms,
            running: read_entries(running, RUNNING, read_running)?,
            finished: read_entries(finished, FINISHED, read_finished)?,
        })
    }
}

/// Removes a list from the document, so that its strings need not be copied.
fn take_list(document: &mut JsonValue, field: &str) -> Vec<JsonValue> {
    let JsonValue::Object(object) = document else {
        return Vec::new();
    };
    match object.remove(field) {
        Some(JsonValue::Array(list)) => list,
        _ => Vec::new(),
    }
}

fn read_entries<T>(
    list: Vec<JsonValue>,
    section: &'static str,
    read: fn(JsonValue) -> Option<T>,
) -> Result<Vec<T>, WorkerAnswerError> {
    let mut entries = Vec::with_capacity(list.len());
    for (entry, value) in list.into_iter().enumerate() {
        let bad = WorkerAnswerError::BadEntry(Location::entry(section, entry));
        entries.push(read(value).ok_or(bad)?);
    }
    Ok(entries)
}

fn read_running(value: JsonValue) -> Option<RunningEntry> {
    let JsonValue::Array(elements) = value else {
        return None;
    };
    let mut elements = elements.into_iter();
    Some(RunningEntry {
        task: into_text(elements.next()?)?,
        attempt: as_small_integer(&elements.next()?)?,
        checkpoint: into_checkpoint(elements.next())?,
        percent: percent(elements.next().as_ref())?,
    })
}

fn read_finished(value: JsonValue) -> Option<FinishedEntry> {
    let JsonValue::Array(elements) = value else {
        return None;
    };
    let mut elements = elements.into_iter();
    Some(FinishedEntry {
        sequence: as_integer(&elements.next()?)?,
        task: into_text(elements.next()?)?,
        attempt: as_small_integer(&elements.next()?)?,
        kind: end_kind(as_text(&elements.next()?)?),
        checkpoint: into_checkpoint(elements.next())?,
    })
}

fn into_text(value: JsonValue) -> Option<String> {
    match value {
        JsonValue::String(text) => Some(text),
        _ => None,
    }
}

fn into_checkpoint(value: Option<JsonValue>) -> Option<String> {
    match value {
        None | Some(JsonValue::Null) => Some(String::new()),
        Some(value) => into_text(value),
    }
}

fn percent(value: Option<&JsonValue>) -> Option<u32> {
    match value {
        None | Some(JsonValue::Null) => Some(0),
        Some(value) => Some(u32::try_from(as_rounded_down(value)?).unwrap_or(u32::MAX)),
    }
}

fn end_kind(name: &str) -> EndKind {
    match name {
        "done" => EndKind::DONE,
        "failed" => EndKind::FAILED,
        "stopped" => EndKind::STOPPED,
        "lapsed" => EndKind::LAPSED,
        "broken" => EndKind::BROKEN,
        "alone" => EndKind::ALONE,
        _ => EndKind::END_UNKNOWN,
    }
}

/// Why a worker rejected an order with 409.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The worker has seen a higher fencing token.
    StaleFencingToken,
    /// The attempt number is not greater than that of an attempt that was stopped or has ended on this
    /// worker.
    SupersededAttempt,
    /// The deadline of the order had passed.
    DeadlinePassed,
    /// The worker lacks the capacity for the task.
    NoCapacity,
    /// An unknown reason.
    Other,
}

/// Answer to a start or a stop, or to any rejected call. All fields are optional, because some answers have
/// no body.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OrderAnswer {
    /// The worker's clock, in milliseconds.
    pub now_ms: Option<u64>,
    /// Reason of the rejection, if the call was rejected.
    pub reason: Option<RejectReason>,
    /// Time after which to retry in milliseconds, if the worker gives one.
    pub retry_after_ms: Option<u64>,
}

impl OrderAnswer {
    /// Parses the body, which may be empty.
    ///
    /// # Errors
    ///
    /// If the body is neither empty nor a JSON object with fields of the right types.
    pub fn read(body: &[u8]) -> Result<Self, WorkerAnswerError> {
        if body.trim_ascii().is_empty() {
            return Ok(OrderAnswer::default());
        }
        let document = parse_bytes(body)?;
        let fields = Fields::of(&document, Location::DOCUMENT)?;
        Ok(OrderAnswer {
            now_ms: fields.rounded_down("NowMs")?,
            reason: fields.text("Reason")?.map(reject_reason),
            retry_after_ms: fields.rounded_down("RetryAfterMs")?,
        })
    }
}

fn reject_reason(name: &str) -> RejectReason {
    match name {
        "fence" => RejectReason::StaleFencingToken,
        "old" => RejectReason::SupersededAttempt,
        "late" => RejectReason::DeadlinePassed,
        "room" => RejectReason::NoCapacity,
        _ => RejectReason::Other,
    }
}
