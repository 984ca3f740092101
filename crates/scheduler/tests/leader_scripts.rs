//! Random faults over random jobs: no start breaks a rule, and once the faults are over every job ends.

mod cluster;

use cluster::{Cluster, DAY_START_MS, MS};
use messages::job::{JobSpec, Stage};
use scheduler::state::State;

const WORKERS: usize = 6;
const FIRST_JOB: u64 = 0x1000;

fn stage(random: &mut fastrand::Rng) -> Stage {
    Stage {
        count: random.u32(1..6),
        cpu: random.u64(1..4) * 500,
        mem_mb: 128,
        est_runtime_ms: random.u64(100..2_500),
        checkpoints: random.bool(),
        gang: random.u8(..5) == 0,
        speculative: random.u8(..6) == 0,
        anti_affinity: if random.u8(..5) == 0 { 2 } else { 0 },
        ..Stage::default()
    }
}

fn job(random: &mut fastrand::Rng, now_ms: u64) -> JobSpec {
    let mut stages = Vec::new();
    for step in 0..random.u32(1..4) {
        let mut stage = stage(random);
        if step > 0 && random.bool() {
            stage.depends_on = vec![random.u32(..step)];
        }
        stages.push(stage);
    }
    let mut job = JobSpec { spec: "text".to_owned(), stages, ..JobSpec::default() };
    if random.u8(..5) == 0 {
        job.repeat = random.u32(1..4);
        job.start_at_ms = now_ms + random.u64(..2_000);
        job.interval_ms = random.u64(100..2_000);
    }
    job
}

struct Play {
    cluster: Cluster,
    random: fastrand::Rng,
    jobs: Vec<u64>,
    workers: usize,
}

impl Play {
    fn new(seed: u64) -> Self {
        let mut cluster = Cluster::new(WORKERS);
        cluster.set_seed(seed);
        Self { cluster, random: fastrand::Rng::with_seed(seed), jobs: Vec::new(), workers: WORKERS }
    }

    fn any_worker(&mut self) -> String {
        let up: Vec<&String> =
            self.cluster.workers.iter().filter(|(_, worker)| worker.is_up).map(|(id, _)| id).collect();
        up[self.random.usize(..up.len())].clone()
    }

    fn replace(&mut self, instance: &str) {
        self.cluster.crash_worker(instance);
        let number = self.workers;
        self.workers += 1;
        self.cluster.add_worker(&format!("i-{number}"), number, 4_000);
    }

    fn fault(&mut self) {
        let worker = self.any_worker();
        match self.random.u8(..16) {
            0 | 1 => self.cluster.elect_leader(),
            2 => self.replace(&worker),
            3 => self.cluster.workers.get_mut(&worker).unwrap().stalls_runs = true,
            4 => self.cluster.workers.get_mut(&worker).unwrap().fails_all_runs = true,
            5 => {
                let drained = self.cluster.workers.get_mut(&worker).unwrap();
                drained.instance.draining = true;
                drained.instance.remaining_ms = Some(2_000);
            }
            6 => {
                for worker in self.cluster.workers.values_mut() {
                    (worker.stalls_runs, worker.fails_all_runs, worker.instance.draining) =
                        (false, false, false);
                }
            }
            7 => self.cluster.call_loss_percent = 30,
            8 | 9 => self.cluster.call_loss_percent = 0,
            10 if !self.jobs.is_empty() => {
                let id = self.jobs[self.random.usize(..self.jobs.len())];
                self.cluster.cancel("/a/", id);
            }
            11 => {
                self.cluster.failing_jobs.insert(FIRST_JOB + self.jobs.len() as u64);
            }
            _ => {}
        }
    }

    fn submit(&mut self) {
        let id = FIRST_JOB + self.jobs.len() as u64;
        let now_ms = DAY_START_MS + self.cluster.now / MS;
        let job = job(&mut self.random, now_ms);
        let prefix = if self.random.u8(..4) == 0 { "/u/" } else { "/a/" };
        // Submitted until it is acknowledged, as clients do.
        for _ in 0..5 {
            if self.cluster.submit(prefix, id, job.clone()).is_some() {
                self.jobs.push(id);
                return;
            }
        }
        panic!("job {id:x} was never answered");
    }

    /// No faults from now on.
    fn calm(&mut self) {
        self.cluster.call_loss_percent = 0;
        for worker in self.cluster.workers.values_mut() {
            (worker.stalls_runs, worker.fails_all_runs) = (false, false);
            (worker.instance.draining, worker.instance.remaining_ms) = (false, None);
        }
    }

    fn open(&self) -> Vec<u64> {
        let is_open = |id: &&u64| matches!(self.cluster.job_state(**id), "pending" | "running");
        self.jobs.iter().filter(is_open).copied().collect()
    }
}

fn play(seed: u64) -> Result<(), String> {
    let mut play = Play::new(seed);
    for _ in 0..40 {
        if play.random.u8(..3) > 0 {
            play.submit();
        }
        play.fault();
        let pause = play.random.u64(50..600);
        play.cluster.run_for_ms(pause);
    }
    play.calm();
    let all_ended = |cluster: &Cluster| {
        let states = play.jobs.iter().map(|id| cluster.job_state(*id));
        states.into_iter().all(|state| !matches!(state, "pending" | "running"))
    };
    play.cluster.run_until(150_000, all_ended);
    if !play.open().is_empty() {
        return Err(format!("{:x?} did not end", play.open()));
    }
    play.cluster.run_for_ms(15_000);
    if !play.cluster.violations().is_empty() {
        return Err(format!("{:?}", play.cluster.violations()));
    }
    if play.cluster.running() > 0 {
        return Err("something still runs".to_owned());
    }
    let occupied: u32 = play.cluster.state.workers().map(|worker| worker.active).sum();
    let snapshot = play.cluster.state.snapshot();
    if occupied > 0 || State::restore(&snapshot).expect("a complete snapshot").snapshot() != snapshot {
        return Err(format!("{occupied} attempts are still on the books, or the snapshot differs"));
    }
    Ok(())
}

#[test]
fn no_rule_is_broken_and_every_job_ends() {
    let failed: Vec<String> =
        (0..60).filter_map(|seed| play(seed).err().map(|error| format!("seed {seed}: {error}"))).collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
