//! Days on which clients count pending jobs while workers refuse starts or do not answer them.

use messages::job::{JobSpec, Stage};
use simulation::day::play;
use simulation::script::{FaultKind, InjectedFault, Script, Target};
use simulation::site::{AddedJob, Site};
use simulation::time::{ms, SECOND};

/// The queue of the second service, of which few other jobs come.
const QUEUE: usize = 2;
const JOBS: u64 = 12;
const FAULT_NS: u64 = 9 * SECOND;

/// The small deployment with a single worker in the second service, and jobs that come once that worker is at fault.
fn site(stage: &Stage) -> Site {
    let mut site = Site { count_interval: Some(ms(200)), ..Site::small() };
    site.services[1].workers = 1;
    let body = JobSpec { spec: "text".to_owned(), stages: vec![stage.clone()], ..JobSpec::default() };
    let at = site.traffic_start + 2 * SECOND + ms(200);
    site.added_jobs = (0..JOBS).map(|_| AddedJob { at, queue: QUEUE, body: body.clone() }).collect();
    site
}

fn violations(site: &Site, kind: FaultKind, pick: u64, leader_is_killed: bool) -> Vec<String> {
    let at = site.traffic_start + 2 * SECOND;
    let mut faults = vec![InjectedFault { at, lasts: FAULT_NS, kind, pick }];
    if leader_is_killed {
        let kind = FaultKind::CoreKill(Target::Leader);
        faults.push(InjectedFault { at: at + SECOND, lasts: SECOND, kind, pick: 1 });
    }
    let script = Script { faults, ..Script::calm(pick) };
    play(site, &script, false).violations.iter().map(ToString::to_string).collect()
}

/// Jobs counted as begun from the commit of their first start on, though every start was refused or got no answer.
#[test]
fn counts_hold_jobs_whose_starts_have_no_effect() {
    let single = Stage { count: 1, cpu: 1_000, mem_mb: 64, est_runtime_ms: 500, ..Stage::default() };
    let gang = Stage { count: 3, gang: true, ..single.clone() };
    for stage in [single, gang] {
        let site = site(&stage);
        for kind in [FaultKind::WorkerBusy, FaultKind::WorkerHang, FaultKind::WorkerPartitionFromCore] {
            for (pick, leader_is_killed) in [(9, false), (19, true), (7, true)] {
                let violations = violations(&site, kind, pick, leader_is_killed);
                assert_eq!(violations, Vec::<String>::new(), "{kind:?} {pick} {stage:?}");
            }
        }
    }
}
