//! Reports of changes in whether the worker is reachable, suspected or unhealthy.

use messages::job::Resolution;

use super::attempts::Attempt;
use super::response_clock::ResponseTime;
use super::session::WorkerSession;
use super::types::SessionOutput;

impl WorkerSession {
    /// Reports changes since the last poll, and rejects queued starts if the worker is unreachable.
    pub(super) fn check_health(&mut self, now: u64) {
        let judged_until = self.response_clock.judged_until(now);
        if self.reachability.mark_if_healthy(now) {
            self.outputs.push(SessionOutput::HealthChanged { unhealthy: false });
        }
        if self.reachability.mark_if_unreachable(&self.calls, judged_until) {
            self.outputs.push(SessionOutput::ReachabilityChanged { reachable: false });
        }
        let answer_timeout = self.start_answer_timeout();
        let missing = self.reachability.is_suspected(&self.calls, answer_timeout, judged_until);
        let suspected = self.options.suspicion && missing;
        if suspected != self.suspected {
            self.suspected = suspected;
            self.outputs.push(SessionOutput::SuspicionChanged { suspected });
        }
        if !self.reachability.is_reachable() {
            self.reject_queued_starts();
        }
    }

    /// Time at which the worker becomes suspected; `None` if it already is or suspicion is disabled.
    pub(super) fn suspicion_due(&self) -> Option<ResponseTime> {
        let due = self.reachability.suspected_at(&self.calls, self.start_answer_timeout());
        due.filter(|_| self.options.suspicion && !self.suspected)
    }

    /// Rejects starts that have not been sent, so that they can be placed elsewhere. No start is sent
    /// before `extend_start_limit` permits it again.
    pub fn withdraw_starts(&mut self) {
        self.wake_at = 0;
        self.start_limit = 0;
        self.reject_queued_starts();
    }

    fn reject_queued_starts(&mut self) {
        let queued = std::mem::take(&mut self.start_queue);
        let held = std::mem::take(&mut self.held_starts);
        for key in queued.into_iter().chain(held) {
            if self.attempts.get(&key).is_some_and(Attempt::is_queued) {
                self.resolve(key, Resolution::REJECTED);
            }
        }
    }

    /// Records that the worker accepted a start.
    pub(super) fn record_start_accepted(&mut self) {
        if self.reachability.record_start_accepted() {
            self.outputs.push(SessionOutput::HealthChanged { unhealthy: false });
        }
    }

    /// Records that the worker refused a start because it is unhealthy.
    pub(super) fn record_unhealthy_refusal(&mut self, now: u64) {
        if self.reachability.record_unhealthy_refusal(now) {
            self.outputs.push(SessionOutput::HealthChanged { unhealthy: true });
        }
    }
}
