//! The platform's list of workers. The list lags, and the platform limits the rate of reads.

use configuration::{Instance, WorkerResources};

use super::event::Event;
use super::network::Endpoint;
use super::World;
use crate::core_process::CoreEvent;
use crate::history::DrainRead;
use crate::time::{ms, MS, SECOND};

/// Time that a reader waits for the list, in nanoseconds.
const READ_TIMEOUT_NS: u64 = 1_500 * MS;

/// An entry of the current list.
struct Entry {
    worker: usize,
    instance: String,
    drains_until: Option<u64>,
}

/// The current list and its earlier versions.
#[derive(Default)]
pub(super) struct Platform {
    entries: Vec<Entry>,
    versions: Vec<(u64, Vec<Instance>)>,
    second: u64,
    calls_in_second: u64,
}

impl World {
    /// Starts all workers at the beginning of the day.
    pub(super) fn boot_all_workers(&mut self) {
        for worker in 0..self.fleet.workers.len() {
            self.fleet.boot(worker, self.now);
            self.add_to_list(worker);
        }
        self.list_changed();
    }

    /// Adds a worker's current incarnation to the list.
    pub(super) fn list_worker(&mut self, worker: usize) {
        self.add_to_list(worker);
        self.list_changed();
    }

    fn add_to_list(&mut self, worker: usize) {
        let Some(incarnation) = &self.fleet.workers[worker].incarnation else { return };
        let instance = incarnation.instance.clone();
        self.incarnations.insert(instance.clone(), worker);
        self.platform.entries.push(Entry { worker, instance, drains_until: None });
    }

    /// Marks a worker's current incarnation as draining until the given time.
    pub(super) fn list_draining(&mut self, worker: usize, until: u64) {
        let Some(incarnation) = &self.fleet.workers[worker].incarnation else { return };
        let instance = &incarnation.instance;
        for entry in self.platform.entries.iter_mut().filter(|entry| entry.instance == *instance) {
            entry.drains_until = Some(until);
        }
        self.list_changed();
    }

    pub(super) fn worker_unlisted(&mut self, instance: &str) {
        self.platform.entries.retain(|entry| entry.instance != instance);
        self.list_changed();
    }

    fn list_changed(&mut self) {
        let now = self.now;
        let entries = self.platform.entries.iter();
        let list = entries.map(|entry| {
            let worker = &self.fleet.workers[entry.worker];
            Instance {
                id: entry.instance.clone(),
                service: self.site.services[worker.service].name.to_owned(),
                address: worker.address.clone(),
                zone: format!("zone-{}", worker.zone),
                version: "v1".to_owned(),
                capacity: 8,
                draining: entry.drains_until.is_some(),
                warmup_left_ms: 0,
                available: WorkerResources {
                    cpu: worker.available.cpu,
                    mem_mb: worker.available.mem_mb,
                    gpu: worker.available.gpu,
                },
                labels: worker.labels.clone(),
                remaining_ms: entry.drains_until.map(|until| until.saturating_sub(now) / MS),
            }
        });
        let list = list.collect();
        self.platform.versions.push((now, list));
    }

    pub(super) fn read_list(&mut self, machine: usize, term: u64) {
        let incarnation = self.cores[machine].incarnation;
        let event = Event::ListAsked { machine, incarnation, term };
        let at = self.now + self.delay(Endpoint::Core(machine), Endpoint::Outside);
        self.queue.push(at, event);
    }

    pub(super) fn list_asked(&mut self, machine: usize, incarnation: u32, term: u64) {
        let second = self.now / SECOND;
        if self.platform.second != second {
            self.platform.second = second;
            self.platform.calls_in_second = 0;
        }
        self.platform.calls_in_second += 1;
        let refused = self.platform.calls_in_second > self.site.list_reads_per_s;
        let shown = self.now.saturating_sub(self.site.list_lag);
        let version = self.platform.versions.iter().rposition(|(at, _)| *at <= shown).filter(|_| !refused);
        let delay = self.delay(Endpoint::Outside, Endpoint::Core(machine));
        let event = Event::ListArrives { machine, incarnation, term, version };
        self.queue.push(self.now + delay.min(READ_TIMEOUT_NS), event);
    }

    pub(super) fn list_arrives(
        &mut self,
        machine: usize,
        incarnation: u32,
        term: u64,
        version: Option<usize>,
    ) {
        if self.cores[machine].incarnation != incarnation || self.cores[machine].process.is_none() {
            return;
        }
        let until = self.cores[machine].frozen_until;
        if until > self.now {
            self.queue.push(until, Event::ListArrives { machine, incarnation, term, version });
            return;
        }
        if self.site.processor.is_some() {
            let read = version.map(|version| (term, version));
            if read.is_some() && std::mem::replace(&mut self.cores[machine].last_list, read) == read {
                self.core_event(machine, CoreEvent::InstancesUnchanged { term });
                return;
            }
        }
        let instances = version.map(|version| self.shown_version(version));
        for instance in instances.iter().flatten().filter(|instance| instance.draining) {
            let read = DrainRead { reader: machine, instance: instance.id.clone(), at: self.now };
            self.history.drains.push(read);
        }
        self.core_event(machine, CoreEvent::Instances { term, instances });
    }

    /// A version of the list. The remaining drain times are relative to the time that the lagging list shows.
    fn shown_version(&self, version: usize) -> Vec<Instance> {
        let (made_at, list) = &self.platform.versions[version];
        let shown = self.now.saturating_sub(self.site.list_lag);
        let passed_ms = shown.saturating_sub(*made_at) / MS;
        let mut list = list.clone();
        for instance in &mut list {
            instance.remaining_ms = instance.remaining_ms.map(|left| left.saturating_sub(passed_ms));
        }
        list
    }

    pub(super) fn worker_boots(&mut self, worker: usize) {
        if self.fleet.workers[worker].incarnation.is_some() {
            return;
        }
        self.fleet.boot(worker, self.now);
        self.list_worker(worker);
    }

    /// Shuts a worker's incarnation down. The list still shows the incarnation for some seconds.
    pub(super) fn worker_leaves(&mut self, worker: usize) {
        let instance =
            self.fleet.workers[worker].incarnation.as_ref().map(|incarnation| incarnation.instance.clone());
        let Some(instance) = instance else { return };
        self.trace(|| format!("worker {worker} ({instance}) is gone"));
        self.fleet.crash(worker, self.now, &mut self.history);
        let linger = ms(self.rng.u64(1_000..6_000));
        self.queue.push(self.now + linger, Event::WorkerUnlisted { instance });
    }
}
