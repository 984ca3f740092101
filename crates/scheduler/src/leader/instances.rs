//! The platform's instance list: which workers exist, their capacity, and which of them are draining.

use configuration::Instance;
use messages::job::WorkerIncarnation;

use crate::placement::{Resources, WorkerKey};
use crate::time::NANOS_PER_MS;

use super::event_loop::Leader;
use super::interface::Output;
use super::timers::Timer;
use super::worker_entry::Listing;

/// How long an idle incarnation is kept after it disappeared from the list.
const UNLISTED_RETENTION_NS: u64 = 60_000 * NANOS_PER_MS;

impl Leader {
    /// Requests a read of the list from the driver unless a read is outstanding.
    pub(super) fn request_instances(&mut self, out: &mut Vec<Output>) {
        if !self.list_reads.is_outstanding(self.now) {
            self.list_reads.requested(self.now);
            out.push(Output::ReadInstances);
        }
        self.timers.set(self.list_reads.times_out_at(), Timer::ReadInstances);
    }

    /// Sets the timer for the next read, with jitter so that the leaders of several deployments do not read
    /// in step.
    fn schedule_instance_read(&mut self) {
        let interval_ms = self.settings.list_interval_ms.max(1);
        let jitter_ms = self.random.u64(0..=interval_ms / 16);
        let due = self.list_reads.next_due(self.now, interval_ms, jitter_ms);
        self.timers.set(due, Timer::ReadInstances);
    }

    /// Handles a read that did not reach the end of the list.
    pub(super) fn list_read_failed(&mut self) {
        self.list_reads.read_ended(false);
        self.schedule_instance_read();
    }

    /// Handles one page of the list. The page takes effect immediately because the following pages may take
    /// long.
    pub(super) fn list_page_received(&mut self, instances: &[Instance], as_of: u64, has_changed: bool) {
        self.list_reads.page_received(self.now);
        let listed: Vec<WorkerKey> =
            instances.iter().map(|instance| self.instance_listed(instance, as_of, has_changed)).collect();
        self.update_placement_of_all(&listed);
        self.arm_listing_expiry();
    }

    /// Handles the end of a complete read: instances that no page showed are not listed.
    pub(super) fn list_completed(&mut self) {
        let current = self.list_reads.current_read();
        let unlisted = self.workers.iter().filter(|(_, entry)| entry.last_listed_read != current);
        let unlisted: Vec<WorkerKey> = unlisted.map(|(key, _)| *key).collect();
        for key in unlisted {
            self.instance_not_listed(key);
        }
        self.list_reads.read_ended(true);
        self.schedule_instance_read();
    }

    /// Applies the list entry of an instance. The caller must update placement afterwards.
    fn instance_listed(&mut self, instance: &Instance, as_of: u64, has_changed: bool) -> WorkerKey {
        let known = self.worker_keys.get(instance.id.as_str()).copied();
        let is_known =
            known.and_then(|key| self.workers.get(&key)).is_some_and(|entry| entry.listing.is_some());
        let key = match known {
            Some(key) if is_known && !has_changed => key,
            _ => self.listing_changed(instance),
        };
        let start_limit = self.settings.start_limit(as_of);
        let starts_until = self.settings.placement_limit(as_of);
        let Some(entry) = self.workers.get_mut(&key) else { return key };
        entry.listed = true;
        entry.last_listed_read = self.list_reads.current_read();
        entry.unlisted_since = None;
        entry.starts_until = entry.starts_until.max(starts_until);
        if !instance.draining && entry.session.extend_start_limit(start_limit) {
            self.schedule_poll(key);
        }
        key
    }

    /// Applies the changed attributes of an instance.
    fn listing_changed(&mut self, instance: &Instance) -> WorkerKey {
        let incarnation = WorkerIncarnation {
            instance: instance.id.clone(),
            address: instance.address.clone(),
            service: instance.service.clone(),
        };
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
        if entry.listing.as_ref().is_some_and(|before| before.labels != instance.labels) {
            entry.reported = None;
        }
        let was_draining = entry.listing.as_ref().is_some_and(|before| before.draining);
        entry.listing = Some(Listing {
            capacity,
            labels: instance.labels.clone(),
            zone: instance.zone.clone(),
            draining: instance.draining,
            ends_at,
            warm_at,
        });
        if instance.draining && !was_draining {
            entry.session.withdraw_starts();
            self.schedule_poll(key);
            self.timers.set_no_later(now, Timer::ExamineAttempts);
        }
        key
    }

    /// Withholds starts from an incarnation that is not listed. An idle incarnation is removed after the
    /// retention time.
    fn instance_not_listed(&mut self, key: WorkerKey) {
        let now = self.now;
        let Some(entry) = self.workers.get_mut(&key) else { return };
        entry.listed = false;
        let since = *entry.unlisted_since.get_or_insert(now);
        let idle = entry.assigned.is_empty() && entry.pending_ends.is_empty() && entry.session.is_idle();
        if idle && (entry.incarnation_ended || now.saturating_sub(since) >= UNLISTED_RETENTION_NS) {
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
