//! How long a connection may idle and still be used, learnt for each roll server.

use std::time::Duration;
use tokio::time::Instant;

/// The upper end of the first span of idle time; each further span ends at twice that.
const FIRST_SPAN: Duration = Duration::from_millis(16);
const SPANS: usize = 12;
/// From this share of breaks on, a new connection is cheaper than one that idled for so long.
const STALE_SHARE: f64 = 0.15;
/// One break may be chance.
const STALE_LEAST: f64 = 1.5;
/// So much of its own must be known of a span before a server's word goes before the fleet's.
const OWN_LEAST: f64 = 3.0;
/// What was learnt of a span counts half after this time, so that a changed server is tried again.
const MEMORY: f64 = 30.0;

/// How connections fare that idled, by how long these did. Servers, and what stands between, may drop a
/// connection long before the settings' time, and some say nothing until a request is written to it.
#[derive(Clone)]
pub struct Staleness {
    /// How many ended their idling in each span, and how many of them by the other side.
    spans: [(f64, f64); SPANS],
    faded: Instant,
}

impl Staleness {
    pub fn new(now: Instant) -> Self {
        Staleness { spans: [(0.0, 0.0); SPANS], faded: now }
    }

    fn span(idle: Duration) -> usize {
        (0..SPANS - 1).find(|n| idle < FIRST_SPAN * (1 << n)).unwrap_or(SPANS - 1)
    }

    fn fade(&mut self, now: Instant) {
        let keep = (-now.saturating_duration_since(self.faded).as_secs_f64() / MEMORY).exp2();
        self.faded = now;
        self.spans.iter_mut().for_each(|s| *s = (s.0 * keep, s.1 * keep));
    }

    /// A connection idled for so long; `broken`: the other side had given it up by then.
    pub fn record(&mut self, idle: Duration, broken: bool, now: Instant) {
        self.fade(now);
        let (ended, by_server) = &mut self.spans[Self::span(idle)];
        *ended += 1.0;
        *by_server += f64::from(broken);
    }

    /// From when on an idle connection is not to be trusted. The shortest span always is: what breaks there
    /// would break on a new connection too. Where little is known of this server, `fleet` stands in.
    pub fn limit(&mut self, fleet: &mut Staleness, now: Instant) -> Duration {
        self.fade(now);
        fleet.fade(now);
        let known = |own: (f64, f64), all: (f64, f64)| if own.0 >= OWN_LEAST { own } else { all };
        let stale = |s: (f64, f64)| s.1 >= STALE_LEAST && s.1 > STALE_SHARE * s.0;
        match (1..SPANS).find(|n| stale(known(self.spans[*n], fleet.spans[*n]))) {
            Some(n) => FIRST_SPAN * (1 << (n - 1)),
            None => Duration::MAX,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    /// Chance breaks, shorter idling and what was learnt long ago leave connections in use.
    #[test]
    fn only_what_breaks_often_and_of_late_counts_as_stale() {
        let start = Instant::now();
        let (mut own, mut fleet) = (Staleness::new(start), Staleness::new(start));
        for n in 0..20 {
            own.record(ms(300), n == 7, start);
            own.record(ms(5), n % 2 == 0, start);
        }
        assert_eq!(own.limit(&mut fleet, start), Duration::MAX);
        for n in 0..20 {
            own.record(ms(100), n % 2 == 0, start);
        }
        assert_eq!(own.limit(&mut fleet, start), ms(64));
        let later = start + Duration::from_secs(600);
        assert_eq!(own.limit(&mut fleet, later), Duration::MAX, "it is tried again");
    }

    /// One server's habit is its own; a server seldom seen starts from what the others taught.
    #[test]
    fn each_server_has_a_limit_of_its_own_and_the_fleets_to_begin_with() {
        let start = Instant::now();
        let (mut quick, mut slow, mut seldom) =
            (Staleness::new(start), Staleness::new(start), Staleness::new(start));
        let mut fleet = Staleness::new(start);
        for _ in 0..10 {
            for (server, broken) in [(&mut quick, true), (&mut slow, false)] {
                server.record(ms(300), broken, start);
                fleet.record(ms(300), broken, start);
            }
        }
        assert_eq!(quick.limit(&mut fleet, start), ms(256));
        assert_eq!(slow.limit(&mut fleet, start), Duration::MAX, "it never broke one");
        assert_eq!(seldom.limit(&mut fleet, start), ms(256), "half of the fleet's do");
    }
}
