//! Long-poll wait by number of workers and length of the worker lease.

use configuration::Bounds;
use scheduler::leader::LeaderSettings;

#[test]
fn uses_the_configured_wait_for_few_workers() {
    let settings = LeaderSettings::from_bounds(&Bounds::default());
    assert_eq!(settings.long_poll_wait_ms_among(0), settings.long_poll_wait_ms);
    assert_eq!(settings.long_poll_wait_ms_among(48), settings.long_poll_wait_ms);
}

#[test]
fn limits_answers_of_many_workers_to_1000_per_second() {
    let settings = LeaderSettings::from_bounds(&Bounds::default());
    for workers in [500, 700, 1_000] {
        let answers_a_second = workers as u64 * 1_000 / settings.long_poll_wait_ms_among(workers);
        assert!(answers_a_second <= 1_000, "{workers} workers: {answers_a_second}");
    }
}

#[test]
fn long_poll_wait_is_at_most_a_second_and_a_quarter_of_the_lease() {
    for max_worker_lease_ms in [0, 1_000, 2_000, 6_000, 60_000] {
        let settings = LeaderSettings::from_bounds(&Bounds { max_worker_lease_ms, ..Bounds::default() });
        let wait_ms = settings.long_poll_wait_ms_among(usize::MAX);
        assert!(
            wait_ms <= 1_000 && wait_ms <= settings.worker_lease_ms / 4,
            "{wait_ms} of {max_worker_lease_ms}"
        );
    }
}
