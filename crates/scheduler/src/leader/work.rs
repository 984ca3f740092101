//! Counts of the work that a leader has done, in units that do not depend on the machine. They show what the
//! leader's processor time is spent on.

/// Work counted since `Leader::take_work` was last called.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaderWork {
    /// Handled inputs.
    pub inputs: u64,
    /// Tasks that were added to the waiting tasks of a service.
    pub tasks_queued: u64,
    /// Admission passes over the waiting steps of a service.
    pub admission_passes: u64,
    /// Waiting steps for which a worker was searched.
    pub steps_examined: u64,
    /// Workers and blocks of workers that these searches examined.
    pub workers_examined: u64,
    /// Polls of worker sessions.
    pub sessions_polled: u64,
    /// Attempts over which polls went to find what their worker's session needs, beyond the few of an ordinary worker.
    pub attempts_polled: u64,
    /// How often the shares of all waiting steps of a service were computed.
    pub share_updates: u64,
    /// Jobs that were rejected because of overload.
    pub jobs_rejected: u64,
    /// Cancelled calls to workers.
    pub calls_cancelled: u64,
    /// Calls that were not sent because the worker could not be reached.
    pub calls_not_sent: u64,
    /// Calls whose outcome is unknown because the machine that made them was lost.
    pub calls_interrupted: u64,
    /// Calls to workers that the driver withheld.
    pub calls_withheld: u64,
}
