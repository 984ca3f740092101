//! The main scheduler and the sub-schedulers (mQoS, 3.3 and 3.4): which request goes next.

use crate::decide::availability::Capacities;
use crate::decide::gateway::{Gateway, SubScheduler, ATTEMPTS, RESOURCES, TIMER_PUMP, UNITS};
use crate::interface::{Action, Name, RequestId};

/// Rounds of the main scheduler without a send after which capacity lacks, not deficit: a quantum covers any
/// request.
const IDLE_ROUNDS: u32 = 3;
/// Quanta that a deficit counter holds at most.
const MOST_QUANTA: f64 = 2.0;
/// The time in which a server that warms up falls over, divided by this, is how long a queue waits for what
/// eases with time alone.
const RUNS_PER_FALL: u64 = 50;

/// A request that may be sent, where to, and its position in its queue.
struct Sendable {
    id: RequestId,
    server: Name,
    position: usize,
}

impl Gateway {
    /// The main scheduler: wakes the sub-scheduler of the most available resource, else the next, until
    /// none has a request to send.
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
                if let Some((id, server)) = self.pick(resource, capacities, &mut short_of_deficit) {
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

    /// Sets a timer while requests wait: what they wait for may ease with time alone, as budgets, ceilings
    /// and ejections do.
    fn run_again_while_queued(&mut self, out: &mut Vec<Action>) {
        let queued = self.sub_schedulers.iter().any(|sub| !sub.is_idle());
        if queued && !self.scheduler_timer_set {
            self.scheduler_timer_set = true;
            let at = self.now + (self.settings.overload_tolerance / RUNS_PER_FALL).max(self.settings.tick);
            out.push(Action::Timer { token: TIMER_PUMP, at });
        }
    }

    /// The resource of the greatest availability, a random one if both are equal (mQoS, 3.4).
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

    /// One sub-scheduler's turn: the head under its pointer goes if every availability counter and every
    /// deficit counter of its plan covers it; else the pointer moves on. `short_of_deficit` is set where
    /// only deficits lacked.
    fn pick(
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
            // A wrap that found no plan short leaves the counters: else they would fill while capacity lacks.
            if self.deficits.advance(resource) && *short_of_deficit {
                self.add_quanta(resource);
            }
        }
        None
    }

    /// Adds their quanta to the deficit counters of a resource.
    fn add_quanta(&mut self, resource: usize) {
        for plan in 0..self.settings.plans.len() {
            let quantum = self.quantum(resource, plan);
            self.deficits.gain(resource, plan, quantum, MOST_QUANTA * quantum);
        }
    }

    /// What a plan's deficit counter of a resource gains on a wrap, by the plan's weight: enough for any
    /// request.
    fn quantum(&self, resource: usize, plan: usize) -> f64 {
        let plans = &self.settings.plans;
        let least = plans.iter().map(|plan| plan.value_factor).fold(f64::INFINITY, f64::min).max(1e-9);
        let weight = (plans[plan].value_factor / least).max(1.0);
        let largest_request =
            if resource == ATTEMPTS { 1.0 } else { self.settings.most_units.max(self.mean_units) };
        weight * largest_request
    }

    /// The units that a request needs, a quantum at most.
    fn units_needed(&self, id: RequestId, plan: usize) -> f64 {
        self.pending[&id].units.min(self.quantum(UNITS, plan))
    }

    /// The first request of a queue that every availability counter covers and that may be sent now. The
    /// cheap checks come first, and a class that finds no server is asked for once.
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
