//! Requests for pages of the platform's list stay within its rate limit, however many pages there are.

use control::platform::rate_limiter::PageRateLimiter;
use std::time::Duration;

/// Sum of the delays in one read of the list.
fn total_delay(limiter: PageRateLimiter, pages: usize) -> Duration {
    (0..pages).map(|page| limiter.delay_before(page)).sum()
}

#[test]
fn short_list_is_read_without_delays() {
    assert_eq!(total_delay(PageRateLimiter::new(30.0), 15), Duration::ZERO);
}

#[test]
fn long_list_uses_half_of_the_rate_limit() {
    let pages = 200;
    let free = 15;
    let seconds = total_delay(PageRateLimiter::new(30.0), pages).as_secs_f64();
    assert!((seconds - (pages - free) as f64 / 15.0).abs() < 0.01, "{seconds}");
}

#[test]
fn platform_without_rate_limit_is_read_without_delays() {
    for rate in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        assert_eq!(total_delay(PageRateLimiter::new(rate), 500), Duration::ZERO);
    }
}

#[test]
fn tiny_rate_limit_causes_bounded_delays() {
    assert_eq!(PageRateLimiter::new(1e-9).delay_before(0), Duration::ZERO);
    assert_eq!(PageRateLimiter::new(1e-9).delay_before(1), Duration::from_secs(1));
}
