//! Handling of calls that arrive at a worker.

use scheduler::ids::AttemptKey;
use scheduler::worker::{CallOutcome, Refusal, WorkerRequest};

use super::progress::checkpoint_work_ms;
use super::{add, fits, need_of, Fleet, GangKey, LiveRun, Phase};
use crate::history::{History, Machine, Run, UnknownOrder};
use crate::time::{ms, MS};
use crate::workload::JobPlan;

/// A call on its arrival at a worker.
#[derive(Clone, Debug)]
pub struct Delivery {
    /// The incarnation that the call addresses.
    pub instance: String,
    /// The request.
    pub request: WorkerRequest,
    /// The core machine that sent the call.
    pub sender: Machine,
    /// When the call was sent.
    pub sent_at: u64,
    /// The call is carried out late and not answered.
    pub late: bool,
    /// Identifies the call, for an answer that is sent later.
    pub token: u64,
    /// A random number between 0 and 1 that decides how a faulty worker treats the call.
    pub random: f64,
}

struct StartDetails<'a> {
    key: AttemptKey,
    spec: &'a str,
    checkpoint: &'a str,
    delivery: &'a Delivery,
}

impl Fleet {
    /// Carries out a call. Returns `None` if the answer is sent later or never.
    pub fn deliver(
        &mut self,
        position: usize,
        now: u64,
        delivery: &Delivery,
        history: &mut History,
    ) -> Option<CallOutcome> {
        self.advance(now, history);
        let answer = self.handle_call(position, now, delivery, history);
        self.reschedule(position);
        answer
    }

    fn handle_call(
        &mut self,
        position: usize,
        now: u64,
        delivery: &Delivery,
        history: &mut History,
    ) -> Option<CallOutcome> {
        let worker = &self.workers[position];
        let incarnation = worker.incarnation.as_ref()?;
        if incarnation.instance != delivery.instance {
            return Some(CallOutcome::Refused { now_ms: None, reason: Refusal::WrongIncarnation });
        }
        let condition = worker.condition;
        if delivery.random < condition.hanging {
            return None;
        }
        let now_ms = worker.clock_ms(now);
        if delivery.random < condition.busy {
            return Some(CallOutcome::Refused { now_ms: Some(now_ms), reason: Refusal::Unhealthy });
        }
        let mute = delivery.random < condition.mute;
        let answer = match &delivery.request {
            WorkerRequest::Start { key, spec, checkpoint, deadline_ms, fencing_token, .. } => {
                let details = StartDetails { key: *key, spec, checkpoint, delivery };
                self.start(position, now, &details, *deadline_ms, *fencing_token, history)
            }
            WorkerRequest::Stop { key, fencing_token } => {
                self.stop(position, now, key, *fencing_token, history)
            }
            WorkerRequest::RenewLease { fencing_token, last_seen, deadline_ms, wait_ms } => {
                if !self.passes_fencing_token(position, *fencing_token) {
                    return refused(now_ms, Refusal::StaleFencingToken);
                }
                self.extend_worker_lease(position, now, *deadline_ms);
                if let Some(incarnation) = self.workers[position].incarnation.as_mut() {
                    incarnation.drop_recorded_ends(now, *last_seen, history);
                }
                if mute {
                    return None;
                }
                return self.answer_lease_renewal(position, now, *wait_ms, delivery.token);
            }
        };
        answer.filter(|_| !mute)
    }

    /// Stores the highest fencing token. Returns false for a lower one.
    fn passes_fencing_token(&mut self, position: usize, fencing_token: u64) -> bool {
        let Some(incarnation) = self.workers[position].incarnation.as_mut() else { return false };
        if fencing_token < incarnation.fencing_token {
            return false;
        }
        incarnation.fencing_token = fencing_token;
        true
    }

    /// Extends the lease to a deadline, but never shortens it and never beyond the maximum worker lease.
    fn extend_worker_lease(&mut self, position: usize, now: u64, deadline_ms: Option<u64>) {
        let clock = self.workers[position].clock_ms(now);
        let latest = clock + self.bounds.max_worker_lease_ms;
        let Some(incarnation) = self.workers[position].incarnation.as_mut() else { return };
        let Some(deadline_ms) = deadline_ms else { return };
        let until = deadline_ms.min(latest);
        if until > clock {
            incarnation.worker_lease_until_ms = incarnation.worker_lease_until_ms.max(until);
            incarnation.has_lease = true;
        }
    }

    fn stop(
        &mut self,
        position: usize,
        now: u64,
        key: &AttemptKey,
        fencing_token: u64,
        history: &mut History,
    ) -> Option<CallOutcome> {
        let now_ms = self.workers[position].clock_ms(now);
        if !self.passes_fencing_token(position, fencing_token) {
            return refused(now_ms, Refusal::StaleFencingToken);
        }
        let takes_ms = (key.task.index as u64 * 37 + now / MS) % self.bounds.stop_ms.max(1);
        let incarnation = self.workers[position].incarnation.as_mut()?;
        let superseded_attempt = incarnation.superseded_attempts.entry(key.task).or_insert(0);
        *superseded_attempt = (*superseded_attempt).max(key.attempt);
        if let Some(run) = incarnation.runs.get_mut(key) {
            run.update(now);
            if !matches!(run.phase, Phase::Stopping { .. }) {
                run.phase = Phase::Stopping { until: now + ms(takes_ms) };
            }
        }
        self.reschedule(position);
        self.advance(now, history);
        Some(CallOutcome::Answer { now_ms })
    }

    fn start(
        &mut self,
        position: usize,
        now: u64,
        details: &StartDetails<'_>,
        deadline_ms: u64,
        fencing_token: u64,
        history: &mut History,
    ) -> Option<CallOutcome> {
        let key = details.key;
        let now_ms = self.workers[position].clock_ms(now);
        let stage = stage_of(history, &key).map(|(job, stage)| (job.clone(), stage.clone()));
        let Some((job, stage)) = stage else {
            history.unknown_orders.push(UnknownOrder { at: now, key });
            return refused(now_ms, Refusal::BadRequest);
        };
        if !self.passes_fencing_token(position, fencing_token) {
            return refused(now_ms, Refusal::StaleFencingToken);
        }
        if deadline_ms <= now_ms {
            return refused(now_ms, Refusal::DeadlinePassed);
        }
        self.extend_worker_lease(position, now, Some(deadline_ms));
        let incarnation = self.workers[position].incarnation.as_ref()?;
        if incarnation.runs.contains_key(&key) {
            return Some(CallOutcome::Answer { now_ms });
        }
        let newest_here =
            incarnation.runs.keys().filter(|run| run.task == key.task).map(|run| run.attempt).max();
        let superseded_attempt = incarnation.superseded_attempts.get(&key.task).copied().unwrap_or(0);
        if key.attempt <= superseded_attempt || newest_here.is_some_and(|newest| key.attempt < newest) {
            return refused(now_ms, Refusal::SupersededAttempt);
        }
        let need = need_of(&stage);
        let worker = &self.workers[position];
        let overload = !fits(need, worker.free());
        if overload && worker.guards {
            return refused(now_ms, Refusal::NoCapacity);
        }
        self.begin(position, now, details, &job, overload, history);
        Some(CallOutcome::Answer { now_ms })
    }

    fn begin(
        &mut self,
        position: usize,
        now: u64,
        details: &StartDetails<'_>,
        job: &JobPlan,
        overload: bool,
        history: &mut History,
    ) {
        let key = details.key;
        let stage = &job.body.stages[key.task.step as usize];
        let run = self.live_run(position, now, details, job, history.runs.len());
        let worker = &self.workers[position];
        let Some(incarnation) = worker.incarnation.as_ref() else { return };
        let step = key.task.step_key();
        let mut step_indices: Vec<u32> = incarnation
            .runs
            .keys()
            .filter(|run| run.task.step_key() == step)
            .map(|run| run.task.index)
            .collect();
        step_indices.push(key.task.index);
        step_indices.sort_unstable();
        step_indices.dedup();
        history.runs.push(Run {
            key,
            worker: position,
            instance: incarnation.instance.clone(),
            service: worker.service,
            labels: worker.labels.clone(),
            sender: details.delivery.sender,
            ordered_at: details.delivery.sent_at,
            started_at: now,
            late: details.delivery.late,
            checkpoint: details.checkpoint.to_owned(),
            spec_matches: details.spec == job.body.spec,
            checkpoint_matches: self.is_issued_checkpoint(&key, stage.gang, details.checkpoint),
            overload: overload.then(|| add(worker.used(), need_of(stage))),
            step_tasks_on_worker: step_indices.len() as u32,
            gang_complete_at: None,
            end: None,
        });
        let gang = run.gang;
        if let Some(incarnation) = self.workers[position].incarnation.as_mut() {
            incarnation.runs.insert(key, run);
        }
        if let Some(gang) = gang {
            self.member_started(now, gang, key.task.index, position, history);
        }
    }

    fn live_run(
        &self,
        position: usize,
        now: u64,
        details: &StartDetails<'_>,
        job: &JobPlan,
        history_position: usize,
    ) -> LiveRun {
        let key = details.key;
        let step = key.task.step as usize;
        let (stage, truth) = (&job.body.stages[step], &job.steps[step]);
        let worker = &self.workers[position];
        let works = &truth.work_ms;
        let own_work = works.get(key.task.index as usize).copied().unwrap_or(100);
        let work_ms = if stage.gang { works.iter().copied().max().unwrap_or(own_work) } else { own_work };
        let far = !stage.affinity.is_empty() && !worker.labels.contains(&stage.affinity);
        let far_factor = if far { self.bounds.far_factor } else { 1.0 };
        let fails =
            if worker.condition.failing { Some(work_ms / 4) } else { job.fails_after_ms(&key, work_ms) };
        let began_ms =
            if stage.checkpoints { checkpoint_work_ms(details.checkpoint).min(work_ms as f64) } else { 0.0 };
        let restore_left_ms = if details.checkpoint.is_empty() { 0.0 } else { self.bounds.restore_ms as f64 };
        let gang = stage.gang.then(|| GangKey { step: key.task.step_key(), attempt: key.attempt });
        let waiting = Phase::Waiting { until: now + ms(self.bounds.gang_ms) };
        LiveRun {
            position: history_position,
            need: need_of(stage),
            phase: if stage.gang { waiting } else { Phase::Working },
            work_ms: work_ms as f64,
            began_ms,
            done_ms: began_ms,
            restore_left_ms,
            rate: 1.0 / (far_factor * worker.condition.slowness),
            updated_at: now,
            fails_after_ms: fails.map(|fails| fails as f64),
            long_running: stage.long_running,
            saves: stage.checkpoints,
            stalled: worker.condition.stalled,
            gang,
        }
    }
}

fn refused(now_ms: u64, reason: Refusal) -> Option<CallOutcome> {
    Some(CallOutcome::Refused { now_ms: Some(now_ms), reason })
}

fn stage_of<'a>(history: &'a History, key: &AttemptKey) -> Option<(&'a JobPlan, &'a messages::job::Stage)> {
    let job = history.jobs.get(&key.task.job)?;
    let stage = job.body.stages.get(key.task.step as usize)?;
    let known = key.task.index < stage.count && key.task.time < job.times();
    known.then_some((job, stage))
}
