//! After the loss of the leader nothing starts for many seconds: the next leader clears up thousands of starts
//! that were committed and never sent.

#[path = "../harness-2/mod.rs"]
mod harness;

use harness::*;
use std::thread::sleep;
use std::time::{Duration, Instant};

const QUICK: &str = "/quick/";
const BULK: [&str; 3] = ["/bulk-a/", "/bulk-b/", "/bulk-c/"];
const BULK_TASKS: usize = 9_900;
const BULK_CPU: u64 = 4;
const QUICK_TASKS: usize = 2;
const QUICK_CPU: u64 = 50;
const WORKERS: usize = 4;
const WORKER_CPU: u64 = 32_000;
/// The last trouble is the start of the killed process, 0.5 s after the kill; ContactMs (3 s) and 4 s more pass first.
const CALM_AFTER: Duration = Duration::from_secs(8);
const IDLE_BOUND: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(20);

struct Job {
    path: String,
    prefix: String,
    tasks: usize,
    cpu: u64,
    accepted_at: Instant,
}

fn main() {
    run_case(|root, record| {
        let options = Options { workers: WORKERS, worker_cpu: WORKER_CPU, ..Options::default() };
        let mut cluster = Cluster::new(root, record.clone(), options)?;
        cluster.start_all(&[(QUICK, 0), (BULK[0], 1), (BULK[1], 2), (BULK[2], 3)])?;
        let fronts = cluster.fronts();
        let mut jobs = Vec::new();
        let submit = |queue: &str, number: u64, tasks: usize, cpu: u64, jobs: &mut Vec<Job>| {
            let name = format!("{number:016x}");
            let path = format!("{queue}{name}");
            let body = format!(
                r#"{{"Spec":"1000","Stages":[{{"Count":{tasks},"Cpu":{cpu},"MemMb":8,"EstRuntimeMs":1000}}]}}"#
            );
            match client(fronts[number as usize % fronts.len()], "POST", &path, &body, 3_000) {
                Ok(answer) => {
                    record.line(&format!("POST {path}: {}", answer.status));
                    if answer.status == 200 {
                        let prefix = format!("{name}.");
                        jobs.push(Job { path, prefix, tasks, cpu, accepted_at: Instant::now() });
                    }
                }
                Err(error) => record.line(&format!("POST {path}: no answer ({:?})", error.kind())),
            }
        };
        for (at, queue) in BULK.iter().enumerate() {
            submit(queue, 0x10 + at as u64, BULK_TASKS, BULK_CPU, &mut jobs);
        }
        if jobs.len() < BULK.len() {
            return Err(std::io::Error::other("a large job was not accepted"));
        }
        sleep(Duration::from_secs(2));
        let Some(leader) = cluster.leader(Duration::from_secs(3)) else {
            return Err(std::io::Error::other("no leader answers the operator"));
        };
        let started = cluster.history.lock().unwrap().starts.len();
        record.line(&format!(
            "the core process that acts is core-{}; {started} tasks were started",
            leader + 1
        ));
        let name = format!("core-{}", leader + 1);
        if with_trouble() {
            cluster.kill(&name);
        }
        let killed_at = Instant::now();
        sleep(Duration::from_millis(500));
        if with_trouble() {
            cluster.start_core(leader, false)?;
        }

        let mut number = 0x1000;
        let calm_from = killed_at + CALM_AFTER;
        sleep(calm_from.saturating_duration_since(Instant::now()));
        let ends_at = calm_from + Duration::from_secs(14);
        while Instant::now() < ends_at {
            submit(QUICK, number, QUICK_TASKS, QUICK_CPU, &mut jobs);
            number += 1;
            let history = cluster.history.lock().unwrap();
            let lapsed = history.ends.iter().filter(|end| end.how != "done").count();
            record.line(&format!(
                "{:.1} s after the kill: {} starts, {} ends, {lapsed} of them not done; the core has used {:.1} {:.1} {:.1} s of processor time",
                killed_at.elapsed().as_secs_f64(),
                history.starts.len(),
                history.ends.len(),
                cluster.processor_s("core-1"),
                cluster.processor_s("core-2"),
                cluster.processor_s("core-3"),
            ));
            drop(history);
            sleep(Duration::from_millis(500));
        }

        // For each job: the longest time in calm in which it has nothing running though tasks are left, and under
        // half of the room is used. Copies of the history are played through in steps of 20 ms.
        let history = cluster.history.lock().unwrap();
        let mut events: Vec<(Instant, usize, bool, bool)> = Vec::new();
        let job_of = |task: &str| jobs.iter().position(|job| task.starts_with(&job.prefix));
        for start in &history.starts {
            events.extend(job_of(&start.task).map(|job| (start.at, job, true, false)));
        }
        for end in &history.ends {
            events.extend(job_of(&end.task).map(|job| (end.at, job, false, end.how == "done")));
        }
        events.sort_by_key(|event| event.0);
        let mut running = vec![0usize; jobs.len()];
        let mut done = vec![0usize; jobs.len()];
        let mut idle_since: Vec<Option<Instant>> = vec![None; jobs.len()];
        let mut longest = vec![Duration::ZERO; jobs.len()];
        let (mut next, mut now) = (0, killed_at);
        while now < ends_at {
            while let Some((at, job, is_start, is_done)) =
                events.get(next).copied().filter(|event| event.0 <= now)
            {
                let _ = at;
                if is_start {
                    running[job] += 1;
                } else {
                    running[job] = running[job].saturating_sub(1);
                    done[job] += usize::from(is_done);
                }
                next += 1;
            }
            let used: u64 = jobs.iter().zip(&running).map(|(job, running)| job.cpu * *running as u64).sum();
            let has_room = used * 2 < WORKERS as u64 * WORKER_CPU;
            for (at, job) in jobs.iter().enumerate() {
                let waits = now >= job.accepted_at.max(calm_from) && running[at] == 0 && done[at] < job.tasks;
                if !(waits && has_room) {
                    idle_since[at] = None;
                    continue;
                }
                let since = *idle_since[at].get_or_insert(now);
                longest[at] = longest[at].max(now - since);
            }
            now += STEP;
        }
        let mut starved = 0;
        for (job, longest) in jobs.iter().zip(&longest) {
            if *longest >= IDLE_BOUND {
                starved += 1;
                record.line(&format!(
                    "{}: nothing ran for {:.1} s in calm, with under half of the room in use",
                    job.path,
                    longest.as_secs_f64()
                ));
            }
        }
        let most = longest.iter().max().copied().unwrap_or_default().as_secs_f64();
        record.line(&format!("longest: {most:.1} s; {starved} of {} accepted jobs over 3 s", jobs.len()));
        drop(history);
        for line in cluster.core_log_lines("leads term") {
            record.line(&line);
        }
        Ok(starved > 0)
    });
}
