//! Histories made by hand: a job of two steps whose runs violate no rule until a test changes the history.

use messages::job::{EndKind, JobSpec, Stage};
use scheduler::ids::{AttemptKey, TaskKey};
use simulation::history::{Answer, CallKind, ClientCall, ConfigurationOrder, History, Run, RunEnd, Span};
use simulation::oracle::{check, Rule};
use simulation::site::Site;
use simulation::time::SECOND;
use simulation::workload::{JobPlan, Queue, StepTruth};

/// Identifier of the job.
pub const JOB: u64 = 0x00c0_ffee;
/// Position of the job's queue. The queue allows two failures.
pub const QUEUE: usize = 3;
/// When the day ends.
pub const END: u64 = 60 * SECOND;

/// The key of a run.
pub fn key(step: u32, index: u32, attempt: u32) -> AttemptKey {
    AttemptKey { task: TaskKey { job: JOB, time: 0, step, index }, attempt }
}

/// A run on a healthy worker. The run has not ended.
pub fn run(key: AttemptKey, started_at: u64) -> Run {
    Run {
        key,
        worker: 1,
        instance: "i-001-1".to_owned(),
        service: Queue::ALL[QUEUE].service,
        labels: vec!["a".to_owned(), "r0-0".to_owned()],
        sender: 0,
        ordered_at: started_at,
        started_at,
        late: false,
        checkpoint: String::new(),
        spec_matches: true,
        checkpoint_matches: true,
        overload: None,
        step_tasks_on_worker: 1,
        gang_complete_at: None,
        end: None,
    }
}

/// The same run with an end that was recorded at once.
pub fn ended(mut run: Run, at: u64, how: EndKind) -> Run {
    run.end =
        Some(RunEnd { at, how: Some(how), sequence: 1, recorded_at: Some(at), recorded_after_lapse: None });
    run
}

/// A client's call about the job, with an answer.
pub fn call(kind: CallKind, sent_at: u64, answer: Answer) -> ClientCall {
    ClientCall {
        kind,
        job: JOB,
        prefix: Queue::ALL[QUEUE].prefix.to_owned(),
        edge: 100,
        sent_at,
        timeout: 3 * SECOND,
        answer: Some((sent_at + SECOND / 100, answer)),
    }
}

/// A read that shows the job in the given state.
pub fn read_showing(at: u64, state: &str) -> ClientCall {
    call(CallKind::Read, at, Answer::State(state.to_owned()))
}

/// A configuration change that was acknowledged.
pub fn configuration(version: u64, builds_on: u64, sent_at: u64) -> ConfigurationOrder {
    ConfigurationOrder {
        version,
        builds_on,
        body: format!("version {version}").into_bytes(),
        invalid: false,
        prefixes: vec![format!("/extra{version}/")],
        sent_at,
        acknowledged_at: Some(sent_at + SECOND / 10),
        accepted_at: Some(sent_at + SECOND / 20),
        refused: Vec::new(),
        repeats: Vec::new(),
        given_up_at: None,
    }
}

fn plan() -> JobPlan {
    let first = Stage { count: 2, cpu: 1_000, ..Stage::default() };
    let second = Stage { count: 1, cpu: 1_000, depends_on: vec![0], ..Stage::default() };
    JobPlan {
        id: JOB,
        queue: QUEUE,
        body: JobSpec { spec: "spec".to_owned(), stages: vec![first, second], ..JobSpec::default() },
        steps: vec![StepTruth::default(), StepTruth::default()],
        submit_at: 12 * SECOND,
        cancel_at: None,
        timeout: 3 * SECOND,
    }
}

/// A history in which the job is submitted, runs and completes without a violation.
pub fn valid_history() -> History {
    let mut history = History { ended_at: END, ..History::default() };
    history.traffic = Some(Span { from: 10 * SECOND, until: 44 * SECOND });
    history.jobs.insert(JOB, plan());
    history.calls.push(call(CallKind::Submit, 12 * SECOND, Answer::Done));
    history.runs.push(ended(run(key(0, 0, 1), 13 * SECOND), 14 * SECOND, EndKind::DONE));
    history.runs.push(ended(run(key(0, 1, 1), 13 * SECOND), 14 * SECOND, EndKind::DONE));
    history.runs.push(ended(run(key(1, 0, 1), 15 * SECOND), 16 * SECOND, EndKind::DONE));
    history.calls.push(read_showing(20 * SECOND, "completed"));
    history.calls.push(read_showing(58 * SECOND, "completed"));
    let configuration = configuration(1, 0, SECOND);
    history.read_back = Some(configuration.body.clone());
    history.configurations.push(configuration);
    history
}

/// The rules that a history violates.
pub fn violated_rules(history: &History) -> Vec<Rule> {
    let mut rules: Vec<Rule> =
        check(&Site::small(), history).iter().map(|violation| violation.rule).collect();
    rules.sort_unstable();
    rules.dedup();
    rules
}
