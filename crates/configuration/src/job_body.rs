//! Reads the bodies of jobs that clients submit.

use messages::job::{JobSpec, Stage};
use tinyjson::JsonValue;

use crate::fields::Fields;
use crate::job_error::JobError;
use crate::json::{as_small_integer, as_text, parse_bytes, JsonError, Location, MAX_INTEGER};

pub use crate::job_limits::{MAX_REPEAT, MAX_RESOURCE, MAX_SPEC_CHARS, MAX_STEPS, MAX_TASKS};

const STAGES: &str = "Stages";

/// Parses and validates the body of a job.
///
/// # Errors
///
/// If the body is not valid JSON, or the job violates a rule of the API.
pub fn read(body: &[u8]) -> Result<JobSpec, JobError> {
    let document = parse_bytes(body)?;
    let fields = Fields::of(&document, Location::DOCUMENT)?;
    let stages = fields.list(STAGES)?.unwrap_or_default();
    let job = JobSpec {
        spec: read_spec(&fields)?,
        stages: read_stages(&fields, stages)?,
        start_at_ms: fields.integer("StartAtMs")?.unwrap_or(0),
        interval_ms: fields.integer("IntervalMs")?.unwrap_or(0),
        repeat: fields.small_integer("Repeat")?.unwrap_or(0),
    };
    check_schedule(&job)?;
    Ok(job)
}

fn read_spec(fields: &Fields<'_>) -> Result<String, JobError> {
    let spec = fields.text("Spec")?.unwrap_or_default();
    if spec.len() > MAX_SPEC_CHARS {
        let chars = spec.chars().count();
        if chars > MAX_SPEC_CHARS {
            return Err(JobError::SpecTooLong(chars));
        }
    }
    Ok(spec.to_owned())
}

fn read_stages(job: &Fields<'_>, stages: &[JsonValue]) -> Result<Vec<Stage>, JobError> {
    if stages.is_empty() {
        return Err(JobError::NoSteps);
    }
    if stages.len() > MAX_STEPS {
        return Err(JobError::TooManySteps(stages.len()));
    }
    let all_speculative = job.flag("Speculative")?;
    let all_long_running = job.flag("LongRunning")?;
    let mut tasks = 0u64;
    let mut read = Vec::with_capacity(stages.len());
    for (step, value) in stages.iter().enumerate() {
        let mut stage = read_stage(step, value)?;
        stage.speculative |= all_speculative;
        stage.long_running |= all_long_running;
        tasks += u64::from(stage.count);
        if tasks > MAX_TASKS {
            return Err(JobError::TooManyTasks(tasks));
        }
        read.push(stage);
    }
    Ok(read)
}

fn read_stage(step: usize, value: &JsonValue) -> Result<Stage, JobError> {
    let fields = Fields::of(value, Location::entry(STAGES, step))?;
    let count = fields.small_integer("Count")?.unwrap_or(0);
    if count == 0 {
        return Err(JobError::NoTasks(step));
    }
    Ok(Stage {
        count,
        cpu: resource(&fields, step, "Cpu")?,
        mem_mb: resource(&fields, step, "MemMb")?,
        gpu: resource(&fields, step, "Gpu")?,
        est_runtime_ms: fields.rounded_down("EstRuntimeMs")?.unwrap_or(0),
        depends_on: read_dependencies(&fields, step)?,
        checkpoints: fields.flag("Checkpoints")?,
        gang: fields.flag("Gang")?,
        rack_local: fields.flag("RackLocal")?,
        constraint: single_text(&fields, "Constraints")?,
        affinity: single_text(&fields, "Affinity")?,
        anti_affinity: fields.small_integer("AntiAffinity")?.unwrap_or(0),
        speculative: fields.flag("Speculative")?,
        long_running: fields.flag("LongRunning")?,
    })
}

fn resource(fields: &Fields<'_>, step: usize, field: &'static str) -> Result<u64, JobError> {
    let amount = fields.integer(field)?.unwrap_or(0);
    if amount > MAX_RESOURCE {
        return Err(JobError::ResourceTooLarge(step, field));
    }
    Ok(amount)
}

/// Reads the numbers of the steps that a step depends on; returns them sorted and without duplicates.
fn read_dependencies(fields: &Fields<'_>, step: usize) -> Result<Vec<u32>, JobError> {
    const FIELD: &str = "DependsOn";
    let list = fields.list(FIELD)?.unwrap_or_default();
    let mut dependencies = Vec::with_capacity(list.len().min(step));
    for value in list {
        let Some(on) = as_small_integer(value) else {
            return Err(fields.wrong_type(FIELD, "a list of whole numbers").into());
        };
        if on as usize >= step {
            return Err(JobError::DependencyNotEarlier(step, on));
        }
        dependencies.push(on);
    }
    dependencies.sort_unstable();
    dependencies.dedup();
    Ok(dependencies)
}

/// Reads a field that holds one string, or a list of at most one; returns an empty string if there is none.
fn single_text(fields: &Fields<'_>, field: &'static str) -> Result<String, JsonError> {
    let text = match fields.value(field) {
        None => Some(""),
        Some(JsonValue::Array(list)) => match list.as_slice() {
            [] => Some(""),
            [single] => as_text(single),
            _ => None,
        },
        Some(value) => as_text(value),
    };
    let text = text.ok_or_else(|| fields.wrong_type(field, "one text, or a list with one text"))?;
    Ok(text.to_owned())
}

/// Checks the number of occurrences, and that the last one is due at a time that JSON numbers represent
/// exactly.
fn check_schedule(job: &JobSpec) -> Result<(), JobError> {
    if job.repeat > MAX_REPEAT {
        return Err(JobError::RepeatTooLarge(job.repeat));
    }
    let span_ms = job.interval_ms.checked_mul(u64::from(job.repeat));
    let last_due_ms = span_ms.and_then(|span| span.checked_add(job.start_at_ms));
    match last_due_ms {
        Some(due) if due <= MAX_INTEGER => Ok(()),
        _ => Err(JobError::LastOccurrenceTooLate),
    }
}
