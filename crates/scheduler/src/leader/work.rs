//! How much work a leader has done, in units that do not depend on the machine: what its processor time goes to.

use super::event_loop::Leader;
use super::service::Service;

/// Units of work since they were last taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaderWork {
    /// Inputs that were handled.
    pub inputs: u64,
    /// Passes over the waiting steps of a service.
    pub admission_passes: u64,
    /// Waiting steps for which a worker was searched.
    pub steps_examined: u64,
    /// Workers that these searches examined.
    pub workers_examined: u64,
    /// Polls of workers' sessions.
    pub sessions_polled: u64,
    /// How often the shares of all waiting steps of a service were computed.
    pub share_updates: u64,
    /// Calls to workers that were given up.
    pub calls_cancelled: u64,
}

impl Leader {
    /// The work done since the last call.
    pub fn take_work(&mut self) -> LeaderWork {
        let workers_examined = self.services.iter().map(|service| service.fleet.take_examined()).sum();
        let share_updates = self.services.iter_mut().map(Service::take_share_updates).sum();
        LeaderWork { workers_examined, share_updates, ..std::mem::take(&mut self.work) }
    }
}
