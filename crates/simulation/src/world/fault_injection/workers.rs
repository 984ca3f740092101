//! Faults of workers, and their planned removal.

use crate::history::Span;
use crate::script::{FaultKind, InjectedFault};
use crate::time::ms;
use crate::world::event::Event;
use crate::world::network::{Endpoint, Partition};
use crate::world::setting_up::make_worker;
use crate::world::World;

/// Fraction of a service's workers that a fault affects.
const AFFECTED_WORKER_FRACTION: f64 = 0.2;

impl World {
    pub(super) fn inject_on_workers(&mut self, fault: &InjectedFault) -> Vec<usize> {
        let service = fault.pick as usize % self.site.services.len();
        let up: Vec<usize> = (0..self.fleet.workers.len())
            .filter(|worker| self.fleet.workers[*worker].service == service)
            .filter(|worker| self.fleet.workers[*worker].incarnation.is_some())
            .collect();
        let count = ((up.len() as f64 * AFFECTED_WORKER_FRACTION) as usize).max(1);
        let mut chosen = up;
        fastrand::Rng::with_seed(fault.pick).shuffle(&mut chosen);
        chosen.truncate(count);
        let until = self.now + fault.lasts;
        for worker in chosen.clone() {
            let span = Span { from: self.now, until };
            self.history.worker_faults.push((worker, span, fault.kind));
            self.inject_on_worker(worker, fault);
        }
        chosen
    }

    fn inject_on_worker(&mut self, worker: usize, fault: &InjectedFault) {
        use FaultKind::*;
        let now = self.now;
        let until = now + fault.lasts;
        let strength = 0.3 + 0.7 * (fault.pick % 10) as f64 / 10.0;
        match fault.kind {
            WorkerCrash => {
                self.worker_leaves(worker);
                self.queue.push(until, Event::WorkerBoots { worker });
            }
            WorkerGone => self.worker_leaves(worker),
            WorkerSlow => self.fleet.set_condition(worker, now, |condition| condition.slowness = 5.0),
            WorkerFailing => self.fleet.set_condition(worker, now, |condition| condition.failing = true),
            WorkerStalled => self.fleet.set_condition(worker, now, |condition| condition.stalled = true),
            WorkerBusy => self.fleet.set_condition(worker, now, |condition| condition.busy = strength),
            WorkerMute => self.fleet.set_condition(worker, now, |condition| condition.mute = strength),
            WorkerHang => self.fleet.set_condition(worker, now, |condition| condition.hanging = strength),
            WorkerPartition => self.partition(Partition::FromAll(Endpoint::Worker(worker)), until),
            WorkerPartitionFromCore => self.partition(Partition::WorkerFromCores(worker), until),
            ScaleIn | ScaleInSpot => self.drain_worker(worker, fault.kind == ScaleInSpot),
            _ => {}
        }
    }

    /// Drains a worker, removes it and adds a new one in its place.
    fn drain_worker(&mut self, worker: usize, spot: bool) {
        let drain_ms = if spot { 2_000 } else { self.site.bounds.drain_ms };
        let least = self.now + ms(drain_ms);
        self.list_draining(worker, least);
        let linger = if spot { 0 } else { self.rng.u64(0..ms(4_000)) };
        self.queue.push(least + linger, Event::WorkerLeaves { worker });
        let service = self.fleet.workers[worker].service;
        let number = self.fleet.workers.len();
        let replacement =
            make_worker(&self.site, service, &self.site.services[service], number, &mut self.rng);
        let replacement = self.fleet.add(replacement);
        self.queue.push(least + ms(4_000), Event::WorkerBoots { worker: replacement });
    }
}
