//! Admission: a request meets its customer's quota and joins the queue of its plan and dominant resource
//! (mQoS, 3.2: the request classifier).

use crate::decide::averages::{FLEET_DAMPING, GAIN};
use crate::decide::gateway::{Gateway, ATTEMPTS, UNITS};
use crate::interface::{Action, Request, RequestId, Time};
use crate::state::{nanos, PendingRequest};

/// Usual times before the end of the latency target up to which a request is worth sending.
const USUAL_TIMES_LEFT: f64 = 2.0;
/// The least time that a request may wait, as a divisor of the latency target.
const TARGETS_PER_LEAST_WAIT: Time = 4;
/// Ticks before the deadline up to which a request may wait, so that its answer is in time.
const TICKS_LEFT: Time = 2;

impl Gateway {
    /// Takes a new request: rejects it if its customer's quota is used, else puts it into its queue.
    pub(super) fn admit(&mut self, request: Request, out: &mut Vec<Action>) {
        let known = request.class < self.settings.classes.len() && request.plan < self.settings.plans.len();
        if !known || self.pending.contains_key(&request.id) {
            return;
        }
        if !self.within_quota(&request) {
            let retry_after = self.retry_after(self.seconds_to_quota(&request));
            out.push(Action::Reject { id: request.id, retry_after });
            return;
        }
        self.mean_units += (request.units - self.mean_units) * GAIN / FLEET_DAMPING;
        let latest_send = self.latest_send(&request);
        self.next_timer += 1;
        self.timers.insert(self.next_timer, request.id);
        out.push(Action::Timer { token: self.next_timer, at: latest_send });
        let warm_up_draw = self.rng.f64();
        let pending = PendingRequest::new(&request, self.now, latest_send, warm_up_draw);
        self.pending.insert(request.id, pending);
        self.enqueue(&request);
    }

    /// The last moment from which an answer could be within the latency target.
    fn latest_send(&self, request: &Request) -> Time {
        let target = self.settings.classes[request.class].latency_target;
        let left = nanos(USUAL_TIMES_LEFT * self.usual_seconds[request.class]);
        let latest = self.now + target.saturating_sub(left).max(target / TARGETS_PER_LEAST_WAIT);
        latest.min(request.deadline.saturating_sub(TICKS_LEFT * self.settings.tick)).max(self.now)
    }

    /// Puts an admitted request into its queue. Beyond the paper: in a queue that waits, requests of a
    /// class of more value stand ahead. Guards what the goal weighs most while capacity lacks; harms the
    /// other classes of the same plan then, up to their wait limit.
    fn enqueue(&mut self, request: &Request) {
        let value = |id: &RequestId| {
            self.pending.get(id).map_or(0.0, |waiting| self.settings.classes[waiting.class].value)
        };
        let resource = self.dominant_resource(request.units);
        let own = value(&request.id);
        let queue = &self.sub_schedulers[resource].queues[request.plan];
        // With capacity for less than one attempt the newest goes first, which has most of its time: what has
        // waited for long comes late, and others with it.
        let newest_first = self.capacity(ATTEMPTS) < 1.0;
        let stands_behind = |id: &RequestId| value(id) < own || newest_first && value(id) <= own;
        let position = queue.iter().position(stands_behind).unwrap_or(queue.len());
        self.sub_schedulers[resource].queues[request.plan].insert(position, request.id);
    }

    /// The resource of which a request of so many units needs the largest share (mQoS, 3.2): units where it
    /// has more of them than others, else attempts.
    pub(super) fn dominant_resource(&self, units: f64) -> usize {
        if units > self.mean_units {
            UNITS
        } else {
            ATTEMPTS
        }
    }
}
