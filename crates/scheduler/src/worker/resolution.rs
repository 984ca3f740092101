//! Reports of attempts that run, and of attempts that certainly do not run and never will.

use messages::job::Resolution;

use crate::ids::AttemptKey;

use super::session::WorkerSession;
use super::types::SessionOutput;

impl WorkerSession {
    /// Reports once that an attempt runs.
    pub(super) fn report_started(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_listed(&key) else {
            return;
        };
        if !attempt.start_reported && !attempt.orphan {
            attempt.start_reported = true;
            self.outputs.push(SessionOutput::Started { key });
        }
    }

    /// Removes an attempt that certainly does not run and never will, and reports it.
    pub(super) fn resolve(&mut self, key: AttemptKey, resolution: Resolution) {
        let Some(attempt) = self.attempts.remove(&key) else {
            return;
        };
        self.held_starts.remove(&key);
        if !attempt.orphan {
            self.report_resolved(key, resolution, attempt.checkpoint);
        }
    }

    pub(super) fn report_resolved(&mut self, key: AttemptKey, resolution: Resolution, checkpoint: String) {
        self.outputs.push(SessionOutput::Resolved { key, resolution, checkpoint });
    }

    /// Resolves all attempts that may have run, once the worker's lease has certainly expired.
    pub(super) fn resolve_expired(&mut self, now: u64) {
        if self.lease_expiry_due().is_none_or(|at| at > now) {
            return;
        }
        let sent = self.attempts.iter().filter(|(_, attempt)| !attempt.is_queued());
        let expired: Vec<AttemptKey> = sent.map(|(key, _)| *key).collect();
        for key in expired {
            self.resolve(key, Resolution::LEASE_EXPIRED);
        }
    }

    /// When the worker's lease has certainly expired, in nanoseconds of the steady clock; `None` if no
    /// attempt may run under it.
    pub(super) fn lease_expiry_due(&self) -> Option<u64> {
        let may_run = self.attempts.iter().any(|(_, attempt)| !attempt.is_queued());
        may_run.then(|| self.worker_lease.certainly_expired_at(&self.clock))
    }
}
