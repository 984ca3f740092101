//! Tests of the report's statistics.

use super::*;

#[test]
fn goodput_is_relative_to_demand_or_capacity() {
    // The demand is 2 s of work per second; the capacity covers all of it, then half, then all again.
    let report = Report {
        work: vec![[2000.0, 2000.0], [2000.0, 800.0], [2000.0, 1600.0], [2000.0, 1960.0]],
        cores: vec![[3.0, 0.0], [1.0, 0.0], [2.0, 0.0], [3.0, 0.0]],
        flow: vec![[100, 100, 0, 0, 0], [120, 80, 0, 6, 4], [90, 80, 0, 2, 1], [100; 5]],
        ..Report::default()
    };
    let fleet_stats = report.fleet_stats(1, 3);
    assert_eq!(
        (fleet_stats.goodput, fleet_stats.futile_per_s, fleet_stats.max_futile_per_server),
        (2400.0 / 3000.0, 4.0, 4)
    );
    assert_eq!(fleet_stats.attempts, 210.0 / 160.0);
    assert_eq!((report.recovery_time_s(1.5), report.recovery_time_s(3.5)), (Some(2.5), None));
}

#[test]
fn counts_futile_attempts_by_second_and_server() {
    let (mut futile, mut flow) = (FutileAttempts::default(), Vec::new());
    for (second, server) in [(0, 1), (0, 2), (0, 1), (1, 1), (1, 2)] {
        futile.count(&mut flow, Some(second), server);
    }
    let counts: Vec<[u32; 2]> =
        flow.iter().map(|f| [f[flow::FUTILE], f[flow::MAX_FUTILE_PER_SERVER]]).collect();
    assert_eq!(counts, [[3, 2], [2, 1]]);
}

#[test]
fn quota_shares_cover_only_the_given_seconds() {
    let report = Report { quota: vec![[9, 9, 9, 9], [10, 1, 20, 5], [0; 4]], ..Report::default() };
    assert_eq!((report.quota_shares(1, 3), report.quota_shares(2, 3)), ([0.1, 0.25], [0.0, 0.0]));
}
