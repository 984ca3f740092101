//! Tests of `discovery`.

use super::*;

#[tokio::test(start_paused = true)]
async fn fails_over_to_next_address_and_retries_primary_with_backoff() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let mut sources = Sources::new((1..=3).map(address).collect());
    sources.answered(false);
    assert!(!sources.is_primary_due(), "the primary is in use");
    sources.failed(false, 0.5);
    assert_eq!(sources.current, 1);
    sources.failed(false, 0.5);
    assert_eq!(sources.current, 2);
    for span in [30, 60, 120, 240, 480, 600, 600] {
        tokio::time::advance(Duration::from_secs(span) - Duration::from_millis(5)).await;
        assert!(!sources.is_primary_due(), "not before {span} s");
        tokio::time::advance(Duration::from_millis(10)).await;
        assert!(sources.is_primary_due());
        sources.failed(true, 0.5);
        assert_eq!(sources.current, 2, "the fallback that answers stays in use");
    }
    tokio::time::advance(MAX_PRIMARY_RETRY * 2).await;
    sources.answered(true);
    assert_eq!((sources.current, sources.primary_retry), (0, MIN_PRIMARY_RETRY));
    let mut alone = Sources::new(vec![address(1)]);
    alone.failed(false, 0.5);
    assert_eq!((alone.current, alone.is_primary_due()), (0, false));
}
