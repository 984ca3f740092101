//! The jobs of a day: what clients submit, and the actual work of the tasks, which only the workers know.

use fastrand::Rng;
use messages::job::{JobSpec, Stage};
use scheduler::ids::{AttemptKey, TaskKey};

use crate::site::Site;
use crate::time::{ms, DAY_BEGINS_MS, MS, SECOND};

/// Actual behaviour of a step's tasks.
#[derive(Clone, Debug, Default)]
pub struct StepTruth {
    /// Work of each task on a usual worker close to its data, in milliseconds.
    pub work_ms: Vec<u64>,
    /// Probability that a run fails through the fault of the job.
    pub fail_chance: f64,
    /// Every run of the step fails.
    pub poison: bool,
}

/// A job of the day.
#[derive(Clone, Debug)]
pub struct JobPlan {
    /// The identifier that the client chose.
    pub id: u64,
    /// Position of the job's queue in `Queue::ALL`.
    pub queue: usize,
    /// What the client submits.
    pub body: JobSpec,
    /// Actual behaviour of the steps.
    pub steps: Vec<StepTruth>,
    /// When the job is first submitted.
    pub submit_at: u64,
    /// When the client cancels the job.
    pub cancel_at: Option<u64>,
    /// How long the client waits for an answer, in nanoseconds.
    pub timeout: u64,
}

/// A queue of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Queue {
    /// Name of the queue's route.
    pub route: &'static str,
    /// Path prefix of the queue.
    pub prefix: &'static str,
    /// Position of the queue's service in the site.
    pub service: usize,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task that fails the job.
    pub max_retries: u32,
    /// Share of the queue in all jobs.
    share: f64,
    /// Mean number of steps of a job.
    steps: f64,
    /// Mean number of tasks of a step.
    width: f64,
    /// Mean work of a task, in milliseconds.
    work_ms: u64,
    /// Mean CPU need of a task, in thousandths of a core.
    cpu: u64,
    /// Mean memory need of a task, in MB.
    mem_mb: u64,
    /// Whether tasks need GPUs.
    gpu: bool,
    /// Fraction of the steps that are gangs.
    gang_share: f64,
    /// Fraction of the steps that save checkpoints.
    checkpoint_share: f64,
    /// Fraction of the steps that allow speculative copies of tasks.
    speculative_share: f64,
    /// Fraction of the jobs that have due times.
    timed_share: f64,
    /// Probability that a run fails.
    fail_chance: f64,
    /// Maximum number of tasks of a step.
    max_width: u32,
    /// Maximum number of members of a gang.
    max_gang: u32,
}

impl Queue {
    /// All queues, similar to those of the published sites.
    pub const ALL: [Queue; 4] = [
        Queue {
            route: "r-compile",
            prefix: "/compile/",
            service: 0,
            priority: 1,
            max_retries: 3,
            share: 0.2,
            steps: 3.0,
            width: 4.0,
            work_ms: 1_300,
            cpu: 6_300,
            mem_mb: 9_000,
            gpu: false,
            gang_share: 0.0,
            checkpoint_share: 0.0,
            speculative_share: 0.0,
            timed_share: 0.12,
            fail_chance: 0.005,
            max_width: 16,
            max_gang: 4,
        },
        Queue {
            route: "r-recon",
            prefix: "/recon/",
            service: 0,
            priority: 2,
            max_retries: 2,
            share: 0.1,
            steps: 2.0,
            width: 6.0,
            work_ms: 3_800,
            cpu: 5_200,
            mem_mb: 7_500,
            gpu: false,
            gang_share: 0.1,
            checkpoint_share: 0.8,
            speculative_share: 0.2,
            timed_share: 0.0,
            fail_chance: 0.03,
            max_width: 16,
            max_gang: 4,
        },
        Queue {
            route: "r-scan",
            prefix: "/scan/",
            service: 1,
            priority: 1,
            max_retries: 4,
            share: 0.2,
            steps: 1.5,
            width: 2.0,
            work_ms: 2_400,
            cpu: 21_000,
            mem_mb: 40_000,
            gpu: true,
            gang_share: 0.5,
            checkpoint_share: 0.7,
            speculative_share: 0.0,
            timed_share: 0.0,
            fail_chance: 0.03,
            max_width: 16,
            max_gang: 4,
        },
        Queue {
            route: "r-lookup",
            prefix: "/lookup/",
            service: 0,
            priority: 0,
            max_retries: 2,
            share: 0.5,
            steps: 1.0,
            width: 2.0,
            work_ms: 620,
            cpu: 2_200,
            mem_mb: 2_200,
            gpu: false,
            gang_share: 0.0,
            checkpoint_share: 0.0,
            speculative_share: 0.0,
            timed_share: 0.05,
            fail_chance: 0.03,
            max_width: 16,
            max_gang: 4,
        },
    ];

    /// The same queues with the mix of a large deployment: nearly all jobs have one step of a few short
    /// tasks, and the others are wide.
    pub const LARGE: [Queue; 4] = [
        Queue {
            share: 0.0164,
            steps: 4.0,
            width: 25.0,
            work_ms: 1_300,
            cpu: 12_000,
            mem_mb: 17_000,
            max_width: 150,
            ..Queue::ALL[0]
        },
        Queue {
            share: 0.0034,
            steps: 2.5,
            width: 70.0,
            work_ms: 4_700,
            cpu: 10_000,
            mem_mb: 19_000,
            gang_share: 0.0,
            fail_chance: 0.05,
            max_width: 420,
            ..Queue::ALL[1]
        },
        Queue {
            share: 0.0207,
            steps: 1.5,
            width: 15.0,
            work_ms: 3_800,
            cpu: 21_000,
            mem_mb: 73_000,
            fail_chance: 0.005,
            max_width: 90,
            ..Queue::ALL[2]
        },
        Queue {
            share: 0.9595,
            steps: 1.0,
            width: 4.5,
            work_ms: 620,
            cpu: 4_200,
            mem_mb: 4_300,
            fail_chance: 0.005,
            max_width: 27,
            ..Queue::ALL[3]
        },
    ];
}

/// Multiple of its longest chain of work that a job may take, in addition to its target latency (`Stretch`).
pub const STRETCH: f64 = 2.2;
/// Target latency of all queues (`TargetLatencyMs`).
pub const TARGET_LATENCY_MS: u64 = 1_000;
/// Fraction of the jobs that their clients cancel.
const CANCELLED_SHARE: f64 = 0.04;
/// Fraction of the jobs that can never complete.
const POISON_SHARE: f64 = 0.015;
/// Fraction of the jobs whose tasks run until the job is cancelled.
const LONG_RUNNING_SHARE: f64 = 0.02;
/// Fraction of the steps that require a label.
const CONSTRAINED_SHARE: f64 = 0.12;
/// Fraction of the steps whose data is on one rack.
const DATA_LOCAL_SHARE: f64 = 0.2;
/// Fraction of the steps that limit the number of their tasks on one worker.
const SPREAD_SHARE: f64 = 0.12;
/// Labels of consecutive workers of a service; the sequence repeats.
pub const WORKER_KINDS: [&str; 3] = ["a", "a", "b"];

/// Draws a job of a queue that is first submitted at `submit_at`.
pub fn make_job(site: &Site, queue: usize, submit_at: u64, rng: &mut Rng) -> JobPlan {
    let kind = &site.queues[queue];
    let steps = draw_count(kind.steps, rng).min(6);
    let long_running = rng.f64() < LONG_RUNNING_SHARE;
    let poison = rng.f64() < POISON_SHARE;
    let timed = !long_running && rng.f64() < kind.timed_share;
    let mut body = JobSpec { spec: format!("spec-{:08x}", rng.u32(..)), ..JobSpec::default() };
    let mut truths = Vec::new();
    for step in 0..steps {
        let stage = make_stage(site, kind, step, long_running, rng);
        truths.push(make_truth(kind, &stage, poison && step == 0, rng));
        body.stages.push(stage);
    }
    if timed {
        body.repeat = rng.u32(2..4);
        body.interval_ms = rng.u64(1_000..3_000);
        body.start_at_ms = DAY_BEGINS_MS + submit_at / MS + rng.u64(500..3_000);
    }
    let cancels = long_running || rng.f64() < CANCELLED_SHARE;
    let cancel_at = cancels.then(|| submit_at + ms(rng.u64(300..8_000)));
    JobPlan { id: rng.u64(..), queue, body, steps: truths, submit_at, cancel_at, timeout: ms(3_000) }
}

fn draw_count(mean: f64, rng: &mut Rng) -> u32 {
    let drawn = mean * (0.4 + 1.2 * rng.f64());
    (drawn.round() as u32).max(1)
}

fn vary(mean: u64, rng: &mut Rng) -> u64 {
    (mean as f64 * (0.5 + rng.f64())) as u64
}

fn make_stage(site: &Site, kind: &Queue, step: u32, long_running: bool, rng: &mut Rng) -> Stage {
    let service = &site.services[kind.service];
    let gang = !long_running && rng.f64() < kind.gang_share;
    let mut count = draw_count(kind.width, rng).min(kind.max_width);
    if gang {
        count = count.clamp(2, kind.max_gang);
    }
    let mut stage = Stage {
        count,
        cpu: vary(kind.cpu, rng).min(service.available.cpu / 2),
        mem_mb: vary(kind.mem_mb, rng).min(service.available.mem_mb / 2),
        est_runtime_ms: vary(kind.work_ms, rng),
        checkpoints: rng.f64() < kind.checkpoint_share,
        gang,
        rack_local: gang && rng.f64() < 0.5,
        speculative: !gang && !long_running && rng.f64() < kind.speculative_share,
        long_running,
        ..Stage::default()
    };
    if kind.gpu {
        stage.gpu = [1, 2, 4][rng.usize(0..3)];
    }
    if step > 0 {
        stage.depends_on.push(rng.u32(0..step));
    }
    if rng.f64() < CONSTRAINED_SHARE {
        stage.constraint = WORKER_KINDS[rng.usize(0..WORKER_KINDS.len())].to_owned();
    }
    if rng.f64() < DATA_LOCAL_SHARE {
        let racks = service.workers.div_ceil(service.rack_size);
        stage.affinity = rack_name(kind.service, rng.usize(0..racks));
    }
    if !gang && rng.f64() < SPREAD_SHARE {
        stage.anti_affinity = rng.u32(1..4);
    }
    stage
}

/// Name of a rack of a service.
pub fn rack_name(service: usize, rack: usize) -> String {
    format!("r{service}-{rack}")
}

fn make_truth(kind: &Queue, stage: &Stage, poison: bool, rng: &mut Rng) -> StepTruth {
    let base = vary(kind.work_ms, rng).max(50);
    let work_ms = (0..stage.count).map(|_| base + rng.u64(0..=base / 4)).collect();
    StepTruth { work_ms, fail_chance: kind.fail_chance, poison }
}

/// Draws the jobs of a day, in the order of submission.
pub fn make_day(site: &Site, seed: u64) -> Vec<JobPlan> {
    let mut rng = Rng::with_seed(seed);
    let mut jobs = Vec::new();
    let mut at = site.traffic_start;
    while at < site.traffic_start + site.traffic_length {
        jobs.push(make_job(site, draw_queue(site, &mut rng), at, &mut rng));
        let mean_gap = SECOND as f64 / (site.jobs_per_s * site.load_at(at));
        at += (mean_gap * 2.0 * rng.f64()) as u64;
    }
    jobs
}

/// Adds the jobs of the site that are not drawn. Their tasks work as long as the client estimates.
pub fn add_jobs(site: &Site, jobs: &mut Vec<JobPlan>, rng: &mut Rng) {
    for added in &site.added_jobs {
        let truth = |stage: &Stage| StepTruth {
            work_ms: vec![stage.est_runtime_ms; stage.count as usize],
            ..StepTruth::default()
        };
        jobs.push(JobPlan {
            id: rng.u64(..),
            queue: added.queue,
            body: added.body.clone(),
            steps: added.body.stages.iter().map(truth).collect(),
            submit_at: added.at,
            cancel_at: None,
            timeout: ms(3_000),
        });
    }
}

/// Draws a queue according to the shares.
pub fn draw_queue(site: &Site, rng: &mut Rng) -> usize {
    let mut remaining = rng.f64();
    for (position, queue) in site.queues.iter().enumerate() {
        remaining -= queue.share;
        if remaining < 0.0 {
            return position;
        }
    }
    Queue::ALL.len() - 1
}

impl JobPlan {
    /// Number of repetitions of the job's steps.
    pub fn times(&self) -> u32 {
        self.body.repeat.max(1)
    }

    /// Due time of a repetition, in milliseconds since 1970; 0 means at once.
    pub fn due_ms(&self, time: u32) -> u64 {
        if self.body.repeat == 0 {
            return 0;
        }
        self.body.start_at_ms + u64::from(time) * self.body.interval_ms
    }

    /// Amount of work after which a run fails through the fault of the job, in milliseconds; `None` if it
    /// does not fail.
    pub fn fails_after_ms(&self, key: &AttemptKey, work_ms: u64) -> Option<u64> {
        let truth = self.steps.get(key.task.step as usize)?;
        let mut rng = Rng::with_seed(self.id ^ run_seed(key));
        let fails = truth.poison || rng.f64() < truth.fail_chance;
        fails.then(|| (work_ms as f64 * (0.2 + 0.7 * rng.f64())) as u64)
    }

    /// Whether the job can never complete because every run of one of its steps fails.
    pub fn is_poison(&self) -> bool {
        self.steps.iter().any(|step| step.poison)
    }

    /// Whether the job's tasks run until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.body.stages.iter().any(|stage| stage.long_running)
    }
}

fn run_seed(key: &AttemptKey) -> u64 {
    let task = &key.task;
    // The members of a gang draw independently; one failing member breaks the whole gang.
    let place = u64::from(task.time) << 40 | u64::from(task.step) << 24 | u64::from(task.index);
    place.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(key.attempt)
}

impl JobPlan {
    /// The tasks of a step in one repetition.
    pub fn step_tasks(&self, time: u32, step: u32) -> impl Iterator<Item = TaskKey> + use<> {
        let (job, count) = (self.id, self.body.stages.get(step as usize).map_or(0, |stage| stage.count));
        (0..count).map(move |index| TaskKey { job, time, step, index })
    }

    /// All tasks of all repetitions.
    pub fn all_tasks(&self) -> impl Iterator<Item = TaskKey> + '_ {
        let steps = self.body.stages.len() as u32;
        (0..self.times()).flat_map(move |time| (0..steps).flat_map(move |step| self.step_tasks(time, step)))
    }
}
