//! The platform's list of instances: which workers there are, their capacity, which are draining.

use std::collections::HashSet;

use configuration::Instance;
use messages::job::WorkerIncarnation;

use crate::placement::{Resources, WorkerKey};
use crate::time::NANOS_PER_MS;

use super::event_loop::Leader;
use super::interface::Output;
use super::timers::Timer;
use super::worker_entry::Listing;

/// The longest backoff between two reads of the list, as a multiple of the usual interval.
const MAX_BACKOFF: u32 = 4;
/// A read without a result after this time is asked for again, in nanoseconds.
const INSTANCE_READ_TIMEOUT: u64 = 10_000 * NANOS_PER_MS;
/// How long an idle incarnation that is no longer listed is kept, in nanoseconds.
const UNLISTED_RETENTION: u64 = 60_000 * NANOS_PER_MS;

impl Leader {
    /// Asks the driver for the list, unless a read is outstanding.
    pub(super) fn request_instances(&mut self, out: &mut Vec<Output>) {
        let is_outstanding =
            self.instances_requested_at > 0 && self.now < self.instances_requested_at + INSTANCE_READ_TIMEOUT;
        if !is_outstanding {
            self.instances_requested_at = self.now.max(1);
            out.push(Output::ReadInstances);
        }
        self.timers.set(self.now + INSTANCE_READ_TIMEOUT, Timer::ReadInstances);
    }

    /// Sets the timer of the next read, with jitter, so that leaders of several deployments do not read in step.
    fn schedule_instance_read(&mut self) {
        self.instances_requested_at = 0;
        let factor = u64::from((1 << self.instance_read_failures.min(8)).min(MAX_BACKOFF));
        let interval_ms = self.settings.list_interval_ms.max(1) * factor;
        let jitter = self.random.u64(0..=interval_ms / 16);
        self.timers.set(self.now + (interval_ms + jitter) * NANOS_PER_MS, Timer::ReadInstances);
    }

    /// The list could not be read.
    pub(super) fn instances_failed(&mut self) {
        self.instance_read_failures = self.instance_read_failures.saturating_add(1);
        self.schedule_instance_read();
    }

    /// The list was read.
    pub(super) fn instances_listed(&mut self, instances: Vec<Instance>) {
        self.instance_read_failures = 0;
        self.has_instances = true;
        self.schedule_instance_read();
        let listed: Vec<WorkerKey> =
            instances.into_iter().map(|instance| self.instance_listed(instance)).collect();
        self.update_placement_of_all(&listed);
        let listed: HashSet<WorkerKey> = listed.into_iter().collect();
        let keys: Vec<WorkerKey> = self.workers.keys().copied().collect();
        for key in keys {
            if !listed.contains(&key) {
                self.instance_not_listed(key);
            }
        }
    }

    /// The list was read and is unchanged: only time has passed.
    pub(super) fn instances_unchanged(&mut self) {
        if !self.has_instances {
            // It was last read for an earlier leader of this process.
            self.instances_requested_at = 0;
            self.timers.set(self.now, Timer::ReadInstances);
            return;
        }
        self.instance_read_failures = 0;
        self.schedule_instance_read();
        let (listed, unlisted): (Vec<WorkerKey>, Vec<WorkerKey>) =
            self.workers.keys().partition(|key| self.workers[key].listed);
        self.update_placement_of_all(&listed);
        for key in unlisted {
            self.instance_not_listed(key);
        }
    }

    /// Takes what the list says of an instance; placement is still to be updated.
    fn instance_listed(&mut self, instance: Instance) -> WorkerKey {
        let incarnation =
            WorkerIncarnation { instance: instance.id, address: instance.address, service: instance.service };
        let key = self.worker_key(&incarnation, 0);
        let now = self.now;
        let drain_ms = self.settings.drain_ms;
        let Some(entry) = self.workers.get_mut(&key) else { return key };
        let since = entry.listing.as_ref().and_then(|before| before.ends_at);
        let ends_at = instance.draining.then(|| match instance.remaining_ms {
            Some(remaining_ms) => now + remaining_ms.saturating_mul(NANOS_PER_MS),
            None => since.unwrap_or(now + drain_ms * NANOS_PER_MS),
        });
        let available = instance.available;
        let capacity = Resources { cpu: available.cpu, mem_mb: available.mem_mb, gpu: available.gpu };
        let warm_at = now + instance.warmup_left_ms.saturating_mul(NANOS_PER_MS);
        let was_draining = entry.listing.as_ref().is_some_and(|before| before.draining);
        entry.listing = Some(Listing {
            capacity,
            labels: instance.labels,
            zone: instance.zone,
            draining: instance.draining,
            ends_at,
            warm_at,
        });
        entry.listed = true;
        entry.unlisted_since = None;
        if instance.draining && !was_draining {
            entry.session.withdraw_starts();
            self.schedule_poll(key);
            self.timers.set_no_later(now, Timer::ExamineAttempts);
        }
        key
    }

    /// An incarnation that is not listed gets no starts; an idle one is forgotten after a while.
    fn instance_not_listed(&mut self, key: WorkerKey) {
        let now = self.now;
        let Some(entry) = self.workers.get_mut(&key) else { return };
        entry.listed = false;
        let since = *entry.unlisted_since.get_or_insert(now);
        let idle = entry.assigned.is_empty() && entry.ends.is_empty() && entry.session.is_idle();
        if idle && (entry.incarnation_ended || now.saturating_sub(since) >= UNLISTED_RETENTION) {
            self.forget_worker(key);
        } else {
            self.update_placement(key);
        }
    }

    fn forget_worker(&mut self, key: WorkerKey) {
        let Some(entry) = self.workers.remove(&key) else { return };
        self.timers.cancel(Timer::Session(key));
        self.status_queries.set_needed(key, false);
        self.timers.cancel(Timer::Worker(key));
        self.worker_keys.remove(&entry.instance);
        self.services[entry.service].fleet.remove(key);
        self.batch.forget_worker(entry.instance.to_string());
    }
}
