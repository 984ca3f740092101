//! Creates the world of a day: machines, workers, initial configuration, traffic and faults.

use std::collections::{BTreeMap, HashMap};

use fastrand::Rng;
use scheduler::placement::Resources;

use super::cores::CoreMachine;
use super::edges::Edge;
use super::event::Event;
use super::World;
use crate::history::{History, Span};
use crate::script::Script;
use crate::site::{ServiceSite, Site};
use crate::time::{ms, SECOND};
use crate::workers::{Fleet, Worker};
use crate::workload::{add_jobs, make_day, rack_name, Queue, WORKER_KINDS};

/// Processes start within this time of each other, in nanoseconds.
const START_SPREAD_NS: u64 = 300_000_000;
/// Largest offset between the monotonic clocks of machines, in nanoseconds.
const MAX_MONOTONIC_OFFSET_NS: u64 = 3_600 * SECOND;
/// Largest slowness of a worker's clock, in parts per thousand.
const MAX_CLOCK_SLOW_PER_MILLE: u64 = 20;
/// Number of workers of a service whose addresses differ only in the last octet.
const WORKERS_PER_BLOCK: usize = 250;

pub(super) fn set_up(site: Site, script: Script) -> World {
    let mut rng = Rng::with_seed(script.seed);
    let mut jobs = make_day(&site, rng.u64(..));
    add_jobs(&site, &mut jobs, &mut rng);
    let cores = (0..site.all_cores()).map(|machine| {
        CoreMachine::new(rng.u64(..), machine < site.cores, rng.u64(0..MAX_MONOTONIC_OFFSET_NS))
    });
    let cores = cores.collect();
    let edges = (0..site.edges).map(|_| Edge::new()).collect();
    let fleet = Fleet::new(make_workers(&site, &mut rng), site.bounds.clone());
    let faults = script.faults.clone();
    let traffic = Span { from: site.traffic_start, until: site.traffic_start + site.traffic_length };
    let mut world = World {
        rng,
        now: 0,
        queue: Default::default(),
        network: Default::default(),
        cores,
        edges,
        connections: Vec::new(),
        fleet,
        fleet_wakes_at: u64::MAX,
        worker_calls: Default::default(),
        platform: Default::default(),
        operator: Default::default(),
        clients: Default::default(),
        jobs,
        faults,
        idle: Default::default(),
        late_share: 0.0,
        task_done_at: HashMap::new(),
        incarnations: BTreeMap::new(),
        final_fault_armed: false,
        power_loss_after_accept: None,
        power_loss_of_all_after_accept: None,
        power_loss_after_record: None,
        history: History { traffic: Some(traffic), ..History::default() },
        digest: None,
        trace: false,
        site,
        script,
    };
    world.schedule_day();
    world
}

fn make_workers(site: &Site, rng: &mut Rng) -> Vec<Worker> {
    let mut workers = Vec::new();
    for (position, service) in site.services.iter().enumerate() {
        for number in 0..service.workers {
            workers.push(make_worker(site, position, service, number, rng));
        }
    }
    workers
}

/// Creates the worker with the given number in a service.
pub(super) fn make_worker(
    site: &Site,
    position: usize,
    service: &ServiceSite,
    number: usize,
    rng: &mut Rng,
) -> Worker {
    let kind = WORKER_KINDS[number % WORKER_KINDS.len()].to_owned();
    let rack = rack_name(position, number / service.rack_size);
    let (block, place) = (128 + number / WORKERS_PER_BLOCK, number % WORKERS_PER_BLOCK + 1);
    let address = format!("10.{block}.{position}.{place}:8080");
    let mut worker = Worker::new(address, position, number % site.zones, vec![kind, rack]);
    let halves = service.sizes[number % service.sizes.len()];
    let full = service.available;
    worker.available = Resources {
        cpu: full.cpu * halves / 2,
        mem_mb: full.mem_mb * halves / 2,
        gpu: full.gpu * halves / 2,
    };
    worker.guards = service.guards;
    worker.clock_slow_per_mille = rng.u64(0..=MAX_CLOCK_SLOW_PER_MILLE);
    worker
}

impl World {
    fn schedule_day(&mut self) {
        if self.site.processor.is_some() {
            self.boot_all_workers();
        } else {
            (0..self.fleet.workers.len()).for_each(|worker| self.worker_boots(worker));
        }
        for machine in 0..self.site.cores {
            let at = self.rng.u64(0..START_SPREAD_NS);
            self.queue.push(at, Event::CoreStarts { machine, power: 0 });
        }
        for edge in 0..self.site.edges {
            let at = self.rng.u64(0..START_SPREAD_NS);
            self.queue.push(at, Event::EdgeStarts { edge });
        }
        self.queue.push(SECOND, Event::ReadinessAsked);
        // On days that simulate processor time, jobs may wait for the processor.
        if self.site.processor.is_none() {
            self.queue.push(self.site.traffic_start, Event::ChecksIdle);
        }
        for (job, plan) in self.jobs.iter().enumerate() {
            self.queue.push(plan.submit_at, Event::JobComes { job });
        }
        if let Some(interval) = self.site.count_interval {
            let (from, until) = (self.site.traffic_start, self.site.day_length());
            for at in (from..until).step_by(interval as usize) {
                for queue in &Queue::ALL {
                    self.queue.push(at, Event::ClientCounts { prefix: queue.prefix.to_owned() });
                }
            }
        }
        for (fault, planned) in self.faults.iter().enumerate() {
            self.queue.push(planned.at, Event::FaultBegins { fault });
        }
        let end = self.site.traffic_start + self.site.traffic_length;
        if self.script.closing.is_some() {
            self.queue.push(end, Event::Closing);
        }
        let final_reads_at = self.final_reads_at();
        self.queue.push(final_reads_at, Event::FinalQuestions);
        self.queue.push(final_reads_at + ms(500), Event::ReadBack);
        self.queue.push(ms(400), Event::FirstConfiguration);
    }
}
