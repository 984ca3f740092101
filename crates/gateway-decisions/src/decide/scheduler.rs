//! The main scheduler and the sub-schedulers (mQoS, 3.3 and 3.4): which request is sent next.

use crate::decide::availability::Capacities;
use crate::decide::gateway::{Gateway, SubScheduler, ATTEMPTS, RESOURCES, TIMER_SCHEDULER, UNITS};
use crate::interface::{Action, Name, RequestId};

/// After this many rounds of the main scheduler without a send, the waiting requests lack capacity rather
/// than deficit, because one quantum covers any request.
const IDLE_ROUNDS: u32 = 3;
/// Maximum of a deficit counter, in quanta.
const MAX_QUANTA: f64 = 2.0;
/// While requests wait, the scheduler runs again after the settings' `overload_tolerance` divided by this.
const RUNS_PER_OVERLOAD_TOLERANCE: u64 = 50;

/// A request that may be sent, its server, and its position in its queue.
struct Sendable {
    id: RequestId,
    server: Name,
    position: usize,
}

impl Gateway {
    /// The main scheduler: runs the sub-scheduler of the most available resource, or else the other one,
    /// until neither has a request to send.
    pub(super) fn run_main_scheduler(&mut self, out: &mut Vec<Action>) {
        if self.sub_schedulers.iter().all(SubScheduler::is_idle) {
            return;
        }
        let capacities = [self.capacity(ATTEMPTS), self.capacity(UNITS)];
        let (mut short_of_deficit, mut idle_rounds) = (false, 0);
        while idle_rounds < IDLE_ROUNDS {
            let first = self.most_available_resource(capacities);
            idle_rounds += 1;
            for resource in [first, 1 - first] {
                if let Some((id, server)) =
                    self.run_sub_scheduler(resource, capacities, &mut short_of_deficit)
                {
                    self.send(id, server, out);
                    (short_of_deficit, idle_rounds) = (false, 0);
                    break;
                }
            }
            if idle_rounds > 0 && !short_of_deficit {
                break;
            }
        }
        self.run_again_while_queued(out);
    }

    /// Sets a timer while requests wait, because budgets, ceilings and ejections change with time, without an
    /// event.
    fn run_again_while_queued(&mut self, out: &mut Vec<Action>) {
        let queued = self.sub_schedulers.iter().any(|sub| !sub.is_idle());
        if queued && !self.scheduler_timer_set {
            self.scheduler_timer_set = true;
            let at = self.now
                + (self.settings.overload_tolerance / RUNS_PER_OVERLOAD_TOLERANCE).max(self.settings.tick);
            out.push(Action::Timer { token: TIMER_SCHEDULER, at });
        }
    }

    /// The resource of the greatest availability; a random one if both are equal (mQoS, 3.4).
    fn most_available_resource(&mut self, capacities: Capacities) -> usize {
        let attempts = self.availability(ATTEMPTS, capacities);
        let units = self.availability(UNITS, capacities);
        if attempts == units {
            self.rng.usize(..RESOURCES)
        } else if units > attempts {
            UNITS
        } else {
            ATTEMPTS
        }
    }

    /// One turn of a sub-scheduler: the request at the head of the queue under its pointer is picked if all
    /// availability counters and all deficit counters of its plan cover it; otherwise the pointer moves on.
    /// Sets `short_of_deficit` if a head lacked only deficit.
    fn run_sub_scheduler(
        &mut self,
        resource: usize,
        capacities: Capacities,
        short_of_deficit: &mut bool,
    ) -> Option<(RequestId, Name)> {
        for _ in 0..=self.settings.plans.len() {
            let plan = self.deficits.plan(resource);
            if let Some(head) = self.head(resource, plan, capacities) {
                let need = [1.0, self.units_needed(head.id, plan)];
                if self.deficits.covers(plan, &need) {
                    self.deficits.charge(plan, &need);
                    self.sub_schedulers[resource].queues[plan].remove(head.position);
                    return Some((head.id, head.server));
                }
                *short_of_deficit = true;
            }
            // If no plan lacked deficit, a wrap leaves the counters unchanged. Otherwise they would grow
            // while capacity is short.
            if self.deficits.advance(resource) && *short_of_deficit {
                self.add_quanta(resource);
            }
        }
        None
    }

    /// Adds each plan's quantum to its deficit counter of a resource.
    fn add_quanta(&mut self, resource: usize) {
        for plan in 0..self.settings.plans.len() {
            let quantum = self.quantum(resource, plan);
            self.deficits.gain(resource, plan, quantum, MAX_QUANTA * quantum);
        }
    }

    /// The quantum that a plan's deficit counter of a resource gains on a wrap, by the plan's weight. It
    /// covers any request.
    fn quantum(&self, resource: usize, plan: usize) -> f64 {
        let plans = &self.settings.plans;
        let least = plans.iter().map(|plan| plan.value_factor).fold(f64::INFINITY, f64::min).max(1e-9);
        let weight = (plans[plan].value_factor / least).max(1.0);
        let largest_request =
            if resource == ATTEMPTS { 1.0 } else { self.settings.most_units.max(self.mean_units) };
        weight * largest_request
    }

    /// The units that a request is charged, at most one quantum.
    fn units_needed(&self, id: RequestId, plan: usize) -> f64 {
        self.pending[&id].units.min(self.quantum(UNITS, plan))
    }

    /// The first request of a queue that all availability counters cover and that may be sent now. The cheap
    /// checks come first, and if a class finds no server, its other requests are skipped.
    fn head(&mut self, resource: usize, plan: usize, capacities: Capacities) -> Option<Sendable> {
        if !self.is_available(ATTEMPTS, 1.0, capacities) {
            return None;
        }
        let pending = &self.pending;
        self.sub_schedulers[resource].queues[plan].retain(|id| pending.contains_key(id));
        let mut finds_no_server = vec![false; self.settings.classes.len()];
        let warming_up = self.servers.values().any(|server| self.warm_up_share(server) < 1.0);
        for position in 0..self.sub_schedulers[resource].queues[plan].len() {
            let id = self.sub_schedulers[resource].queues[plan][position];
            let class = self.pending[&id].class;
            if finds_no_server[class]
                || !self.is_available(UNITS, self.units_needed(id, plan), capacities)
                || !self.within_plan_limits(id)
            {
                continue;
            }
            match self.choose_server(id) {
                Some(server) => return Some(Sendable { id, server, position }),
                None => finds_no_server[class] = !warming_up && self.pending[&id].first_run.is_none(),
            }
        }
        None
    }
}
