//! How long a connection may idle and still be used, learnt for each roll server.

use std::time::Duration;
use tokio::time::Instant;

/// The upper end of the first span of idle time; each further span ends at twice that.
const FIRST_BUCKET_END: Duration = Duration::from_millis(16);
const BUCKETS: usize = 12;
/// From so many more breaks on than on new connections, as a share, one of those is cheaper than one that
/// idled for so long.
const STALE_EXCESS_SHARE: f64 = 0.15;
/// One break may be chance.
const MIN_BREAKS: f64 = 1.5;
/// What the other servers teach weighs as so many connections of a server's own.
const FLEET_WEIGHT: f64 = 4.0;
/// What was learnt of a span counts half after this time, so that a changed server is tried again.
const HALF_LIFE_S: f64 = 30.0;

/// How connections fare that idled, by how long these did. Servers, and what stands between, may drop a
/// connection long before the settings' time, and some say nothing until a request is written to it.
#[derive(Clone)]
pub struct Staleness {
    /// How many ended their idling in each span, and how many of them by the other side.
    buckets: [(f64, f64); BUCKETS],
    decayed_at: Instant,
}

impl Staleness {
    pub fn new(now: Instant) -> Self {
        Staleness { buckets: [(0.0, 0.0); BUCKETS], decayed_at: now }
    }

    fn bucket(idle: Duration) -> usize {
        (0..BUCKETS - 1).find(|n| idle < FIRST_BUCKET_END * (1 << n)).unwrap_or(BUCKETS - 1)
    }

    fn decay(&mut self, now: Instant) {
        let keep = (-now.saturating_duration_since(self.decayed_at).as_secs_f64() / HALF_LIFE_S).exp2();
        self.decayed_at = now;
        self.buckets.iter_mut().for_each(|s| *s = (s.0 * keep, s.1 * keep));
    }

    /// A connection idled for so long, or not at all if it was new; `broken`: the other side had given it up.
    pub fn record(&mut self, idle: Duration, broken: bool, now: Instant) {
        self.decay(now);
        let (ended, by_server) = &mut self.buckets[Self::bucket(idle)];
        *ended += 1.0;
        *by_server += f64::from(broken);
    }

    /// From when on an idle connection is not to be trusted. The shortest span always is: what breaks there
    /// would break on a new connection too, and what breaks of others in the same measure has other causes
    /// than idling. Where little is known of this server, `fleet` stands in.
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
        // Less what chance adds to so few.
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
