//! Tests of `bodies`.

use super::*;

#[test]
fn grants_are_bounded_by_budget_and_returned() {
    let budget = Budget::new(SMALL_BODY_BYTES * 5);
    let mut first = budget.grant(SMALL_BODY_BYTES * 2).unwrap();
    assert!(budget.grant(SMALL_BODY_BYTES * 4).is_none());
    assert!(first.grow(SMALL_BODY_BYTES * 3) && !first.grow(1));
    drop(first);
    assert!(budget.grant(SMALL_BODY_BYTES * 5).is_some());
}

/// A body that sends 16 kB at each interval.
struct Drip(Duration, Pin<Box<Sleep>>);

impl Body for Drip {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        ready!(self.1.as_mut().poll(cx));
        let next = Instant::now() + self.0;
        self.1.as_mut().reset(next);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(&[0; 16_000])))))
    }
}

fn drip(bytes_a_second: u64) -> Drip {
    let pause = Duration::from_millis(16_000_000 / bytes_a_second);
    Drip(pause, Box::pin(sleep(pause)))
}

#[tokio::test(start_paused = true)]
async fn body_timeout_allows_minimum_pace_and_rejects_slower_clients() {
    let mut honest = PacedBody::new(drip(64_000), Duration::from_secs(2));
    for _ in 0..400 {
        assert!(honest.next().await.unwrap().is_ok());
    }
    for (pace, most) in [(16, 3.0), (8_000, 6.0)] {
        let (mut slow, start) = (PacedBody::new(drip(pace), Duration::ZERO), Instant::now());
        while slow.next().await.unwrap().is_ok() {}
        assert!(start.elapsed().as_secs_f64() < most, "{pace} bytes a second");
    }
    // Time in which the gateway does not read does not count against the client.
    let mut late = PacedBody::new(drip(64_000), Duration::ZERO);
    late.waited = None;
    for _ in 0..10 {
        tokio::time::sleep(Duration::from_secs(20)).await;
        assert!(late.next().await.unwrap().is_ok());
    }
}
