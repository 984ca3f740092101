use super::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn queue_is_bounded_by_max_wait_and_rejected_calls_get_successive_retry_times() {
    let mut admission = Admission::new(10.0, ms(1000), ms(300));
    let watches: Vec<_> = (0..5).map(|_| admission.admit(ms(0), CallKind::Watch)).collect();
    assert_eq!((watches[0], watches[3]), (Ok(ms(100)), Ok(ms(400))));
    assert_eq!(watches[4], Err(ms(500)), "the limit for watches leaves room in the queue for full lists");
    let full: Vec<_> = (0..9).map(|_| admission.admit(ms(0), CallKind::FullList)).collect();
    assert_eq!((full[0], full[6]), (Ok(ms(500)), Ok(ms(1100))));
    // Retry times begin after the end of the queue and follow each other.
    assert_eq!(full[7..], [Err(ms(1200)), Err(ms(1300))]);
    assert_eq!(
        admission.admit(ms(1200), CallKind::FullList),
        Ok(ms(1300)),
        "a call at its retry time is admitted"
    );
}

#[test]
fn admits_all_calls_without_a_rate_limit() {
    let mut admission = Admission::new(0.0, ms(0), ms(0));
    assert!((0..10_000).all(|_| admission.admit(ms(5), CallKind::Watch) == Ok(ms(5))));
}
