//! Choice of workers for the next task of a waiting step or for its gang, and the limits on waiting for
//! better capacity.

use messages::job::Stage;

use crate::ids::StepKey;
use crate::placement::{Demand, Fleet, WorkerKey};
use crate::state::State;
use crate::time::NANOS_PER_MS;

use super::attempts::{Attempts, FailedOn};
use super::demand::demand_of;
use super::mechanisms::{Mechanism, Mechanisms};
use super::service::{Candidate, Choice};
use super::settings::LeaderSettings;

/// Maximum wait of a gang for capacity within one rack.
const MAX_RACK_WAIT_NS: u64 = 1_500 * NANOS_PER_MS;
/// Maximum wait of a task for capacity near its data. A job may have nothing running for at most 3 s while
/// there is capacity.
const MAX_DATA_WAIT_NS: u64 = 2_000 * NANOS_PER_MS;
/// How long a step with tasks on a worker that has many starts to confirm waits for that worker before its next task
/// starts elsewhere. A worker that answers confirms them in less time.
const MAX_PACKING_WAIT_NS: u64 = 200 * NANOS_PER_MS;
/// Time between two checks of such a step, if no start is confirmed in between.
const PACKING_RETRY_INTERVAL_NS: u64 = 20 * NANOS_PER_MS;
/// How long a step waits for another worker before it accepts an ejected one.
const EJECTED_WORKER_WAIT_NS: u64 = 1_000 * NANOS_PER_MS;
/// Time between two checks of ejected workers for a step.
const EJECTED_WORKER_RETRY_INTERVAL_NS: u64 = 500 * NANOS_PER_MS;

/// Chooses the worker for the next task of a waiting step, or the workers for its gang.
pub(super) fn choose(context: &PlacementContext, fleet: &Fleet, candidate: Candidate) -> Choice {
    let Candidate { task, since, waiting_tasks } = candidate;
    let PlacementContext { state, failed_on, .. } = context;
    let step = task.step_key();
    let stage = state.open_stage(step);
    let Some(stage) = stage else { return Choice::NotWaiting };
    if stage.gang {
        return choose_gang(context, fleet, step, stage, since);
    }
    let avoid = failed_on.get(&task).map_or(&[][..], Vec::as_slice);
    let tasks_to_pack = if context.mechanisms.uses(Mechanism::Packing) { waiting_tasks } else { 0 };
    let demand = Demand { tasks_to_pack, ..demand_of(step, stage, avoid) };
    if fleet.packs_on_busy_worker(&demand, context.now.saturating_sub(MAX_PACKING_WAIT_NS)) {
        return Choice::AwaitConfirmations(context.now + PACKING_RETRY_INTERVAL_NS);
    }
    if demand.affinity.is_some_and(|rack| fleet.knows_rack(rack)) {
        if let Some(worker) = fleet.place_in_affinity_rack(&demand) {
            return Choice::Task(worker);
        }
        let until = since + context.data_wait_ns(stage);
        if context.now < until && fleet.may_fit_in_affinity_rack(&demand) {
            return Choice::RetryAt(until);
        }
    }
    if let Some(worker) = fleet.place(&demand) {
        return Choice::Task(worker);
    }
    if !fleet.may_fit_ejected(&demand) {
        return Choice::NoCapacity;
    }
    let no_other_capacity = !fleet.may_fit(&demand);
    if !fleet.could_fit_not_ejected(&demand)
        || context.accepts_ejected_worker(fleet, step, since, no_other_capacity)
    {
        // A worker on which the task failed before is chosen only if no other worker can take the task.
        let allowed = |worker: &WorkerKey| no_other_capacity || !avoid.contains(worker);
        if let Some(worker) = fleet.place_as_last_resort(&demand).filter(allowed) {
            return Choice::Task(worker);
        }
    }
    Choice::RetryAt(context.next_ejected_worker_retry(since))
}

/// Chooses the workers of a gang: first within one rack if the gang should share one, after a wait across
/// racks, and on ejected workers only if the gang cannot start otherwise.
pub(super) fn choose_gang(
    context: &PlacementContext,
    fleet: &Fleet,
    step: StepKey,
    stage: &Stage,
    since: u64,
) -> Choice {
    let count = stage.count as usize;
    let same_rack = demand_of(step, stage, &[]);
    if let Some(workers) = fleet.place_gang(&same_rack, count) {
        return Choice::Gang(workers);
    }
    let until = since + context.rack_wait_ns(stage);
    if context.now < until && fleet.may_fit_gang(&same_rack, count) {
        return Choice::RetryAt(until);
    }
    let any_rack = Demand { rack_local: false, ..same_rack };
    if let Some(workers) = fleet.place_gang(&any_rack, count) {
        return Choice::Gang(workers);
    }
    if !fleet.may_fit_ejected(&any_rack) {
        return Choice::NoCapacity;
    }
    let no_other_capacity = !fleet.may_fit_gang(&any_rack, count);
    if context.accepts_ejected_worker(fleet, step, since, no_other_capacity) {
        let placed = fleet.place_gang_as_last_resort(&same_rack, count);
        if let Some(workers) = placed.or_else(|| fleet.place_gang_as_last_resort(&any_rack, count)) {
            return Choice::Gang(workers);
        }
    }
    Choice::RetryAt(context.next_ejected_worker_retry(since))
}

/// The inputs of the choice apart from the fleet.
pub(super) struct PlacementContext<'a> {
    pub(super) state: &'a State,
    pub(super) attempts: &'a Attempts,
    pub(super) failed_on: &'a FailedOn,
    pub(super) far_factor: f64,
    pub(super) mechanisms: &'a Mechanisms,
    pub(super) now: u64,
}

impl<'a> PlacementContext<'a> {
    pub(super) fn new(
        state: &'a State,
        attempts: &'a Attempts,
        failed_on: &'a FailedOn,
        settings: &'a LeaderSettings,
        now: u64,
    ) -> Self {
        let LeaderSettings { far_factor, mechanisms, .. } = settings;
        PlacementContext { state, attempts, failed_on, far_factor: *far_factor, mechanisms, now }
    }

    /// Returns how long a task may wait for capacity near its data, in nanoseconds: as long as the extra run
    /// time elsewhere, but no longer than a job may wait while there is capacity.
    fn data_wait_ns(&self, stage: &Stage) -> u64 {
        if stage.affinity.is_empty() || !self.mechanisms.uses(Mechanism::DataLocalityWait) {
            return 0;
        }
        self.remote_penalty_ns(stage).min(MAX_DATA_WAIT_NS)
    }

    /// Returns how long a gang that should share a rack may wait for one, in nanoseconds: as long as the
    /// extra run time across racks, but no longer than a job may wait while there is capacity.
    fn rack_wait_ns(&self, stage: &Stage) -> u64 {
        if !stage.rack_local || !self.mechanisms.uses(Mechanism::RackLocalityWait) {
            return 0;
        }
        self.remote_penalty_ns(stage).min(MAX_RACK_WAIT_NS)
    }

    /// Returns the extra run time of a task away from its data or its gang, in nanoseconds.
    fn remote_penalty_ns(&self, stage: &Stage) -> u64 {
        let penalty_ms = stage.est_runtime_ms as f64 * (self.far_factor - 1.0).max(0.0);
        (penalty_ms * NANOS_PER_MS as f64) as u64
    }

    /// Returns whether a step has waited long enough to accept an ejected worker. That is the case if there
    /// is `no_other_capacity` to wait for, or if nothing of its job runs although at least half of the
    /// service's capacity is free.
    fn accepts_ejected_worker(
        &self,
        fleet: &Fleet,
        step: StepKey,
        since: u64,
        no_other_capacity: bool,
    ) -> bool {
        let half_free = |(free, total): (u64, u64)| free.saturating_mul(2) >= total;
        let (free, total) = (fleet.free(), fleet.total());
        let shares = [(free.cpu, total.cpu), (free.mem_mb, total.mem_mb)];
        let job_starves = || shares.into_iter().all(half_free) && self.attempts.is_job_idle(step.job);
        self.now >= since + EJECTED_WORKER_WAIT_NS && (no_other_capacity || job_starves())
    }

    /// Returns when a step that fits only on an ejected worker is placed again.
    fn next_ejected_worker_retry(&self, since: u64) -> u64 {
        (since + EJECTED_WORKER_WAIT_NS).max(self.now + EJECTED_WORKER_RETRY_INTERVAL_NS)
    }
}
