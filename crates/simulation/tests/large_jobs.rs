//! Days with a job far larger than those that are drawn, on which the work of core processes takes processor
//! time.

use messages::job::{JobSpec, Stage};
use simulation::history::{Answer, CallKind, History};
use simulation::oracle;
use simulation::processor::Processor;
use simulation::script::{FaultKind, InjectedFault, Script, Target};
use simulation::site::{AddedJob, Site};
use simulation::time::{MS, SECOND};
use simulation::world::World;

/// Share of a processor core that a core machine has.
const SHARE: f64 = 0.48;
const TRAFFIC_NS: u64 = 12 * SECOND;
/// The queue of the first service with the lowest priority.
const BATCH_QUEUE: usize = 1;

fn site(added_jobs: Vec<AddedJob>) -> Site {
    let processor = Some(Processor { share: SHARE, slowness: 1.0 });
    Site { processor, traffic_length: TRAFFIC_NS, added_jobs, ..Site::small() }
}

fn play(site: &Site, seed: u64) -> (History, Vec<String>) {
    let history = World::new(site.clone(), Script::calm(seed)).play();
    let violations = oracle::check(site, &history).iter().map(ToString::to_string).collect();
    (history, violations)
}

fn is_accepted(history: &History, body: &JobSpec) -> bool {
    let is_added = |job: u64| history.jobs.get(&job).is_some_and(|plan| plan.body == *body);
    let accepted = |answer: &Option<(u64, Answer)>| matches!(answer, Some((_, Answer::Done)));
    history
        .calls
        .iter()
        .any(|call| call.kind == CallKind::Submit && accepted(&call.answer) && is_added(call.job))
}

/// Each leader in turn stepped down over queueing all due occurrences of one job.
#[test]
fn scheduled_job_with_ten_thousand_due_occurrences_costs_no_leader() {
    let stage = Stage { count: 3_000, cpu: 4_000, mem_mb: 16, est_runtime_ms: 2_000, ..Stage::default() };
    let body = JobSpec {
        spec: "text".to_owned(),
        repeat: 10_000,
        interval_ms: 1_000,
        stages: vec![stage],
        ..JobSpec::default()
    };
    let at = Site::small().traffic_start + SECOND;
    let site = site(vec![AddedJob { at, queue: BATCH_QUEUE, body: body.clone() }]);
    let (history, violations) = play(&site, 1);
    assert!(is_accepted(&history, &body));
    let led: Vec<u64> =
        history.leader_changes.iter().filter(|change| change.leads).map(|change| change.term).collect();
    assert_eq!(led.len(), 1, "terms {led:?}");
    assert_eq!(violations, Vec::<String>::new());
}

/// Longest time that a job of the first priority may have nothing running in calm, with room free.
const MAX_WAIT_NS: u64 = 3 * SECOND;
/// The queue of the first priority.
const URGENT_QUEUE: usize = 3;

/// Longest time from the acceptance of an urgent job without due times, accepted in `from..until`, to its first run.
fn longest_urgent_wait(history: &History, from: u64, until: u64) -> u64 {
    let mut longest = 0;
    for call in history.calls.iter().filter(|call| call.kind == CallKind::Submit) {
        let Some((accepted_at, Answer::Done)) = call.answer else { continue };
        let plan = &history.jobs[&call.job];
        if plan.queue != URGENT_QUEUE || plan.body.repeat > 0 || !(from..until).contains(&accepted_at) {
            continue;
        }
        let runs = history.runs.iter().filter(|run| run.key.task.job == call.job);
        let first_run = runs.map(|run| run.started_at).min().unwrap_or(u64::MAX);
        longest = longest.max(first_run.saturating_sub(accepted_at));
    }
    longest
}

/// The next leader cleared up thousands of starts that had been committed and never sent, and nothing else started
/// for many seconds.
#[test]
fn urgent_jobs_start_in_time_after_the_loss_of_a_leader_that_starts_bulk_jobs() {
    let stage = Stage { count: 9_900, cpu: 4, mem_mb: 1, est_runtime_ms: 1_000, ..Stage::default() };
    let body = JobSpec { spec: "text".to_owned(), stages: vec![stage], ..JobSpec::default() };
    let at = Site::small().traffic_start + SECOND;
    let added_jobs = [0, 0, 1].map(|queue| AddedJob { at, queue, body: body.clone() });
    let mut site = site(added_jobs.to_vec());
    site.services[0].workers = 4;
    let killed_at = at + 2 * SECOND;
    let kill = FaultKind::CoreKill(Target::Leader);
    let kill = InjectedFault { at: killed_at, lasts: SECOND, kind: kill, pick: 1 };
    let history = World::new(site.clone(), Script { faults: vec![kill], ..Script::calm(3) }).play();
    let violations: Vec<String> = oracle::check(&site, &history).iter().map(ToString::to_string).collect();
    assert_eq!(violations, Vec::<String>::new());
    let traffic_ends = site.traffic_start + site.traffic_length;
    let waited = longest_urgent_wait(&history, killed_at + 4 * SECOND, traffic_ends);
    assert!(waited < MAX_WAIT_NS, "{} ms", waited / MS);
}
