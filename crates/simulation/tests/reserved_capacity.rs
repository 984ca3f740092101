//! Days on which large tasks, tasks that last and small tasks of one label wait beside each other.

use fastrand::Rng;
use messages::job::{JobSpec, Stage};
use simulation::day::play;
use simulation::script::Script;
use simulation::site::{AddedJob, Site};
use simulation::time::{ms, SECOND};
use simulation::workload::WORKER_KINDS;

/// Seeds that each test run simulates.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;
/// Queues of the first service: of the second, the third and the first priority.
const QUEUES: [usize; 3] = [0, 1, 3];
/// Cores of the workers of the deployment, in thousandths.
const WORKER_SIZES: [u64; 3] = [16_000, 32_000, 64_000];

fn stage(cpu: u64, est_runtime_ms: u64) -> Stage {
    Stage { count: 1, cpu, mem_mb: 256, est_runtime_ms, ..Stage::default() }
}

/// Draws a stage: small, large, or lasting, each with or without a label.
fn draw_stage(rng: &mut Rng) -> Stage {
    let mut stage = match rng.u8(..10) {
        0 | 1 => Stage { long_running: true, ..stage(rng.u64(500..3_000), 300) },
        2 => stage(rng.u64(500..3_000), 60_000),
        3..=5 => stage(WORKER_SIZES[rng.usize(..3)] - rng.u64(0..500), rng.u64(200..4_000)),
        _ => stage(rng.u64(500..4_000), rng.u64(200..3_000)),
    };
    if rng.bool() {
        stage.constraint = WORKER_KINDS[rng.usize(..WORKER_KINDS.len())].to_owned();
    }
    stage
}

fn site(seed: u64) -> Site {
    let mut rng = Rng::with_seed(seed);
    let mut site = Site { jobs_per_s: 0.5, traffic_length: 24 * SECOND, ..Site::small() };
    site.services[0].workers = rng.usize(3..6);
    for _ in 0..rng.usize(15..60) {
        let at = site.traffic_start + rng.u64(0..ms(20_000));
        let stages = vec![draw_stage(&mut rng)];
        let body = JobSpec { spec: "text".to_owned(), stages, ..JobSpec::default() };
        site.added_jobs.push(AddedJob { at, queue: QUEUES[rng.usize(..QUEUES.len())], body });
    }
    site
}

/// Reservations without an end, and those whose end woke nobody, left small jobs waiting beside free capacity.
#[test]
fn no_job_stays_idle_beside_capacity_that_is_reserved_or_was() {
    for seed in SEEDS {
        let report = play(&site(seed), &Script::calm(seed), false);
        let violations: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    }
}
