//! Reports of what a leader carries (its workers, what waits, what is in flight) and of the work it has done.

use crate::leader::event_loop::Leader;
use crate::leader::service::Service;
use crate::leader::work::LeaderWork;
use crate::time::NANOS_PER_MS;

/// What a leader carries at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaderLoad {
    /// Known workers.
    pub workers: usize,
    /// Workers that may take starts.
    pub usable_workers: usize,
    /// Workers that do not answer.
    pub unreachable_workers: usize,
    /// Workers of which an answer is overdue.
    pub suspected_workers: usize,
    /// Steps of which tasks wait for a start.
    pub waiting_steps: usize,
    /// Those of them that found no capacity.
    pub blocked_steps: usize,
    /// Attempts that occupy a worker.
    pub attempts: usize,
    /// Those of them whose start was not confirmed yet.
    pub unconfirmed: usize,
    /// Confirmed starts a second.
    pub starts_per_s: u64,
    /// How long confirmations take, in milliseconds; 0 if there were few.
    pub start_delay_ms: u64,
    /// Tasks of open jobs.
    pub open_tasks: u64,
}

impl Leader {
    /// What this leader carries now.
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

    /// The work done since the last call.
    pub fn take_work(&mut self) -> LeaderWork {
        let workers_examined = self.services.iter().map(|service| service.fleet.take_examined()).sum();
        let share_updates = self.services.iter_mut().map(Service::take_share_updates).sum();
        LeaderWork { workers_examined, share_updates, ..std::mem::take(&mut self.work) }
    }
}
