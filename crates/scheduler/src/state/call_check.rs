//! Checks that a call to a worker is based on committed commands only.

use crate::ids::AttemptKey;
use crate::worker::WorkerRequest;

use super::error::UncommittedCall;
use super::State;

impl State {
    /// Checks a call to one incarnation of a worker against the committed state.
    ///
    /// # Errors
    ///
    /// Returns an error if the call would acknowledge ends that are not durable, or start an
    /// attempt whose intent to start is not durable.
    pub fn check_call(&self, instance: &str, request: &WorkerRequest) -> Result<(), UncommittedCall> {
        match request {
            WorkerRequest::RenewLease { last_seen, .. } => {
                let acknowledged = self.worker(instance).map_or(0, |worker| worker.acknowledged);
                if *last_seen > acknowledged {
                    return Err(UncommittedCall::Ends(instance.to_owned(), *last_seen, acknowledged));
                }
            }
            WorkerRequest::Start { key, .. } => {
                if !self.has_committed_start(key, instance) {
                    return Err(UncommittedCall::Start(*key, instance.to_owned()));
                }
            }
            WorkerRequest::Stop { .. } => {}
        }
        Ok(())
    }

    fn has_committed_start(&self, key: &AttemptKey, instance: &str) -> bool {
        let work = self.job(key.task.job).and_then(|job| job.work());
        let task = work.and_then(|work| work.task(key.task));
        task.is_some_and(|task| {
            task.active.iter().any(|active| active.attempt == key.attempt && *active.instance == *instance)
        })
    }
}
