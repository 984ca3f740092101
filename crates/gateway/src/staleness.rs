//! Learns for each roll server how long a connection may be idle and still be reused.

use std::time::Duration;
use tokio::time::Instant;

/// The upper end of the first bucket of idle times; each further bucket ends at twice the previous one.
const FIRST_BUCKET_END: Duration = Duration::from_millis(16);
const BUCKETS: usize = 12;
/// An idle time is too long if the share of connections that break after it exceeds that of new connections
/// by this: from there on, a new connection costs less than a broken request.
const STALE_EXCESS_SHARE: f64 = 0.15;
/// A single break may be chance.
const MIN_BREAKS: f64 = 1.5;
/// The observations at all other servers together weigh as much as this many connections of the server
/// itself.
const FLEET_WEIGHT: f64 = 4.0;
/// The half-life of observations, in seconds, so that a server that has changed is tried again.
const HALF_LIFE_S: f64 = 30.0;

/// How often connections break, by idle time. Servers and devices in between may drop an idle connection long
/// before the configured time, and some do not signal this until a request is written to it.
#[derive(Clone)]
pub struct Staleness {
    /// Per bucket: the connections whose idle time ended, and how many of them were ended by the other side.
    buckets: [(f64, f64); BUCKETS],
    decayed_at: Instant,
}

impl Staleness {
    pub fn new(now: Instant) -> Self {
        Staleness { buckets: [(0.0, 0.0); BUCKETS], decayed_at: now }
    }

    /// Returns the index of the bucket of an idle time.
    fn bucket(idle: Duration) -> usize {
        (0..BUCKETS - 1).find(|n| idle < FIRST_BUCKET_END * (1 << n)).unwrap_or(BUCKETS - 1)
    }

    /// Reduces the weight of earlier observations by their age.
    fn decay(&mut self, now: Instant) {
        let keep = (-now.saturating_duration_since(self.decayed_at).as_secs_f64() / HALF_LIFE_S).exp2();
        self.decayed_at = now;
        self.buckets.iter_mut().for_each(|s| *s = (s.0 * keep, s.1 * keep));
    }

    /// Records a connection after an idle time, which is zero for a new connection; `broken`: the other side
    /// had dropped it.
    pub fn record(&mut self, idle: Duration, broken: bool, now: Instant) {
        self.decay(now);
        let (ended, by_server) = &mut self.buckets[Self::bucket(idle)];
        *ended += 1.0;
        *by_server += f64::from(broken);
    }

    /// Returns the idle time from which a connection is not reused. The shortest idle times are always
    /// accepted: a connection that breaks then would also break when new, and breaks at the same rate in
    /// other buckets have other causes than idling. If little is known about this server, `fleet` is used in
    /// its place.
    pub fn limit(&mut self, fleet: &mut Staleness, now: Instant) -> Duration {
        self.decay(now);
        fleet.decay(now);
        let known = |n: usize| {
            let (own, all) = (self.buckets[n], fleet.buckets[n]);
            let others = ((all.0 - own.0).max(0.0), (all.1 - own.1).max(0.0));
            let weight = FLEET_WEIGHT / others.0.max(FLEET_WEIGHT);
            (own.0 + weight * others.0, own.1 + weight * others.1)
        };
        let (new, broken) = known(0);
        let share = STALE_EXCESS_SHARE + broken / new.max(1.0);
        // Subtracts the expected random deviation of small counts.
        let stale =
            |(ended, broken): (f64, f64)| broken >= MIN_BREAKS && broken - broken.sqrt() > share * ended;
        match (1..BUCKETS).find(|n| stale(known(*n))) {
            Some(n) => FIRST_BUCKET_END * (1 << (n - 1)),
            None => Duration::MAX,
        }
    }
}

#[cfg(test)]
mod tests;
