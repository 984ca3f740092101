//! One job: its specification and the progress of each of its times.

use std::collections::BTreeMap;
use std::sync::Arc;

use messages::job::{JobPhase, JobSpec, Stage, SubmitJob};

use crate::ids::{StepKey, TaskKey};

use super::change::StateChange;
use super::task::{Active, Step, Task};
use super::times::DoneTimes;

/// A job that was accepted and is not yet forgotten.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    pub(super) prefix_key: Arc<str>,
    pub(super) phase: JobPhase,
    /// Time of day of the end, 0 while the job is open.
    pub(super) ended_at_ms: u64,
    /// Work of the job: kept until it has ended and nothing of it may be running.
    pub(super) work: Option<Box<Work>>,
}

/// Specification and progress of a job.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// The job as it was accepted; its `spec` is moved to `spec` below.
    pub(super) submit: SubmitJob,
    pub(super) spec: Arc<str>,
    /// For each step, the steps that depend on it.
    pub(super) dependents: Vec<Vec<u32>>,
    /// Times of which a task was started and that are not done, or done with attempts not yet over.
    pub(super) times: BTreeMap<u32, JobRepeat>,
    pub(super) done_times: DoneTimes,
    /// Attempts that may be running.
    pub(super) active: u32,
    /// Whether a start of any task was ever intended.
    pub(super) started: bool,
}

/// Progress of one time.
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

    /// Host and path prefix under which the job is asked for.
    pub fn prefix_key(&self) -> &str {
        &self.prefix_key
    }

    /// Specification and progress; `None` once the job has ended and nothing of it may be running.
    pub fn work(&self) -> Option<&Work> {
        self.work.as_deref()
    }

    /// Specification and progress of a job that has not ended.
    pub fn open_work(&self) -> Option<&Work> {
        if self.phase == JobPhase::OPEN {
            self.work()
        } else {
            None
        }
    }

    /// Whether the job is open and no start of any task was ever intended.
    pub fn is_pending(&self) -> bool {
        self.open_work().is_some_and(|work| !work.started)
    }

    /// The state that clients are shown.
    pub fn state_text(&self) -> &'static str {
        match self.phase {
            JobPhase::OPEN if self.is_pending() => "pending",
            JobPhase::OPEN => "running",
            JobPhase::COMPLETED => "completed",
            JobPhase::JOB_FAILED => "failed",
            JobPhase::CANCELLED => "cancelled",
        }
    }
}

impl Work {
    /// The work of an accepted job, or `None` if its steps cannot be run: no step, a step without tasks, or one
    /// that depends on itself or a later step.
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
            times: BTreeMap::new(),
            done_times: DoneTimes::default(),
            active: 0,
            started: false,
        })
    }

    /// What was accepted. The `spec` of its `job` is empty: see `spec`.
    pub fn submit(&self) -> &SubmitJob {
        &self.submit
    }

    /// The text handed to workers.
    pub fn spec(&self) -> &Arc<str> {
        &self.spec
    }

    /// Steps and schedule.
    pub fn specification(&self) -> Option<&JobSpec> {
        self.submit.job.as_ref()
    }

    /// The steps.
    pub fn stages(&self) -> &[Stage] {
        self.submit.job.as_ref().map_or(&[], |specification| &specification.stages)
    }

    /// One step.
    pub fn stage(&self, step: u32) -> Option<&Stage> {
        self.stages().get(step as usize)
    }

    /// Whether the steps run at times of day.
    pub fn is_scheduled(&self) -> bool {
        self.specification().is_some_and(|specification| specification.repeat > 0)
    }

    /// How many times the steps run.
    pub fn repeat_count(&self) -> u32 {
        self.specification().map_or(1, |specification| specification.repeat.max(1))
    }

    /// Time of day in ms at which `time` falls due; 0 for a job that is not scheduled.
    pub fn due_ms(&self, time: u32) -> u64 {
        let Some(specification) = self.specification() else { return 0 };
        if specification.repeat == 0 {
            return specification.start_at_ms;
        }
        let offset = u64::from(time).saturating_mul(specification.interval_ms);
        specification.start_at_ms.saturating_add(offset)
    }

    /// Whether all tasks of `time` are done.
    pub fn is_repeat_done(&self, time: u32) -> bool {
        self.done_times.contains(time)
    }

    /// The least time at or after `time` that is not done; `repeat_count` or more if there is none.
    pub fn next_open_repeat(&self, time: u32) -> u32 {
        self.done_times.next_open(time)
    }

    /// The task, or `None` while it was never started or its time is done and gone.
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        let step = self.times.get(&key.time)?.steps.get(key.step as usize)?;
        step.tasks.get(key.index as usize)
    }

    /// The highest attempt of the task; of a gang's step, of all its members.
    pub fn last_attempt(&self, key: TaskKey) -> u32 {
        let is_gang = self.stage(key.step).is_some_and(|stage| stage.gang);
        if !is_gang {
            return self.task(key).map_or(0, |task| task.last_attempt);
        }
        self.step(key.step_key()).map_or(0, Step::last_attempt)
    }

    /// The checkpoint from which a start of the task resumes; a gang's members share one.
    pub fn checkpoint(&self, key: TaskKey) -> &str {
        let is_gang = self.stage(key.step).is_some_and(|stage| stage.gang);
        let owner = if is_gang { key.step_key().task(0) } else { key };
        self.task(owner).map_or("", |task| &task.checkpoint)
    }

    /// Whether the task is done, by itself or with its time.
    pub fn is_task_done(&self, key: TaskKey) -> bool {
        self.is_repeat_done(key.time) || self.task(key).is_some_and(|task| task.done)
    }

    /// How many tasks of the step are done.
    pub fn done_in_step(&self, key: StepKey) -> u32 {
        self.step(key).map_or(0, |step| step.done)
    }

    /// How many attempts of the step's tasks may be running.
    pub fn active_in_step(&self, key: StepKey) -> usize {
        self.step(key).map_or(0, Step::active)
    }

    /// The most failed runs that count of any of the step's tasks, or of its gang.
    pub fn failures_in_step(&self, key: StepKey) -> u32 {
        let Some(step) = self.step(key) else { return 0 };
        let single = step.tasks.iter().map(|task| task.failures).max().unwrap_or(0);
        single.max(step.gang_failures)
    }

    /// Whether the step's tasks may start as far as other steps matter, and are not all done.
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
        self.times.get(&key.time)?.steps.get(key.step as usize)
    }

    /// The progress of `time`, made on first use.
    pub(super) fn time_mut(&mut self, time: u32) -> &mut JobRepeat {
        let steps = self.stages().len();
        self.times.entry(time).or_insert_with(|| JobRepeat::new(steps))
    }

    /// All attempts that may be running, in order of their tasks.
    pub fn active_attempts(&self) -> impl Iterator<Item = (TaskKey, &Active)> + '_ {
        let job = self.submit.id;
        self.times.iter().flat_map(move |(time, progress)| {
            progress.steps.iter().enumerate().flat_map(move |(step, state)| {
                state.tasks.iter().enumerate().flat_map(move |(index, task)| {
                    let key = TaskKey { job, time: *time, step: step as u32, index: index as u32 };
                    task.active.iter().map(move |active| (key, active))
                })
            })
        })
    }

    /// Emits the steps of `time` that have become ready since `step` is done.
    pub(super) fn emit_ready_dependents(&self, key: StepKey, out: &mut Vec<StateChange>) {
        let Some(dependents) = self.dependents.get(key.step as usize) else { return };
        for step in dependents {
            let dependent = StepKey { step: *step, ..key };
            if self.is_step_ready(dependent) {
                out.push(StateChange::StepReady { step: dependent });
            }
        }
    }
}

impl JobRepeat {
    pub(super) fn new(steps: usize) -> Self {
        Self { steps: vec![Step::default(); steps], steps_done: 0, active: 0 }
    }
}
