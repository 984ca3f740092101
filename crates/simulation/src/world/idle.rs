//! Finds idle jobs: nothing of the job runs although a task is ready and twice the needed capacity is free.

use std::collections::{BTreeMap, BTreeSet};

use messages::job::{EndKind, Stage};
use scheduler::ids::TaskKey;

use super::event::Event;
use super::World;
use crate::history::{Answer, CallKind, IdleJob, StartOrder};
use crate::time::{ms, DAY_BEGINS_MS, MS};
use crate::workers::{fits, need_of, Incarnation};
use crate::workload::{JobPlan, Queue};

/// Time between two checks, in nanoseconds.
const CHECK_INTERVAL_NS: u64 = 250 * MS;
/// A worker's clock may be slow by one part in this many.
const CLOCK_RATE_PART: u64 = 49;
/// Time after the lease period in which the expiry becomes certain and is committed and a start follows, in
/// nanoseconds.
const WORKER_LEASE_SLACK_NS: u64 = 500 * MS;
/// Longest time that a job may stay idle without a reason, in nanoseconds.
const MAX_IDLE_NS: u64 = 3_000 * MS;

/// Results of the checks so far.
#[derive(Default)]
pub(super) struct IdleWatch {
    /// Number of calls at the start of the history that need no further look.
    seen_calls: usize,
    /// Accepted jobs that are neither over nor being cancelled.
    watched: BTreeSet<u64>,
    /// Jobs that are idle now, and since when.
    since: BTreeMap<u64, u64>,
    /// Number of runs that were added to `unfinished_runs`.
    seen_runs: usize,
    /// Positions of runs whose end is not fully known.
    unfinished_runs: Vec<usize>,
    /// Tasks whose successful end was recorded by the leader.
    recorded: BTreeSet<TaskKey>,
    /// Number of failures of each task.
    failures: BTreeMap<TaskKey, u32>,
    /// Jobs that were reported as idle.
    reported: BTreeSet<u64>,
}

impl World {
    pub(super) fn check_idle(&mut self) {
        let now = self.now;
        self.queue.push(now + CHECK_INTERVAL_NS, Event::ChecksIdle);
        self.update_watched_jobs();
        self.update_task_results();
        let running = self.running_jobs();
        let watched: Vec<u64> = self.idle.watched.iter().copied().collect();
        for job in watched {
            if self.is_over(job) {
                self.idle.watched.remove(&job);
            } else if !running.contains(&job) && self.could_run(job) {
                let since = *self.idle.since.entry(job).or_insert(now);
                if now - since >= MAX_IDLE_NS && self.idle.reported.insert(job) {
                    let worker_was_lost = self.lost_its_worker(job);
                    self.trace(|| format!("idle: {job:016x} {:?}", self.history.jobs[&job].body.stages));
                    self.history.idle.push(IdleJob { job, since, at: now, worker_was_lost });
                }
                continue;
            }
            self.idle.since.remove(&job);
        }
    }

    /// Watches each job from its acceptance until a client asks to cancel it.
    fn update_watched_jobs(&mut self) {
        let watch = &mut self.idle;
        for (position, call) in self.history.calls.iter().enumerate().skip(watch.seen_calls) {
            let Some((_, answer)) = &call.answer else {
                continue;
            };
            if call.kind == CallKind::Submit && *answer == Answer::Done {
                watch.watched.insert(call.job);
            }
            if position == watch.seen_calls {
                watch.seen_calls += 1;
            }
        }
        for call in self.history.calls.iter().rev().take(200).filter(|call| call.kind == CallKind::Cancel) {
            watch.watched.remove(&call.job);
        }
    }

    /// Updates the tasks that are done and the number of failures of each task.
    fn update_task_results(&mut self) {
        let watch = &mut self.idle;
        watch.unfinished_runs.extend(watch.seen_runs..self.history.runs.len());
        watch.seen_runs = self.history.runs.len();
        let history = &self.history;
        let (done, recorded, failures) = (&mut self.task_done_at, &mut watch.recorded, &mut watch.failures);
        watch.unfinished_runs.retain(|position| {
            let run = &history.runs[*position];
            let Some(end) = &run.end else { return true };
            match end.how {
                Some(EndKind::DONE) => {
                    done.insert(run.key.task, end.at);
                    if end.recorded_at.or(end.recorded_after_lapse).is_none() {
                        return true;
                    }
                    recorded.insert(run.key.task);
                }
                Some(EndKind::FAILED) => *failures.entry(history.failure_owner(&run.key)).or_insert(0) += 1,
                _ => {}
            }
            false
        });
    }

    /// Whether the last run of a job ended because its worker or the worker's lease was lost.
    fn lost_its_worker(&self, job: u64) -> bool {
        let ends = self.history.runs_of(job).filter_map(|run| run.end.as_ref());
        let last = ends.max_by_key(|end| end.at);
        last.is_some_and(|end| matches!(end.how, None | Some(EndKind::LAPSED)))
    }

    fn running_jobs(&self) -> BTreeSet<u64> {
        let incarnations = self.fleet.workers.iter().filter_map(|worker| worker.incarnation.as_ref());
        incarnations.flat_map(Incarnation::running_tasks).map(|task| task.job).collect()
    }

    fn is_over(&self, job: u64) -> bool {
        let plan = &self.history.jobs[&job];
        if self
            .history
            .calls
            .iter()
            .rev()
            .take(400)
            .any(|call| call.job == job && call.kind == CallKind::Cancel)
        {
            return true;
        }
        let limit = Queue::ALL[plan.queue].max_retries;
        let failed =
            self.idle.failures.range(first_task(job)..=last_task(job)).any(|(_, count)| *count >= limit);
        failed || plan.all_tasks().all(|task| self.task_done_at.contains_key(&task))
    }

    /// Whether a task of the job is ready and healthy workers have capacity for it twice over.
    fn could_run(&self, job: u64) -> bool {
        if !self.is_fault_free() || self.may_run_on_unreachable_worker(job) {
            return false;
        }
        let plan = &self.history.jobs[&job];
        (0..plan.times()).any(|time| {
            let due_ms = plan.due_ms(time);
            due_ms <= DAY_BEGINS_MS + self.now / MS && self.any_ready_step_fits(plan, time)
        })
    }

    fn any_ready_step_fits(&self, plan: &JobPlan, time: u32) -> bool {
        let is_done = |task: &TaskKey| self.task_done_at.contains_key(task);
        let is_recorded = |task: TaskKey| self.idle.recorded.contains(&task);
        plan.body.stages.iter().enumerate().any(|(step, stage)| {
            let is_blocked =
                stage.depends_on.iter().any(|before| !plan.step_tasks(time, *before).all(is_recorded));
            let step = step as u32;
            let is_unfinished = plan.step_tasks(time, step).any(|task| !is_done(&task));
            !is_blocked && is_unfinished && self.has_capacity_twice(plan, stage)
        })
    }

    fn has_capacity_twice(&self, plan: &JobPlan, stage: &Stage) -> bool {
        let service = Queue::ALL[plan.queue].service;
        let need = need_of(stage);
        let needed_places = if stage.gang { 2 * u64::from(stage.count) } else { 2 };
        let (mut places, mut used, mut all) = (0, 0, 0);
        for (position, worker) in self.fleet.workers.iter().enumerate() {
            if worker.service != service || worker.incarnation.is_none() {
                continue;
            }
            used += worker.used().cpu;
            all += worker.available.cpu;
            let fit = stage.constraint.is_empty() || worker.labels.contains(&stage.constraint);
            if fit && fits(need, worker.free()) && self.is_healthy(position) {
                let free = worker.free();
                let mut worker_places = free.cpu.checked_div(need.cpu).unwrap_or(1);
                worker_places =
                    worker_places.min(free.mem_mb.checked_div(need.mem_mb).unwrap_or(worker_places));
                worker_places = worker_places.min(free.gpu.checked_div(need.gpu).unwrap_or(worker_places));
                if stage.anti_affinity > 0 {
                    worker_places = worker_places.min(u64::from(stage.anti_affinity));
                }
                places += worker_places;
            }
        }
        places >= needed_places && used * 2 < all
    }

    /// Whether a run of the job, or an ordered start, may still go on at an unreachable worker. Until that
    /// worker's lease has expired, another start could break the rule TWICE.
    fn may_run_on_unreachable_worker(&self, job: u64) -> bool {
        let worker_lease = ms(self.site.bounds.max_worker_lease_ms);
        let expires_within = worker_lease + worker_lease / CLOCK_RATE_PART + WORKER_LEASE_SLACK_NS;
        // A leader that never reached the worker cannot know how long before its own term the lease was last
        // extended.
        let faults = self.history.core_faults.iter().filter(|span| span.from <= self.now);
        let leader_since = faults.map(|span| span.until.min(self.now)).max().unwrap_or(0);
        let may_be_in_force = |order: &StartOrder| {
            let faults = self.history.worker_faults.iter().filter(|(worker, ..)| *worker == order.worker);
            let mut unreachable_since = faults.filter_map(|(_, span, kind)| {
                let from = span.from + kind.makes_worker_unreachable_after()?;
                // An order that is sent while the worker is unreachable carries a deadline of its own.
                Some(if span.touches(order.at, order.at) { from.max(order.at) } else { from })
            });
            unreachable_since.any(|from| self.now < from.max(leader_since) + expires_within)
        };
        self.history.orders_of(job).any(may_be_in_force)
    }

    /// Whether the worker has no fault now and had none recently.
    fn is_healthy(&self, worker: usize) -> bool {
        let from = self.now.saturating_sub(MAX_IDLE_NS + ms(self.site.bounds.contact_ms));
        let faults = &self.history.worker_faults;
        !faults.iter().any(|(faulty, span, _)| *faulty == worker && span.touches(from, self.now))
    }

    /// Whether the core is stable, its machines are in contact and no order can be carried out late.
    fn is_fault_free(&self) -> bool {
        let from = self.now.saturating_sub(ms(self.site.bounds.contact_ms));
        let core = self.history.core_faults.iter().any(|span| span.touches(from, self.now));
        let machines = self.history.machine_faults.iter().any(|(_, span)| span.touches(from, self.now));
        let late = self
            .history
            .late_orders
            .iter()
            .any(|span| span.touches(from.saturating_sub(ms(12_000)), self.now));
        !core && !machines && !late
    }
}

fn first_task(job: u64) -> TaskKey {
    TaskKey { job, time: 0, step: 0, index: 0 }
}

fn last_task(job: u64) -> TaskKey {
    TaskKey { job, time: u32::MAX, step: u32::MAX, index: u32::MAX }
}
