//! Admission: a request is checked against its customer's quota and joins the queue of its plan and dominant
//! resource (mQoS, 3.2: the request classifier).

use crate::decide::averages::{FLEET_DAMPING, GAIN};
use crate::decide::gateway::{Gateway, ATTEMPTS, UNITS};
use crate::interface::{Action, Request, RequestId, Time};
use crate::state::{nanos, PendingRequest};

/// A request is sent only while at least this many mean answer times are left until the latency target.
const RESERVED_ANSWER_TIMES: f64 = 2.0;
/// A request may always wait for the latency target divided by this.
const MIN_WAIT_DIVISOR: Time = 4;
/// A request may wait until this many ticks before its deadline, so that its answer is in time.
const RESERVED_TICKS: Time = 2;

impl Gateway {
    /// Handles a new request: rejects it if its customer's quota is exhausted, otherwise puts it into its
    /// queue.
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

    /// The latest time to send a request so that its answer can be within the latency target.
    fn latest_send(&self, request: &Request) -> Time {
        let target = self.settings.classes[request.class].latency_target;
        let left = nanos(RESERVED_ANSWER_TIMES * self.mean_answer_seconds[request.class]);
        let latest = self.now + target.saturating_sub(left).max(target / MIN_WAIT_DIVISOR);
        latest.min(request.deadline.saturating_sub(RESERVED_TICKS * self.settings.tick)).max(self.now)
    }

    /// Puts an admitted request into its queue. Not in the paper: in a queue that waits, requests of classes
    /// with a higher value come first. Protects the requests that earn most while capacity is short. Cost:
    /// other classes of the same plan wait, up to their wait limit.
    fn enqueue(&mut self, request: &Request) {
        let value = |id: &RequestId| {
            self.pending.get(id).map_or(0.0, |waiting| self.settings.classes[waiting.class].value)
        };
        let resource = self.dominant_resource(request.units);
        let own = value(&request.id);
        let queue = &self.sub_schedulers[resource].queues[request.plan];
        // With a capacity below one attempt, the newest request goes first, because it has most of its time
        // left. A request that has waited long will be late, and would make the ones behind it late too.
        let newest_first = self.capacity(ATTEMPTS) < 1.0;
        let stands_behind = |id: &RequestId| value(id) < own || newest_first && value(id) <= own;
        let position = queue.iter().position(stands_behind).unwrap_or(queue.len());
        self.sub_schedulers[resource].queues[request.plan].insert(position, request.id);
    }

    /// The resource of which a request needs the largest share (mQoS, 3.2): units if it has more than the
    /// mean, otherwise attempts.
    pub(super) fn dominant_resource(&self, units: f64) -> usize {
        if units > self.mean_units {
            UNITS
        } else {
            ATTEMPTS
        }
    }
}
