//! Event log: counts significant events and logs one line at level info for each.
//!
//! A line consists of a short text followed by fields as `name=value`.

use super::Driver;
use crate::clock::MILLISECOND;
use log::Level;
use messages::job::JobPhase;
use scheduler::ids::AttemptKey;
use scheduler::leader::WorkerEvent;
use scheduler::state::{State, StateChange};

/// The reason for a missing leader is logged once there has been none for this long. An election takes less
/// time.
const OBSTACLE_DELAY_NS: u64 = 2_000 * MILLISECOND;
/// Minimum time between two such log lines.
const OBSTACLE_INTERVAL_NS: u64 = 1_000 * MILLISECOND;

impl Driver {
    /// Counts and logs the changes made by an applied batch.
    pub(super) fn record_applied(&mut self, now: u64, changes: &[StateChange]) {
        let is_leader = self.leader.is_some();
        let state = self.replica.state();
        self.metrics.applied(now, changes, is_leader, |job| starts_at_once(state, job));
        if log::log_enabled!(Level::Info) {
            changes.iter().for_each(|change| log_change(change, is_leader));
        }
    }

    /// Counts and logs what the local leader decided about workers.
    pub(super) fn record_worker_events(&mut self) {
        let Some(leader) = self.leader.as_mut() else { return };
        for event in leader.take_worker_events() {
            self.metrics.worker_event(&event);
            log_worker_event(&event);
        }
    }

    /// Logs why no leader accepts commands, once for each reason. Periods without a leader that are shorter
    /// than `OBSTACLE_DELAY_NS` are not logged.
    pub(super) fn record_leadership_obstacle(&mut self, now: u64) {
        let Some(obstacle) = self.replica.node().leadership_obstacle() else {
            self.leaderless_since = None;
            if self.logged_obstacle.take().is_some() {
                log::info!("a leader is known again");
            }
            return;
        };
        let since = *self.leaderless_since.get_or_insert(now);
        let is_logged = self
            .logged_obstacle
            .as_ref()
            .is_some_and(|(logged, at)| *logged == obstacle || now < at + OBSTACLE_INTERVAL_NS);
        if now < since + OBSTACLE_DELAY_NS || is_logged {
            return;
        }
        let node = self.replica.node();
        log::warn!(
            "no leader takes commands: {obstacle} term={} last_index={} commands={} members={} connected={}",
            node.term(),
            node.last_index(),
            if node.is_uninitialized() { "none" } else { "some" },
            node.membership().members.len(),
            self.clients.core_processes().len(),
        );
        self.logged_obstacle = Some((obstacle, now));
    }

    /// Logs why this process no longer leads.
    pub(super) fn record_step_down(&self, now: u64) {
        let Some(step_down) = self.replica.node().last_step_down() else { return };
        log::warn!(
            "no longer leads term={} {} majority_heard_ms_ago={} lease_ended_ms_ago={}",
            step_down.term,
            step_down.reason,
            now.saturating_sub(step_down.quorum_contact_at) / MILLISECOND,
            now.saturating_sub(step_down.lease_until) / MILLISECOND,
        );
    }

    /// Counts and logs a change of the known leader, which may also be a change to no leader.
    pub(super) fn record_leader_change(&mut self) {
        self.metrics.leader_changed();
        let term = self.replica.node().term();
        match self.replica.leader() {
            Some(leader) => {
                log::info!("leader changed term={term} leader={:x} control={}", leader.id, leader.control);
            }
            None => log::info!("leader changed term={term} leader=none"),
        }
    }

    /// Counts and logs a change of the membership.
    pub(super) fn record_membership_change(&mut self) {
        self.metrics.membership_changed();
        if !log::log_enabled!(Level::Info) {
            return;
        }
        let membership = self.replica.node().membership();
        let members_text = |voters: bool| {
            let members = membership.members.iter().filter(|member| member.voter == voters);
            let texts: Vec<String> =
                members.map(|member| format!("{:x}@{}", member.id, member.address)).collect();
            texts.join(",")
        };
        log::info!("membership changed voters={} learners={}", members_text(true), members_text(false));
    }

    /// Counts and logs that a snapshot of this process is durable.
    pub(super) fn record_snapshot(&mut self, index: u64, bytes: usize) {
        self.metrics.snapshot_taken();
        log::info!("snapshot taken index={index} bytes={bytes}");
    }
}

/// Whether a job is not scheduled for later, so that the time until its start measures the scheduler.
fn starts_at_once(state: &State, job: u64) -> bool {
    state.open_work(job).is_some_and(|work| !work.is_scheduled())
}

/// Logs a change that every member applies. Failed jobs are logged by the leader only.
fn log_change(change: &StateChange, is_leader: bool) {
    match change {
        StateChange::ConfigurationAccepted { key, version } => {
            log::info!("configuration taken version={version} builds_on={}", key.builds_on);
        }
        StateChange::JobEnded { job, phase: JobPhase::JOB_FAILED } if is_leader => {
            log::info!("job failed job={job:016x}");
        }
        _ => {}
    }
}

fn log_worker_event(event: &WorkerEvent) {
    match event {
        WorkerEvent::Ejected { instance, ejection_ms } => {
            log::info!("worker convicted instance={instance} rest_ms={ejection_ms}");
        }
        WorkerEvent::Reinstated { instance } => log::info!("worker released instance={instance}"),
        WorkerEvent::TimedOut { instance, attempts } => {
            log::info!("worker timed out instance={instance} attempts={attempts}");
        }
        WorkerEvent::Recovered { instance } => log::info!("worker answers again instance={instance}"),
        WorkerEvent::Lost { instance, attempts } => {
            log::info!("worker lost instance={instance} attempts={attempts}");
        }
        WorkerEvent::GangMemberTimedOut { instance, key, gang } => {
            let AttemptKey { task, attempt } = key;
            log::warn!(
                "a gang member ended because the rest of its gang did not start in time \
                 instance={instance} job={:016x} time={} step={} index={} attempt={attempt} \
                 placed_ms={} percent={} members={} started={} stopping={}",
                task.job,
                task.time,
                task.step,
                task.index,
                gang.placed_ms,
                gang.percent,
                gang.members,
                gang.started,
                gang.stopping
            );
        }
        WorkerEvent::ListingsExpired { workers, overdue_ms } => {
            log::warn!(
                "the platform's list is late: workers get no starts until it shows them again workers={workers} overdue_ms={overdue_ms}"
            );
        }
        WorkerEvent::Fenced { instance } => {
            log::warn!("a worker has seen a newer leader, this one gives no more orders instance={instance}");
        }
    }
}
