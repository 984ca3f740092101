//! Constructors of replicated commands for tests of the state.

#![allow(dead_code)]

use messages::job::mod_Command::OneOfkind;
use messages::job::{
    AdvanceClock, AttemptResolved, AttemptStart, CancelJob, Command, CommandBatch, EndKind, JobSpec,
    PutConfiguration, RecordEnds, Resolution, ResolveAttempts, Stage, StartAttempts, SubmitJob, WorkerEnd,
    WorkerIncarnation,
};
use scheduler::ids::TaskKey;
use scheduler::state::{Job, State, StateChange};

pub const PREFIX: &str = "host.example/queue/";

/// Applies a batch with one command.
pub fn apply(state: &mut State, kind: OneOfkind) -> Vec<StateChange> {
    state.apply(&CommandBatch { commands: vec![Command { kind }] })
}

pub fn stage(count: u32) -> Stage {
    Stage { count, cpu: 1_000, mem_mb: 64, est_runtime_ms: 1_000, ..Stage::default() }
}

pub fn stage_after(count: u32, depends_on: &[u32]) -> Stage {
    Stage { depends_on: depends_on.to_vec(), ..stage(count) }
}

pub fn job(stages: Vec<Stage>) -> JobSpec {
    JobSpec { spec: "text".to_owned(), stages, ..JobSpec::default() }
}

pub fn submit(id: u64, job: JobSpec) -> OneOfkind {
    OneOfkind::submit_job(SubmitJob {
        id,
        route: "r".to_owned(),
        service: "s".to_owned(),
        max_retries: 2,
        stretch: 2.0,
        job: Some(job),
        prefix_key: PREFIX.to_owned(),
        ..SubmitJob::default()
    })
}

pub fn cancel(id: u64) -> OneOfkind {
    OneOfkind::cancel_job(CancelJob { id, prefix_key: PREFIX.to_owned() })
}

pub fn set_clock(now_ms: u64) -> OneOfkind {
    OneOfkind::advance_clock(AdvanceClock { now_ms })
}

pub fn task(job: u64, step: u32, index: u32) -> TaskKey {
    TaskKey { job, time: 0, step, index }
}

pub fn incarnation(instance: &str) -> WorkerIncarnation {
    WorkerIncarnation {
        instance: instance.to_owned(),
        address: "10.0.0.1:80".to_owned(),
        service: "s".to_owned(),
    }
}

/// Starts the tasks on one worker, all with the same attempt number.
pub fn start_on_worker(tasks: &[TaskKey], attempt: u32, instance: &str) -> OneOfkind {
    let start =
        |task: &TaskKey| AttemptStart { task: Some((*task).into()), attempt, instance: instance.to_owned() };
    OneOfkind::start_attempts(StartAttempts {
        starts: tasks.iter().map(start).collect(),
        incarnations: vec![incarnation(instance)],
    })
}

pub fn worker_end(sequence: u64, task: TaskKey, attempt: u32, kind: EndKind) -> WorkerEnd {
    WorkerEnd { sequence, task: Some(task.into()), attempt, kind, checkpoint: String::new(), counted: true }
}

pub fn record_worker_ends(instance: &str, ends: Vec<WorkerEnd>) -> OneOfkind {
    OneOfkind::record_ends(RecordEnds { instance: instance.to_owned(), ends })
}

pub fn record_worker_end(
    instance: &str,
    sequence: u64,
    task: TaskKey,
    attempt: u32,
    kind: EndKind,
) -> OneOfkind {
    record_worker_ends(instance, vec![worker_end(sequence, task, attempt, kind)])
}

/// Resolves an attempt because the lease of its worker expired.
pub fn resolve_expired_lease(instance: &str, task: TaskKey, attempt: u32, checkpoint: &str) -> OneOfkind {
    OneOfkind::resolve_attempts(ResolveAttempts {
        resolved: vec![AttemptResolved {
            task: Some(task.into()),
            attempt,
            instance: instance.to_owned(),
            resolution: Resolution::LEASE_EXPIRED,
            checkpoint: checkpoint.to_owned(),
        }],
    })
}

/// Stores a configuration that replaces the version `builds_on`.
pub fn store_configuration(body: &str, version: u64, builds_on: u64) -> OneOfkind {
    OneOfkind::put_configuration(PutConfiguration { body: body.as_bytes().to_vec(), version, builds_on })
}

pub fn job_state(state: &State, id: u64) -> Option<&'static str> {
    state.job(id).map(Job::state_text)
}
