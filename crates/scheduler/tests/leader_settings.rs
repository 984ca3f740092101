//! Settings that follow from the size of a deployment.

use configuration::Bounds;
use scheduler::leader::LeaderSettings;

#[test]
fn few_workers_wait_as_set() {
    let settings = LeaderSettings::from_bounds(&Bounds::default());
    assert_eq!(settings.long_poll_wait_ms_among(0), settings.long_poll_wait_ms);
    assert_eq!(settings.long_poll_wait_ms_among(48), settings.long_poll_wait_ms);
}

#[test]
fn many_workers_answer_less_often_each_and_no_more_often_together() {
    let settings = LeaderSettings::from_bounds(&Bounds::default());
    for workers in [500, 700, 1_000] {
        let answers_a_second = workers as u64 * 1_000 / settings.long_poll_wait_ms_among(workers);
        assert!(answers_a_second <= 1_000, "{workers} workers: {answers_a_second}");
    }
}

#[test]
fn no_wait_takes_more_than_a_quarter_of_the_lease_or_a_second() {
    for max_worker_lease_ms in [0, 1_000, 2_000, 6_000, 60_000] {
        let settings = LeaderSettings::from_bounds(&Bounds { max_worker_lease_ms, ..Bounds::default() });
        let wait_ms = settings.long_poll_wait_ms_among(usize::MAX);
        assert!(
            wait_ms <= 1_000 && wait_ms <= settings.worker_lease_ms / 4,
            "{wait_ms} of {max_worker_lease_ms}"
        );
    }
}
