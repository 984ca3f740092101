//! Runs random jobs with random faults. No start may violate a guarantee, and after the faults every job must
//! end.

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

struct Simulation {
    cluster: Cluster,
    random: fastrand::Rng,
    jobs: Vec<u64>,
    workers: usize,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut cluster = Cluster::new(WORKERS);
        cluster.set_seed(seed);
        Self { cluster, random: fastrand::Rng::with_seed(seed), jobs: Vec::new(), workers: WORKERS }
    }

    fn random_running_worker(&mut self) -> String {
        let up: Vec<&String> =
            self.cluster.workers.iter().filter(|(_, worker)| worker.is_up).map(|(id, _)| id).collect();
        up[self.random.usize(..up.len())].clone()
    }

    fn replace_worker(&mut self, instance: &str) {
        self.cluster.crash_worker(instance);
        let number = self.workers;
        self.workers += 1;
        self.cluster.add_worker(&format!("i-{number}"), number, 4_000);
    }

    fn inject_random_fault(&mut self) {
        let worker = self.random_running_worker();
        match self.random.u8(..16) {
            0 | 1 => self.cluster.elect_leader(),
            2 => self.replace_worker(&worker),
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
        // Repeats the submission until it is acknowledged, as clients do.
        for _ in 0..5 {
            if self.cluster.submit(prefix, id, job.clone()).is_some() {
                self.jobs.push(id);
                return;
            }
        }
        panic!("job {id:x} was never answered");
    }

    /// Ends all faults of the network and the workers.
    fn clear_faults(&mut self) {
        self.cluster.call_loss_percent = 0;
        for worker in self.cluster.workers.values_mut() {
            (worker.stalls_runs, worker.fails_all_runs) = (false, false);
            (worker.instance.draining, worker.instance.remaining_ms) = (false, None);
        }
    }

    fn open_jobs(&self) -> Vec<u64> {
        let is_open = |id: &&u64| matches!(self.cluster.job_state(**id), "pending" | "running");
        self.jobs.iter().filter(is_open).copied().collect()
    }
}

fn run_simulation(seed: u64) -> Result<(), String> {
    let mut simulation = Simulation::new(seed);
    for _ in 0..40 {
        if simulation.random.u8(..3) > 0 {
            simulation.submit();
        }
        simulation.inject_random_fault();
        let pause = simulation.random.u64(50..600);
        simulation.cluster.run_for_ms(pause);
    }
    simulation.clear_faults();
    let all_ended = |cluster: &Cluster| {
        let states = simulation.jobs.iter().map(|id| cluster.job_state(*id));
        states.into_iter().all(|state| !matches!(state, "pending" | "running"))
    };
    simulation.cluster.run_until(150_000, all_ended);
    if !simulation.open_jobs().is_empty() {
        return Err(format!("jobs {:x?} did not end", simulation.open_jobs()));
    }
    simulation.cluster.run_for_ms(15_000);
    if !simulation.cluster.violations().is_empty() {
        return Err(format!("{:?}", simulation.cluster.violations()));
    }
    if simulation.cluster.running() > 0 {
        return Err("attempts still run after all jobs ended".to_owned());
    }
    let occupied: u32 = simulation.cluster.state.workers().map(|worker| worker.active).sum();
    let snapshot = simulation.cluster.state.snapshot();
    if occupied > 0 || State::restore(&snapshot).expect("a complete snapshot").snapshot() != snapshot {
        return Err(format!(
            "{occupied} attempts are still recorded as active, or the restored snapshot differs"
        ));
    }
    Ok(())
}

#[test]
fn keeps_guarantees_and_ends_every_job_despite_faults() {
    let failed: Vec<String> = (0..60)
        .filter_map(|seed| run_simulation(seed).err().map(|error| format!("seed {seed}: {error}")))
        .collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
