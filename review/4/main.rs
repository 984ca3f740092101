//! Some dozens of small jobs that ask for a label no server has stop their queue for good, with all servers idle.

#[path = "../harness-2/mod.rs"]
mod harness;

use harness::*;
use std::collections::HashMap;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const QUEUE: &str = "/rolls/";
const CLIENTS: u64 = 8;
/// About 49 jobs a second in all; the site has about 52.
const PAUSE: Duration = Duration::from_millis(160);
const TRAFFIC: Duration = Duration::from_secs(45);
/// One job of 34 can never be done: a share of 0.029.
const HOPELESS_OF: u64 = 34;
const TASKS: usize = 2;
const CPU: u64 = 500;
const WORKERS: usize = 8;
const WORKER_CPU: u64 = 32_000;
const IDLE_BOUND: Duration = Duration::from_secs(3);

struct Job {
    path: String,
    prefix: String,
    is_hopeless: bool,
    accepted_at: Instant,
}

fn main() {
    run_case(|root, record| {
        let options = Options { workers: WORKERS, worker_cpu: WORKER_CPU, ..Options::default() };
        let mut cluster = Cluster::new(root, record.clone(), options)?;
        cluster.start_all(&[(QUEUE, 1)])?;
        let fronts = cluster.fronts();
        let began = Instant::now();
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client_number| {
                let (fronts, record) = (fronts.clone(), record.clone());
                spawn(move || {
                    let mut jobs = Vec::new();
                    let mut number = client_number;
                    while began.elapsed() < TRAFFIC {
                        let is_hopeless = with_trouble() && number % HOPELESS_OF == HOPELESS_OF - 1;
                        let label = if is_hopeless { r#","Constraints":"b""# } else { "" };
                        let body = format!(
                            r#"{{"Spec":"300","Stages":[{{"Count":{TASKS},"Cpu":{CPU},"MemMb":256,"EstRuntimeMs":300{label}}}]}}"#
                        );
                        let name = format!("{:016x}", 0x1000 + number);
                        let path = format!("{QUEUE}{name}");
                        let status = client_with_retries(&fronts, "POST", &path, &body, 3_000, 4)
                            .map_or(0, |answer| answer.status);
                        let kind = if is_hopeless { "asks for label b" } else { "ordinary" };
                        record.note(&format!("POST {path} ({kind}): {status}"));
                        if status == 200 {
                            let prefix = format!("{name}.");
                            jobs.push(Job { path, prefix, is_hopeless, accepted_at: Instant::now() });
                        }
                        number += CLIENTS;
                        sleep(PAUSE);
                    }
                    jobs
                })
            })
            .collect();
        let mut most_used = 0;
        while began.elapsed() < TRAFFIC + Duration::from_secs(14) {
            let running: usize = cluster.workers.iter().map(|worker| worker.running_of("")).sum();
            most_used = most_used.max(running as u64 * CPU);
            if began.elapsed().as_millis() % 2_000 < 100 {
                let starts = cluster.history.lock().unwrap().starts.len();
                record.line(&format!("{starts} tasks were started, {running} run"));
            }
            sleep(Duration::from_millis(100));
        }
        if let Some(text) = cluster.ended_process() {
            return Err(std::io::Error::other(text));
        }
        let ended = Instant::now();
        let jobs: Vec<Job> =
            clients.into_iter().flat_map(|client| client.join().expect("a client")).collect();
        let hopeless = jobs.iter().filter(|job| job.is_hopeless).count();
        record.line(&format!(
            "{} jobs were accepted, {hopeless} of them ask for a label that no server has",
            jobs.len()
        ));
        record.line(&format!(
            "at most {most_used} of {} thousandths of a core were in use at a time",
            WORKERS as u64 * WORKER_CPU
        ));

        let mut first_start: HashMap<String, Instant> = HashMap::new();
        for start in &cluster.history.lock().unwrap().starts {
            let prefix = format!("{}.", start.task.split('.').next().unwrap_or(""));
            first_start.entry(prefix).or_insert(start.at);
        }
        let mut starved: Vec<(&Job, f64)> = Vec::new();
        for job in jobs.iter().filter(|job| !job.is_hopeless) {
            let until = first_start.get(&job.prefix).copied().unwrap_or(ended);
            let waited = until.saturating_duration_since(job.accepted_at);
            if waited >= IDLE_BOUND {
                starved.push((job, waited.as_secs_f64()));
            }
        }
        let longest = starved.iter().map(|(_, waited)| *waited).fold(0.0, f64::max);
        for (job, waited) in starved.iter().take(10) {
            let started = if first_start.contains_key(&job.prefix) {
                "until its first start"
            } else {
                "and never started"
            };
            record.line(&format!(
                "{}: nothing ran for {waited:.1} s {started}; shown as {}",
                job.path,
                state_of(fronts[0], &job.path, 3_000)
            ));
        }
        let never = starved.iter().filter(|(job, _)| !first_start.contains_key(&job.prefix)).count();
        record.line(&format!(
            "{} ordinary jobs had nothing running for 3 s or more, {never} of them never started; the longest {longest:.1} s",
            starved.len()
        ));
        let under_half = most_used * 2 < WORKERS as u64 * WORKER_CPU;
        Ok(under_half && !starved.is_empty())
    });
}
