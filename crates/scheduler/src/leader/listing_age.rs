//! The age of what the platform's list says of a worker.
//!
//! A worker may be draining since the moment of which the list is. Its starts are therefore bounded by the age of its
//! listing: from `LeaderSettings::placement_limit` on it gets no further ones, and from `LeaderSettings::start_limit` on
//! none that waits may leave. A list that is late costs starts.

use crate::placement::WorkerKey;
use crate::time::NANOS_PER_MS;

use super::event_loop::Leader;
use super::timers::Timer;
use super::worker_events::WorkerEvent;

impl Leader {
    /// Sets the timer for when the first listing is too old, if it is not set.
    pub(super) fn arm_listing_expiry(&mut self) {
        let limits = self.workers.values().map(|entry| entry.starts_until);
        if let Some(at) = limits.filter(|until| *until > self.now).min() {
            self.timers.set_no_later(at, Timer::ExpireListings);
        }
    }

    /// Takes workers out of use whose listing has become too old.
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
