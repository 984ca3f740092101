//! Random commands: invariants of the state, and a twin that is restored from snapshots all the time.

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

/// One command, drawn by four numbers.
type Draw = (u8, u8, u8, u8);

/// The shape of each job: plain with dependencies, gang, speculative and long-running, scheduled.
fn shape(id: u64) -> JobSpec {
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

fn drawn_task(draw: Draw) -> TaskKey {
    TaskKey {
        job: u64::from(draw.1) % JOBS,
        time: u32::from(draw.2 >> 4) % 4,
        step: u32::from(draw.2) % 3,
        index: u32::from(draw.3) % 3,
    }
}

/// What the script knows of attempts and ends.
#[derive(Default)]
struct Author {
    sequences: BTreeMap<&'static str, u64>,
    clock_ms: u64,
}

impl Author {
    fn command(&mut self, state: &State, draw: Draw) -> OneOfkind {
        let id = u64::from(draw.1) % JOBS;
        let task = drawn_task(draw);
        let instance = INSTANCES[usize::from(draw.3 >> 4) % INSTANCES.len()];
        let attempt = state.open_work(id).map_or(1, |work| work.last_attempt(task) + 1);
        match draw.0 % 16 {
            0 | 1 => submit(id, shape(id)),
            2 => cancel(id),
            3 => {
                self.clock_ms += u64::from(draw.2) * 5_000;
                clock(self.clock_ms)
            }
            4..=8 => {
                let gang = shape(id)
                    .stages
                    .get(task.step as usize)
                    .filter(|stage| stage.gang)
                    .map(|stage| stage.count);
                let tasks: Vec<TaskKey> = match gang {
                    Some(count) => (0..count).map(|index| TaskKey { index, ..task }).collect(),
                    None => vec![task],
                };
                start(&tasks, attempt, instance)
            }
            9 => resolve(instance, task, attempt.saturating_sub(1), "r"),
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
                ends(instance, vec![end])
            }
        }
    }
}

/// Invariants over all changes so far.
#[derive(Default)]
struct Watch {
    last_attempts: BTreeMap<TaskKey, u32>,
    active: BTreeSet<AttemptKey>,
    done: BTreeSet<TaskKey>,
    ended: BTreeSet<u64>,
}

impl Watch {
    fn observe(&mut self, change: &StateChange) -> Result<(), String> {
        match change {
            StateChange::AttemptStarted { key, .. } => self.started(*key),
            StateChange::AttemptFinished { key, .. } if !self.active.remove(key) => {
                Err(format!("{key:?} was over before"))
            }
            StateChange::TaskDone { task } if !self.done.insert(*task) => {
                Err(format!("{task} was done before"))
            }
            StateChange::JobEnded { job, .. } if !self.ended.insert(*job) => {
                Err(format!("{job} had ended before"))
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
        let shape = shape(key.task.job);
        let speculative = shape.stages[key.task.step as usize].speculative;
        let last = self.last_attempts.insert(key.task, key.attempt).unwrap_or(0);
        if key.attempt <= last {
            return Err(format!("{key:?} is not above {last}"));
        }
        if self.done.contains(&key.task) || self.ended.contains(&key.task.job) {
            return Err(format!("{key:?} starts though it is done or its job has ended"));
        }
        if !speculative && self.active.iter().any(|active| active.task == key.task) {
            return Err(format!("{key:?} is the second at one time"));
        }
        self.active.insert(key);
        Ok(())
    }

    /// The state's own counts agree.
    fn agrees(&self, state: &State) -> Result<(), String> {
        let mut active = BTreeSet::new();
        for (_, job) in state.jobs() {
            let Some(work) = job.work() else { continue };
            active
                .extend(work.active_attempts().map(|(task, one)| AttemptKey { task, attempt: one.attempt }));
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

fn round_trip(state: &State) -> Result<State, String> {
    let snapshot = state.snapshot();
    let decoded: SchedulerSnapshot =
        messages::decode(&messages::encode(&snapshot)).map_err(|error| error.to_string())?;
    let restored = State::restore(&decoded).expect("a complete snapshot");
    if restored.snapshot() != snapshot {
        return Err(format!("{snapshot:?} was restored as {:?}", restored.snapshot()));
    }
    Ok(restored)
}

fn play(script: Vec<Draw>) -> Result<(), String> {
    let (mut state, mut twin) = (State::new(), State::new());
    let (mut author, mut watch) = (Author::default(), Watch::default());
    for (number, draw) in script.into_iter().enumerate() {
        let command = author.command(&state, draw);
        let applied = apply(&mut state, command.clone());
        let of_twin = apply(&mut twin, command.clone());
        if applied != of_twin {
            return Err(format!("after {command:?}: {applied:?}, but of the twin {of_twin:?}"));
        }
        for change in &applied {
            watch.observe(change)?;
        }
        watch.agrees(&state)?;
        if number % 3 == 0 {
            twin = round_trip(&state)?;
        }
    }
    Ok(())
}

quickcheck! {
    fn random_commands_keep_the_invariants(script: Vec<Draw>) -> Result<bool, String> {
        play(script).map(|()| true)
    }
}

/// Longer scripts than quickcheck draws by itself, from fixed seeds.
#[test]
fn long_scripts_keep_the_invariants() {
    for seed in 0..60 {
        let mut random = fastrand::Rng::with_seed(seed);
        let script =
            (0..1_500).map(|_| (random.u8(..), random.u8(..), random.u8(..), random.u8(..))).collect();
        if let Err(error) = play(script) {
            panic!("seed {seed}: {error}");
        }
    }
}
