//! The limit on this gateway's attempts in flight at a server (`room` in the design). The sum of the limits
//! over all servers is the availability of attempts in mQoS.

use crate::decide::observed_end::ObservedEnd;
use crate::interface::Ending;
use crate::state::{nanos, Server};

/// Factor by which a limit is multiplied after a rejection or a late answer.
const DECREASE_FACTOR: f64 = 0.75;
/// A limit is raised only if at least this share of it is in use.
const MIN_UTILIZATION: f64 = 0.5;
/// Increase for each successful answer at a limit of 1, summed over all gateways that share the server. Each
/// gateway adds at most 1.
const TOTAL_INCREASE: f64 = 4.0;

impl Server {
    /// Raises the limit on successful answers that are not late. Lowers it, at most once per mean answer
    /// time, on rejections as full, timeouts and answers after the latency target. `gateway_share` is one
    /// gateway's share of the server.
    pub(super) fn adjust_concurrency_limit(&mut self, end: &ObservedEnd, gateway_share: f64) {
        let in_use = f64::from(self.in_flight) + 1.0 >= self.concurrency_limit * MIN_UTILIZATION;
        let overloaded =
            end.full || end.ending == Ending::Late || end.succeeded && end.seconds > end.target_seconds;
        if end.succeeded && !end.is_late() && in_use {
            self.concurrency_limit +=
                (TOTAL_INCREASE * gateway_share).min(1.0) / self.concurrency_limit.max(1.0);
        } else if overloaded && end.now - self.limit_lowered_at > nanos(end.mean_answer_seconds) {
            self.concurrency_limit = (self.concurrency_limit * DECREASE_FACTOR).max(gateway_share);
            self.limit_lowered_at = end.now;
        }
    }
}
