//! Tests of the results of a trial.

use super::*;

#[test]
fn high_event_loop_lag_voids_the_results() {
    let mut figures = Figures { event_loop_lags: vec![Duration::from_millis(1); 100], ..Figures::default() };
    figures.finalize();
    assert_eq!(figures.void, None);
    figures.event_loop_lags = vec![Duration::from_millis(30); 100];
    figures.finalize();
    assert!(figures.void.is_some());
}
