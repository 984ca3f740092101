//! A job: its specification and the progress of each of its repeats.
//!
//! A scheduled job runs all of its steps several times, once at each due time. Each such run is a repeat,
//! counted from 0. Any other job has the single repeat 0.

use std::collections::BTreeMap;
use std::sync::Arc;

use messages::job::{JobPhase, JobSpec, Stage, SubmitJob};

use crate::ids::{StepKey, TaskKey};

use super::change::StateChange;
use super::done_repeats::DoneRepeats;
use super::task::{ActiveAttempt, Step, Task};

/// State text of an open job of which no task has begun.
pub const JOB_PENDING: &str = "pending";

/// An accepted job, until the end of its retention time.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    pub(super) prefix_key: Arc<str>,
    pub(super) phase: JobPhase,
    /// Time of day of the end in ms since 1970, 0 while the job is open.
    pub(super) ended_at_ms: u64,
    /// Specification and progress, kept until the job has ended and none of its attempts may run.
    pub(super) work: Option<Box<Work>>,
}

/// Specification and progress of a job.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// The job as it was accepted, except that the text of its `spec` is moved to the field `spec` below.
    pub(super) submit: SubmitJob,
    pub(super) spec: Arc<str>,
    /// For each step, the steps that depend on it.
    pub(super) dependents: Vec<Vec<u32>>,
    /// Progress of the repeats with a started task that are not done, or are done but have attempts that
    /// may still run.
    pub(super) repeats: BTreeMap<u32, JobRepeat>,
    pub(super) done_repeats: DoneRepeats,
    /// Number of attempts that may be running.
    pub(super) active: u32,
    /// Whether the start of any task was ever committed.
    pub(super) started: bool,
}

/// Progress of one repeat of a job's steps.
#[derive(Debug, Clone, PartialEq)]
pub struct JobRepeat {
    pub(super) steps: Vec<Step>,
    pub(super) steps_done: u32,
    pub(super) active: u32,
}

impl Job {
    /// Whether the job is open, or how it ended.
    pub fn phase(&self) -> JobPhase {
        self.phase
    }

    /// Time of day of the end in ms since 1970, 0 while the job is open.
    pub fn ended_at_ms(&self) -> u64 {
        self.ended_at_ms
    }

    /// Host and path prefix under which the job was submitted.
    pub fn prefix_key(&self) -> &str {
        &self.prefix_key
    }

    /// Host and path prefix under which the job was submitted, shared with the other jobs of the prefix.
    pub fn shared_prefix_key(&self) -> &Arc<str> {
        &self.prefix_key
    }

    /// Specification and progress; `None` once the job has ended and none of its attempts may run.
    pub fn work(&self) -> Option<&Work> {
        self.work.as_deref()
    }

    /// Specification and progress; `None` if the job has ended.
    pub fn open_work(&self) -> Option<&Work> {
        if self.phase == JobPhase::OPEN {
            self.work()
        } else {
            None
        }
    }

    /// Whether the job is open and no start of any of its tasks was ever committed.
    pub fn is_pending(&self) -> bool {
        self.open_work().is_some_and(|work| !work.started)
    }

    /// The state of the job, as far as the log shows it: a job counts as running from the commit of a start on. The
    /// leader knows whether the start has taken place.
    pub fn state_text(&self) -> &'static str {
        match self.phase {
            JobPhase::OPEN if self.is_pending() => JOB_PENDING,
            JobPhase::OPEN => "running",
            JobPhase::COMPLETED => "completed",
            JobPhase::JOB_FAILED => "failed",
            JobPhase::CANCELLED => "cancelled",
        }
    }
}

impl Work {
    /// Creates the work of an accepted job. Returns `None` if its steps cannot be run: there is no step, a
    /// step has no tasks, or a step depends on itself or a later step.
    pub(super) fn new(mut submit: SubmitJob) -> Option<Self> {
        let specification = submit.job.as_mut()?;
        let stages = &specification.stages;
        if stages.is_empty() {
            return None;
        }
        let mut dependents = vec![Vec::new(); stages.len()];
        for (step, stage) in stages.iter().enumerate() {
            let later = |earlier: &u32| *earlier as usize >= step;
            if stage.count == 0 || stage.depends_on.iter().any(later) {
                return None;
            }
            for earlier in &stage.depends_on {
                let dependents: &mut Vec<u32> = &mut dependents[*earlier as usize];
                if dependents.last() != Some(&(step as u32)) {
                    dependents.push(step as u32);
                }
            }
        }
        let spec = Arc::from(std::mem::take(&mut specification.spec));
        Some(Self {
            submit,
            spec,
            dependents,
            repeats: BTreeMap::new(),
            done_repeats: DoneRepeats::default(),
            active: 0,
            started: false,
        })
    }

    /// The job as it was accepted, with an empty `spec` in its `job`; see [`Work::spec`].
    pub fn submit(&self) -> &SubmitJob {
        &self.submit
    }

    /// The job's text for workers.
    pub fn spec(&self) -> &Arc<str> {
        &self.spec
    }

    /// Steps and schedule of the job.
    pub fn specification(&self) -> Option<&JobSpec> {
        self.submit.job.as_ref()
    }

    /// The steps of the job.
    pub fn stages(&self) -> &[Stage] {
        self.submit.job.as_ref().map_or(&[], |specification| &specification.stages)
    }

    /// The specification of one step.
    pub fn stage(&self, step: u32) -> Option<&Stage> {
        self.stages().get(step as usize)
    }

    /// Whether the job is scheduled, that is, its steps run at given times of day.
    pub fn is_scheduled(&self) -> bool {
        self.specification().is_some_and(|specification| specification.repeat > 0)
    }

    /// Number of repeats of the steps.
    pub fn repeat_count(&self) -> u32 {
        self.specification().map_or(1, |specification| specification.repeat.max(1))
    }

    /// Number of tasks of all steps of one repeat.
    pub fn tasks_per_repeat(&self) -> u64 {
        self.stages().iter().map(|stage| u64::from(stage.count)).sum()
    }

    /// Number of repeats with a started task that are not done, or are done but have attempts that may still
    /// run.
    pub fn begun_repeats(&self) -> usize {
        self.repeats.len()
    }

    /// Time of day in ms since 1970 at which `repeat` is due; 0 for a job that is not scheduled.
    pub fn due_ms(&self, repeat: u32) -> u64 {
        let Some(specification) = self.specification() else { return 0 };
        if specification.repeat == 0 {
            return specification.start_at_ms;
        }
        let offset = u64::from(repeat).saturating_mul(specification.interval_ms);
        specification.start_at_ms.saturating_add(offset)
    }

    /// Whether all tasks of `repeat` are done.
    pub fn is_repeat_done(&self, repeat: u32) -> bool {
        self.done_repeats.contains(repeat)
    }

    /// The first repeat from `repeat` on that is not done; `repeat_count` or more if all are done.
    pub fn next_open_repeat(&self, repeat: u32) -> u32 {
        self.done_repeats.next_open(repeat)
    }

    /// The state of a task; `None` if the task was never started, or its repeat is done and its progress
    /// was dropped.
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        let step = self.repeats.get(&key.time)?.steps.get(key.step as usize)?;
        step.tasks.get(key.index as usize)
    }

    /// Highest attempt number of the task; for a gang, of all its members.
    pub fn last_attempt(&self, key: TaskKey) -> u32 {
        let is_gang = self.stage(key.step).is_some_and(|stage| stage.gang);
        if !is_gang {
            return self.task(key).map_or(0, |task| task.last_attempt);
        }
        self.step(key.step_key()).map_or(0, Step::last_attempt)
    }

    /// The checkpoint from which the next start of the task resumes. All members of a gang share one.
    pub fn checkpoint(&self, key: TaskKey) -> &str {
        let is_gang = self.stage(key.step).is_some_and(|stage| stage.gang);
        let owner = if is_gang { key.step_key().task(0) } else { key };
        self.task(owner).map_or("", |task| &task.checkpoint)
    }

    /// Whether the task is done, by itself or because its repeat is done.
    pub fn is_task_done(&self, key: TaskKey) -> bool {
        self.is_repeat_done(key.time) || self.task(key).is_some_and(|task| task.done)
    }

    /// Whether the log shows that a worker has begun a task of the job: a task is done, has failed or has saved a
    /// checkpoint. Other attempts may have begun too without leaving a trace.
    pub fn shows_begun_task(&self) -> bool {
        let has_trace = |task: &Task| task.done || task.failures > 0 || !task.checkpoint.is_empty();
        let mut steps = self.repeats.values().flat_map(|repeat| &repeat.steps);
        self.done_repeats.count() > 0
            || steps.any(|step| step.gang_failures > 0 || step.tasks.iter().any(has_trace))
    }

    /// Number of tasks of the step that are done.
    pub fn done_in_step(&self, key: StepKey) -> u32 {
        self.step(key).map_or(0, |step| step.done)
    }

    /// Number of attempts of the step's tasks that may be running.
    pub fn active_in_step(&self, key: StepKey) -> usize {
        self.step(key).map_or(0, Step::active)
    }

    /// Highest number of counted failures of any of the step's tasks, or of its gang.
    pub fn failures_in_step(&self, key: StepKey) -> u32 {
        let Some(step) = self.step(key) else { return 0 };
        let single = step.tasks.iter().map(|task| task.failures).max().unwrap_or(0);
        single.max(step.gang_failures)
    }

    /// Whether the steps that this step depends on are done, and not all of its own tasks are.
    pub fn is_step_ready(&self, key: StepKey) -> bool {
        let Some(stage) = self.stage(key.step) else { return false };
        if key.time >= self.repeat_count() || self.is_repeat_done(key.time) {
            return false;
        }
        self.done_in_step(key) < stage.count
            && stage.depends_on.iter().all(|step| self.is_step_done(key, *step))
    }

    fn is_step_done(&self, key: StepKey, step: u32) -> bool {
        let count = self.stage(step).map_or(u32::MAX, |stage| stage.count);
        self.done_in_step(StepKey { step, ..key }) >= count
    }

    fn step(&self, key: StepKey) -> Option<&Step> {
        self.repeats.get(&key.time)?.steps.get(key.step as usize)
    }

    /// The progress of `repeat`, created on first use.
    pub(super) fn repeat_mut(&mut self, repeat: u32) -> &mut JobRepeat {
        let steps = self.stages().len();
        self.repeats.entry(repeat).or_insert_with(|| JobRepeat::new(steps))
    }

    /// All attempts that may be running, in the order of their tasks.
    pub fn active_attempts(&self) -> impl Iterator<Item = (TaskKey, &ActiveAttempt)> + '_ {
        let job = self.submit.id;
        self.repeats.iter().flat_map(move |(repeat, progress)| {
            progress.steps.iter().enumerate().flat_map(move |(step, state)| {
                state.tasks.iter().enumerate().flat_map(move |(index, task)| {
                    let key = TaskKey { job, time: *repeat, step: step as u32, index: index as u32 };
                    task.active.iter().map(move |active| (key, active))
                })
            })
        })
    }

    /// Emits the steps of the same repeat that have become ready because this step is done.
    pub(super) fn emit_ready_dependents(&self, key: StepKey, changes: &mut Vec<StateChange>) {
        let Some(dependents) = self.dependents.get(key.step as usize) else { return };
        for step in dependents {
            let dependent = StepKey { step: *step, ..key };
            if self.is_step_ready(dependent) {
                changes.push(StateChange::StepReady { step: dependent });
            }
        }
    }
}

impl JobRepeat {
    pub(super) fn new(steps: usize) -> Self {
        Self { steps: vec![Step::default(); steps], steps_done: 0, active: 0 }
    }
}
