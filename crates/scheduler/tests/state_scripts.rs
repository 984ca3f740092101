//! Applies random commands to the replicated state and checks its invariants. A second state, restored from a
//! snapshot after every third command, must report the same changes.

mod commands;

use std::collections::{BTreeMap, BTreeSet};

use commands::*;
use messages::job::mod_Command::OneOfkind;
use messages::job::{EndKind, JobSpec, SchedulerSnapshot, Stage};
use quickcheck::quickcheck;
use scheduler::ids::{AttemptKey, TaskKey};
use scheduler::state::{State, StateChange};

const JOBS: u64 = 4;
const INSTANCES: [&str; 3] = ["w", "v", "u"];
const KINDS: [EndKind; 6] =
    [EndKind::DONE, EndKind::FAILED, EndKind::STOPPED, EndKind::LAPSED, EndKind::BROKEN, EndKind::ALONE];

/// Four random numbers that determine one command.
type Draw = (u8, u8, u8, u8);

/// Jobs by ID: steps with dependencies, a gang, speculative and long-running tasks, and a scheduled job.
fn job_spec(id: u64) -> JobSpec {
    match id {
        0 => job(vec![stage(2), stage_after(2, &[0]), stage_after(1, &[0, 1])]),
        1 => job(vec![Stage { gang: true, ..stage(3) }, stage_after(1, &[0])]),
        2 => job(vec![Stage { speculative: true, ..stage(2) }, Stage { long_running: true, ..stage(1) }]),
        _ => JobSpec {
            repeat: 3,
            interval_ms: 10,
            ..job(vec![stage(1), Stage { gang: true, ..stage_after(2, &[0]) }])
        },
    }
}

fn task_of_draw(draw: Draw) -> TaskKey {
    TaskKey {
        job: u64::from(draw.1) % JOBS,
        time: u32::from(draw.2 >> 4) % 4,
        step: u32::from(draw.2) % 3,
        index: u32::from(draw.3) % 3,
    }
}

/// Generates commands. Keeps the end sequence of each worker and the clock.
#[derive(Default)]
struct CommandGenerator {
    sequences: BTreeMap<&'static str, u64>,
    clock_ms: u64,
}

impl CommandGenerator {
    fn command(&mut self, state: &State, draw: Draw) -> OneOfkind {
        let id = u64::from(draw.1) % JOBS;
        let task = task_of_draw(draw);
        let instance = INSTANCES[usize::from(draw.3 >> 4) % INSTANCES.len()];
        let attempt = state.open_work(id).map_or(1, |work| work.last_attempt(task) + 1);
        match draw.0 % 16 {
            0 | 1 => submit(id, job_spec(id)),
            2 => cancel(id),
            3 => {
                self.clock_ms += u64::from(draw.2) * 5_000;
                set_clock(self.clock_ms)
            }
            4..=8 => {
                let gang = job_spec(id)
                    .stages
                    .get(task.step as usize)
                    .filter(|stage| stage.gang)
                    .map(|stage| stage.count);
                let tasks: Vec<TaskKey> = match gang {
                    Some(count) => (0..count).map(|index| TaskKey { index, ..task }).collect(),
                    None => vec![task],
                };
                start_on_worker(&tasks, attempt, instance)
            }
            9 => resolve_expired_lease(instance, task, attempt.saturating_sub(1), "r"),
            10 => store_configuration(
                &format!("{}", draw.2 % 4),
                u64::from(draw.2),
                state.configuration_version(),
            ),
            _ => {
                let sequence = self.sequences.entry(instance).or_default();
                *sequence += u64::from(draw.1 % 2);
                let kind = KINDS[usize::from(draw.0) % KINDS.len()];
                let mut end = worker_end(*sequence, task, attempt.saturating_sub(1), kind);
                end.counted = draw.2 % 5 != 0;
                end.checkpoint = format!("c{sequence}");
                record_worker_ends(instance, vec![end])
            }
        }
    }
}

/// Checks invariants over all changes so far.
#[derive(Default)]
struct InvariantChecker {
    last_attempts: BTreeMap<TaskKey, u32>,
    active: BTreeSet<AttemptKey>,
    done: BTreeSet<TaskKey>,
    ended: BTreeSet<u64>,
}

impl InvariantChecker {
    fn observe(&mut self, change: &StateChange) -> Result<(), String> {
        match change {
            StateChange::AttemptStarted { key, .. } => self.started(*key),
            StateChange::AttemptFinished { key, .. } if !self.active.remove(key) => {
                Err(format!("{key:?} finished twice"))
            }
            StateChange::TaskDone { task } if !self.done.insert(*task) => {
                Err(format!("{task} was done twice"))
            }
            StateChange::JobEnded { job, .. } if !self.ended.insert(*job) => {
                Err(format!("{job} ended twice"))
            }
            StateChange::JobForgotten { job } => {
                self.ended.remove(job);
                self.done.retain(|task| task.job != *job);
                self.last_attempts.retain(|task, _| task.job != *job);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn started(&mut self, key: AttemptKey) -> Result<(), String> {
        let job_spec = job_spec(key.task.job);
        let speculative = job_spec.stages[key.task.step as usize].speculative;
        let last_attempt = self.last_attempts.insert(key.task, key.attempt).unwrap_or(0);
        if key.attempt <= last_attempt {
            return Err(format!("the attempt of {key:?} is not above {last_attempt}"));
        }
        if self.done.contains(&key.task) || self.ended.contains(&key.task.job) {
            return Err(format!("{key:?} started although the task is done or the job has ended"));
        }
        if !speculative && self.active.iter().any(|active| active.task == key.task) {
            return Err(format!("{key:?} started while another attempt of the task is active"));
        }
        self.active.insert(key);
        Ok(())
    }

    /// Compares the active attempts and the counts of the state with the changes observed so far.
    fn check_counts(&self, state: &State) -> Result<(), String> {
        let mut active = BTreeSet::new();
        for (_, job) in state.jobs() {
            let Some(work) = job.work() else { continue };
            active.extend(
                work.active_attempts()
                    .map(|(task, active_attempt)| AttemptKey { task, attempt: active_attempt.attempt }),
            );
        }
        if active != self.active {
            return Err(format!("active {active:?} but {:?} were reported", self.active));
        }
        let occupied: u32 = state.workers().map(|worker| worker.active).sum();
        let pending = state.jobs().filter(|(_, job)| job.is_pending()).count() as u64;
        if occupied as usize != active.len() || pending != state.pending_jobs(PREFIX) {
            return Err(format!("{occupied} occupied, {} active, {pending} pending", active.len()));
        }
        Ok(())
    }
}

fn restore_from_snapshot(state: &State) -> Result<State, String> {
    let snapshot = state.snapshot();
    let decoded: SchedulerSnapshot =
        messages::decode(&messages::encode(&snapshot)).map_err(|error| error.to_string())?;
    let restored = State::restore(&decoded).expect("a complete snapshot");
    if restored.snapshot() != snapshot {
        return Err(format!("{snapshot:?} was restored as {:?}", restored.snapshot()));
    }
    Ok(restored)
}

fn run_script(script: Vec<Draw>) -> Result<(), String> {
    let (mut state, mut restored) = (State::new(), State::new());
    let (mut generator, mut checker) = (CommandGenerator::default(), InvariantChecker::default());
    for (number, draw) in script.into_iter().enumerate() {
        let command = generator.command(&state, draw);
        let applied = apply(&mut state, command.clone());
        let applied_to_restored = apply(&mut restored, command.clone());
        if applied != applied_to_restored {
            return Err(format!(
                "after {command:?}: {applied:?}, but {applied_to_restored:?} in the restored state"
            ));
        }
        for change in &applied {
            checker.observe(change)?;
        }
        checker.check_counts(&state)?;
        if number % 3 == 0 {
            restored = restore_from_snapshot(&state)?;
        }
    }
    Ok(())
}

quickcheck! {
    fn random_commands_keep_invariants(script: Vec<Draw>) -> Result<bool, String> {
        run_script(script).map(|()| true)
    }
}

/// Runs longer command sequences than quickcheck generates, from fixed seeds.
#[test]
fn long_command_sequences_keep_invariants() {
    for seed in 0..60 {
        let mut random = fastrand::Rng::with_seed(seed);
        let script =
            (0..1_500).map(|_| (random.u8(..), random.u8(..), random.u8(..), random.u8(..))).collect();
        if let Err(error) = run_script(script) {
            panic!("seed {seed}: {error}");
        }
    }
}
