//! Reports of the leader's current load (workers, waiting steps, attempts) and of the work that it has done.

use crate::leader::event_loop::Leader;
use crate::leader::service::Service;
use crate::leader::work::LeaderWork;
use crate::time::NANOS_PER_MS;

/// The load of a leader at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaderLoad {
    /// Number of known workers.
    pub workers: usize,
    /// Number of workers that may take starts.
    pub usable_workers: usize,
    /// Number of workers that do not respond.
    pub unreachable_workers: usize,
    /// Number of workers with an overdue response.
    pub suspected_workers: usize,
    /// Number of steps with tasks that wait for a start.
    pub waiting_steps: usize,
    /// Number of waiting steps that found no capacity.
    pub blocked_steps: usize,
    /// Number of attempts that occupy a worker.
    pub attempts: usize,
    /// Number of these attempts whose start is not confirmed yet.
    pub unconfirmed: usize,
    /// Confirmed starts per second.
    pub starts_per_s: u64,
    /// Delay of start confirmations, in milliseconds; 0 if there were too few.
    pub start_delay_ms: u64,
    /// Number of tasks in open jobs.
    pub open_tasks: u64,
}

impl Leader {
    /// Returns the current load.
    pub fn load_report(&self, now: u64) -> LeaderLoad {
        let starts_per_s = self.start_pace.confirmed_per_s(now);
        let start_delay_ms = self.start_pace.delay(now).unwrap_or(0) / NANOS_PER_MS;
        let workers = || self.workers.values();
        let (waiting, blocked): (Vec<usize>, Vec<usize>) =
            self.services.iter().map(|service| (service.waiting_steps(), service.blocked_steps())).unzip();
        LeaderLoad {
            workers: self.workers.len(),
            usable_workers: workers().filter(|entry| entry.is_usable(now)).count(),
            unreachable_workers: workers().filter(|entry| !entry.reachable).count(),
            suspected_workers: workers().filter(|entry| entry.suspect).count(),
            waiting_steps: waiting.iter().sum(),
            blocked_steps: blocked.iter().sum(),
            attempts: self.attempts.len(),
            unconfirmed: self.attempts.unconfirmed(),
            starts_per_s,
            start_delay_ms,
            open_tasks: self.open_tasks,
        }
    }

    /// Returns the work done since the last call and resets the counters.
    pub fn take_work(&mut self) -> LeaderWork {
        let workers_examined = self.services.iter().map(|service| service.fleet.take_examined_count()).sum();
        let share_updates = self.services.iter_mut().map(Service::take_share_updates).sum();
        LeaderWork { workers_examined, share_updates, ..std::mem::take(&mut self.work) }
    }
}
