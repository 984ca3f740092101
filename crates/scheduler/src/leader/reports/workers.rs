//! Report of all workers.

use admin::{WorkerObstacle, WorkerReport, Workers};

use crate::leader::amounts::amounts_of;
use crate::leader::event_loop::Leader;
use crate::leader::worker_entry::WorkerEntry;
use crate::placement::{Resources, WorkerKey};
use crate::time::NANOS_PER_MS;

/// Returns the milliseconds until a time of the monotonic clock, rounded up.
fn left_ms(until: u64, now: u64) -> u64 {
    until.saturating_sub(now).div_ceil(NANOS_PER_MS)
}

impl Leader {
    /// Returns all workers, whether they may take starts, and the obstacles that prevent starts.
    pub fn workers_report(&self, now: u64) -> Workers {
        let workers = self.workers.iter().map(|(key, entry)| self.worker_report(*key, entry, now));
        Workers { workers: workers.collect() }
    }

    /// Returns the instance ID of a worker, or an empty string if the worker is no longer known.
    pub(in crate::leader) fn instance_name(&self, worker: WorkerKey) -> String {
        self.workers.get(&worker).map_or_else(String::new, |entry| entry.instance.to_string())
    }

    fn worker_report(&self, key: WorkerKey, entry: &WorkerEntry, now: u64) -> WorkerReport {
        let listing = entry.listing.as_ref();
        let capacity = listing.map_or(Resources::ZERO, |listing| listing.capacity);
        let free = self.services[entry.service].fleet.free_on(key).unwrap_or(Resources::ZERO);
        let peers = &self.peers[entry.service];
        WorkerReport {
            instance: entry.instance.to_string(),
            address: entry.incarnation().address.clone(),
            service: entry.incarnation().service.clone(),
            zone: listing.map_or_else(String::new, |listing| listing.zone.clone()),
            labels: listing.map_or_else(Vec::new, |listing| listing.labels.clone()),
            usable: entry.is_usable(now),
            obstacles: obstacles_of(entry, now),
            capacity: amounts_of(capacity),
            free: amounts_of(free),
            attempts: entry.assigned_count(),
            pace_percent: (entry.pace(now, peers.pace.value()) * 100.0).round() as u32,
            trust_percent: (entry.outlier_detector.success_rate() * 100.0).round() as u32,
            consecutive_failures: entry.outlier_detector.consecutive_failures(),
        }
    }
}

/// Returns all obstacles that prevent starts on a worker.
fn obstacles_of(entry: &WorkerEntry, now: u64) -> Vec<WorkerObstacle> {
    let mut obstacles = Vec::new();
    if entry.incarnation_ended {
        obstacles.push(WorkerObstacle::IncarnationEnded);
    }
    if !entry.listed {
        obstacles.push(WorkerObstacle::NotListed);
    }
    if let Some(listing) = entry.listing.as_ref().filter(|listing| listing.draining) {
        let left_ms = listing.ends_at.map_or(0, |ends_at| left_ms(ends_at, now));
        obstacles.push(WorkerObstacle::Draining { left_ms });
    }
    if !entry.reachable {
        obstacles.push(WorkerObstacle::Unreachable);
    }
    if entry.unhealthy {
        obstacles.push(WorkerObstacle::Unhealthy);
    }
    if entry.backoff_until > now {
        obstacles.push(WorkerObstacle::RefusedStart { left_ms: left_ms(entry.backoff_until, now) });
    }
    let ejected_until = entry.outlier_detector.ejected_until();
    if ejected_until > now {
        obstacles.push(WorkerObstacle::Ejected { left_ms: left_ms(ejected_until, now) });
    } else if entry.outlier_detector.is_on_probation() && entry.assigned_count() > 0 {
        obstacles.push(WorkerObstacle::OnProbation);
    }
    obstacles
}
