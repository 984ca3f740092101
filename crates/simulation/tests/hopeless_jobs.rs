//! Days on which jobs come that no worker can ever run.

use messages::job::{JobSpec, Stage};
use simulation::day::play;
use simulation::script::{FaultKind, InjectedFault, Script, Target};
use simulation::site::{AddedJob, Site};
use simulation::time::{ms, SECOND};

/// More jobs than a scan of a queue examines.
const HOPELESS: u64 = 60;

/// The small deployment. In each of the first service's queues, jobs come that ask for a label of no worker.
fn site() -> Site {
    let mut site = Site::small();
    let stage = Stage {
        count: 2,
        cpu: 500,
        mem_mb: 256,
        est_runtime_ms: 300,
        constraint: "no-such-label".to_owned(),
        ..Stage::default()
    };
    let body = JobSpec { spec: "text".to_owned(), stages: vec![stage], ..JobSpec::default() };
    for number in 0..HOPELESS {
        let at = site.traffic_start + ms(50) * number;
        site.added_jobs.extend([0, 1, 3].map(|queue| AddedJob { at, queue, body: body.clone() }));
    }
    site
}

fn assert_no_violation(script: &Script) {
    let report = play(&site(), script, false);
    let violations: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert_eq!(violations, Vec::<String>::new(), "{script:?}");
}

/// From the 32nd such job on, no job of the queue was started.
#[test]
fn hopeless_jobs_hide_no_other_jobs() {
    assert_no_violation(&Script::calm(1));
}

#[test]
fn new_leader_finds_the_jobs_behind_hopeless_ones() {
    let at = site().traffic_start + 8 * SECOND;
    let kill = InjectedFault { at, lasts: SECOND, kind: FaultKind::CoreKill(Target::Leader), pick: 1 };
    assert_no_violation(&Script { faults: vec![kill], ..Script::calm(2) });
}
