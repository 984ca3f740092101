//! Tests of `staleness`.

use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Occasional breaks, shorter idle times and old observations do not limit the reuse of connections.
#[test]
fn limits_idle_time_only_after_frequent_recent_breaks() {
    let start = Instant::now();
    let (mut own, mut fleet) = (Staleness::new(start), Staleness::new(start));
    for n in 0..20 {
        own.record(ms(300), n == 7, start);
        own.record(ms(5), n % 10 == 0, start);
    }
    assert_eq!(own.limit(&mut fleet, start), Duration::MAX);
    for n in 0..20 {
        own.record(ms(100), n % 2 == 0, start);
    }
    assert_eq!(own.limit(&mut fleet, start), ms(64));
    let later = start + Duration::from_secs(600);
    assert_eq!(own.limit(&mut fleet, later), Duration::MAX, "idle connections are tried again");
}

/// Resets during requests affect new connections as often as old ones, so idling is not the cause.
#[test]
fn ignores_breaks_that_new_connections_have_too() {
    let start = Instant::now();
    let (mut own, mut fleet) = (Staleness::new(start), Staleness::new(start));
    for n in 0..30 {
        own.record(ms(100), n % 3 == 0, start);
    }
    assert_eq!(own.limit(&mut fleet, start), ms(64), "there are no observations of new connections");
    for n in 0..30 {
        own.record(ms(0), n % 3 == 1, start);
    }
    assert_eq!(own.limit(&mut fleet, start), Duration::MAX);
}

/// Each server has its own limit; a server with few observations starts from those of the others.
#[test]
fn each_server_has_its_own_limit_and_starts_from_the_others() {
    let start = Instant::now();
    let (mut fast_closing, mut long_lived, mut rarely_used) =
        (Staleness::new(start), Staleness::new(start), Staleness::new(start));
    let mut fleet = Staleness::new(start);
    for _ in 0..10 {
        for (server, broken) in [(&mut fast_closing, true), (&mut long_lived, false)] {
            server.record(ms(300), broken, start);
            fleet.record(ms(300), broken, start);
        }
    }
    assert_eq!(fast_closing.limit(&mut fleet, start), ms(256));
    assert_eq!(long_lived.limit(&mut fleet, start), Duration::MAX, "this server broke no connection");
    assert_eq!(rarely_used.limit(&mut fleet, start), Duration::MAX, "two breaks of four may be chance");
    for _ in 0..30 {
        fleet.record(ms(300), true, start);
    }
    assert_eq!(rarely_used.limit(&mut fleet, start), ms(256), "most connections of the others break");
}
