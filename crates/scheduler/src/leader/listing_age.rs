//! Expiry of workers' listings.
//!
//! A worker may have started draining right after the time that a list reflects. Starts are therefore limited
//! by the age of the worker's listing: after `LeaderSettings::placement_limit` the worker is not chosen for
//! further starts, and after `LeaderSettings::start_limit` no pending start is sent to it. A delayed list
//! therefore delays starts.

use crate::placement::WorkerKey;
use crate::time::NANOS_PER_MS;

use super::event_loop::Leader;
use super::timers::Timer;
use super::worker_events::WorkerEvent;

impl Leader {
    /// Sets the timer for the next expiry of a listing unless an earlier one is set.
    pub(super) fn arm_listing_expiry(&mut self) {
        let limits = self.workers.values().map(|entry| entry.starts_until);
        if let Some(at) = limits.filter(|until| *until > self.now).min() {
            self.timers.set_no_later(at, Timer::ExpireListings);
        }
    }

    /// Stops placing tasks on workers whose listing has expired.
    pub(super) fn expire_listings(&mut self) {
        let now = self.now;
        let expired = self.workers.iter().filter(|(_, entry)| entry.listed && entry.starts_until <= now);
        let expired: Vec<WorkerKey> = expired.map(|(key, _)| *key).collect();
        self.update_placement_of_all(&expired);
        if let Some(oldest) =
            expired.iter().filter_map(|key| self.workers.get(key)).map(|entry| entry.starts_until).min()
        {
            let overdue_ms = now.saturating_sub(oldest) / NANOS_PER_MS;
            let workers = u32::try_from(expired.len()).unwrap_or(u32::MAX);
            self.events.push(WorkerEvent::ListingsExpired { workers, overdue_ms });
        }
        self.arm_listing_expiry();
    }
}
