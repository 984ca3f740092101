//! The leases of the entries and their expiry.

use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Up to this number of leases there is no protection against mass expiry.
const MAX_UNGUARDED_LEASES: usize = 3;

struct Lease {
    length: Duration,
    expires_at: Instant,
}

/// The expired leases.
#[derive(Debug, PartialEq)]
pub enum Expired<'a> {
    /// The `uid`s of the entries whose leases have expired.
    Entries(Vec<&'a str>),
    /// The number of expired leases if more than half have expired at once: their entries are kept.
    Suspended(usize),
}

/// The leases by the `uid` of their entry.
#[derive(Default)]
pub struct Leases(BTreeMap<String, Lease>);

impl Leases {
    /// Grants a lease that expires after `length`, or after `min_remaining` if that is longer.
    pub fn grant(&mut self, uid: &str, length: Duration, min_remaining: Duration, now: Instant) {
        self.0.insert(uid.to_string(), Lease { length, expires_at: now + length.max(min_remaining) });
    }

    pub fn remove(&mut self, uid: &str) {
        self.0.remove(uid);
    }

    /// Renews a lease and returns its length; `None` if there is no such lease.
    pub fn renew(&mut self, uid: &str, now: Instant) -> Option<Duration> {
        let lease = self.0.get_mut(uid)?;
        // Renewals that arrive out of order must not shorten the lease.
        lease.expires_at = lease.expires_at.max(now + lease.length);
        Some(lease.length)
    }

    /// The length of the lease in milliseconds, as stored on disk; 0 without a lease.
    pub fn length_ms(&self, uid: &str) -> u64 {
        self.0.get(uid).map_or(0, |lease| lease.length.as_millis() as u64)
    }

    /// The remaining time of the lease; `None` if it has expired.
    pub fn remaining(&self, uid: &str, now: Instant) -> Option<Duration> {
        self.0.get(uid)?.expires_at.checked_duration_since(now)
    }

    /// The expired leases. If more than half are expired at once, an outage of this registry or of the
    /// network is more likely than the loss of most servers, so the entries are kept.
    pub fn expired(&self, now: Instant) -> Expired<'_> {
        let expired: Vec<&str> =
            self.0.iter().filter(|(_, lease)| lease.expires_at <= now).map(|(uid, _)| uid.as_str()).collect();
        if self.0.len() > MAX_UNGUARDED_LEASES && expired.len() * 2 > self.0.len() {
            return Expired::Suspended(expired.len());
        }
        Expired::Entries(expired)
    }
}
