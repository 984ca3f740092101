//! Bodies of the calls to workers (`run-start`, `run-stop`, `hold`) and of their answers.
//!
//! `hold` is the interface's name for a lease renewal. A task is given as the text `ID.K.STEP.INDEX`; the crate that owns
//! the task's type parses it.

use messages::job::EndKind;
use quick_error::quick_error;
use tinyjson::JsonValue;

use crate::fields::Fields;
use crate::json::{as_integer, as_rounded_down, as_small_integer, as_text, parse_bytes, JsonError, Location};
use crate::json_text::{push_integer, push_string};

const RUNNING: &str = "Running";
const FINISHED: &str = "Finished";

/// Bytes of a body beyond its texts: names of fields and numbers at their longest.
const BODY_FRAME_BYTES: usize = 192;

quick_error! {
    /// Why a worker's answer cannot be read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum WorkerAnswerError {
        /// The body, or a value in it, cannot be read.
        Json(error: JsonError) {
            from()
            display("the worker's answer cannot be read ({error}): treat the call as unanswered and ask again")
        }
        /// An entry of `Running` or `Finished` is not as the interface says.
        BadEntry(location: Location) {
            display("{location} of the worker's answer is not an entry of its kind: treat the call as unanswered and ask again")
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
    /// Until when the worker's lease is extended, in milliseconds of the worker's clock.
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
        let mut out = String::with_capacity(BODY_FRAME_BYTES + texts);
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
        let mut out = String::with_capacity(BODY_FRAME_BYTES + self.task.len());
        push_attempt(&mut out, self.task, self.attempt);
        push_fencing_token(&mut out, self.fencing_token);
        out.push('}');
        out
    }
}

/// Body of `POST /v1/hold`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseRenewalBody {
    /// Until when the worker's lease is extended, in milliseconds of the worker's clock; none: it is not extended.
    pub deadline_ms: Option<u64>,
    /// Term of the leader that sends the call.
    pub fencing_token: u64,
    /// Ends up to this number are forgotten by the worker.
    pub last_seen: u64,
    /// How long the answer may wait for an end, in milliseconds; none: not at all.
    pub wait_ms: Option<u64>,
}

impl LeaseRenewalBody {
    /// The JSON text of the body.
    pub fn to_json(&self) -> String {
        let mut out = String::with_capacity(BODY_FRAME_BYTES);
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

/// An attempt that runs on a worker.
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

/// An attempt that has ended on a worker and whose end is not acknowledged yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedEntry {
    /// Rises from 1 in each incarnation of the worker.
    pub sequence: u64,
    /// `ID.K.STEP.INDEX`.
    pub task: String,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// How it ended; `END_UNKNOWN` for a value that is not known.
    pub kind: EndKind,
    /// Checkpoint; empty: none.
    pub checkpoint: String,
}

/// Answer to a lease renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRenewalAnswer {
    /// The worker's clock, in milliseconds.
    pub now_ms: u64,
    /// What runs there.
    pub running: Vec<RunningEntry>,
    /// Ends that are not acknowledged yet.
    pub finished: Vec<FinishedEntry>,
}

impl LeaseRenewalAnswer {
    /// Reads the body of a 200. A list that is missing or null is empty.
    ///
    /// # Errors
    ///
    /// If the body cannot be read, lacks `NowMs`, or an entry of a list is not as the interface says.
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

/// Takes a list out of the document, so that its texts need not be copied.
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
    /// The attempt is not above one that was stopped or ended there.
    SupersededAttempt,
    /// The deadline had passed.
    DeadlinePassed,
    /// The worker lacks the capacity for the task.
    NoCapacity,
    /// A reason that is not known.
    Other,
}

/// Answer to a start or a stop, or to any call that was rejected. Everything is optional: some answers have no
/// body.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OrderAnswer {
    /// The worker's clock, in milliseconds.
    pub now_ms: Option<u64>,
    /// Why the call was rejected, if it was.
    pub reason: Option<RejectReason>,
    /// After how many milliseconds to retry, if the worker says so.
    pub retry_after_ms: Option<u64>,
}

impl OrderAnswer {
    /// Reads the body, which may be empty.
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
