use super::*;
use crate::admission::{Admission, CallKind};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn shared(readers: u32) -> CallSchedule {
    CallSchedule::new(ListService::Shared { readers })
}

/// A simulated list service with a fixed call rate that rejects calls that would wait longer than 1 s.
struct Service {
    admission: Admission,
    /// Maps the retry delay of a rejected call to its Retry-After hint; `None` means no hints.
    hints: Option<fn(Duration) -> Duration>,
    /// The period in which the service answers no calls.
    down: (Duration, Duration),
    /// The service rejects no call, and serves calls whose callers have already timed out after 2 s.
    serves_abandoned_calls: bool,
}

impl Service {
    fn new(capacity: u32) -> Self {
        let admission = Admission::new(f64::from(capacity), ms(1000), ms(1000));
        Service { admission, hints: None, down: (ms(0), ms(0)), serves_abandoned_calls: false }
    }

    /// A service that behaves like our registry: full lists take precedence, and rejected calls get retry
    /// hints.
    fn like_registry(capacity: u32) -> Self {
        let admission = Admission::new(f64::from(capacity), ms(1000), ms(250));
        Service { admission, hints: Some(|turn| turn), ..Service::new(capacity) }
    }

    fn call(&mut self, now: Duration, kind: CallKind) -> Result<Duration, CallFailure> {
        if (self.down.0..self.down.1).contains(&now) {
            return Err(CallFailure::TimedOut);
        }
        if self.serves_abandoned_calls {
            let done = self.admission.admit(now, kind).unwrap_or(now);
            return if done - now > ms(2000) { Err(CallFailure::TimedOut) } else { Ok(done) };
        }
        self.admission
            .admit(now, kind)
            .map_err(|turn| CallFailure::Rejected(self.hints.map(|hint| hint(turn))))
    }
}

#[derive(Debug)]
struct StartResult {
    /// The time at which the last reader has its list, in seconds.
    last_s: f64,
    /// The mean number of calls for the full list per reader until then.
    calls: f64,
    /// The largest number of calls of any kind in one second.
    max_calls_per_s: usize,
}

/// Simulates the simultaneous start of all readers until each has a list. Readers with a list continue with
/// watches.
fn simulate_start(readers: u32, mut service: Service, seed: u64) -> StartResult {
    let mut rng = SplitMix64(seed);
    let mut due = BinaryHeap::new();
    let mut schedules: Vec<CallSchedule> = (0..readers).map(|_| shared(readers)).collect();
    let mut lists = vec![false; readers as usize];
    for (n, schedule) in schedules.iter_mut().enumerate() {
        due.push(Reverse((schedule.first_call_delay(Duration::ZERO, rng.next()), n)));
    }
    let (mut missing, mut calls, mut last_s, mut seconds) = (readers, 0, 0.0, vec![0; 10_000]);
    while let (Some(Reverse((now, n))), true) = (due.pop(), missing > 0) {
        calls += u32::from(!lists[n]);
        seconds[now.as_secs() as usize] += 1;
        let kind = if lists[n] { CallKind::Watch } else { CallKind::FullList };
        let reader = if lists[n] { ReaderState::WithList } else { ReaderState::WithoutList };
        let next = match service.call(now, kind) {
            Ok(done) => {
                let new = !std::mem::replace(&mut lists[n], true);
                missing -= u32::from(new);
                last_s = done.as_secs_f64();
                let wait = if new { Duration::ZERO } else { schedules[n].watch_wait(rng.next()) };
                done + wait + schedules[n].delay_after_answer(done - now, reader, rng.next())
            }
            Err(failure) => {
                let unanswered = if failure == CallFailure::TimedOut { ms(2000) } else { Duration::ZERO };
                now + unanswered
                    + schedules[n].delay_after_failure(now + unanswered, failure, reader, rng.next())
            }
        };
        due.push(Reverse((next, n)));
    }
    let max_calls_per_s = seconds.into_iter().max().unwrap_or(0);
    StartResult { last_s, calls: f64::from(calls) / f64::from(readers), max_calls_per_s }
}

/// The SplitMix64 random number generator.
struct SplitMix64(u64);

impl SplitMix64 {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The median result over nine seeds, by the time of the last list.
fn median(readers: u32, service: impl Fn() -> Service) -> StartResult {
    let mut all: Vec<StartResult> = (1..=9).map(|seed| simulate_start(readers, service(), seed)).collect();
    all.sort_by(|a, b| a.last_s.total_cmp(&b.last_s));
    all.swap_remove(4)
}

const READER_COUNTS: [u32; 4] = [3, 30, 300, 1000];
const CAPACITIES_PER_S: [u32; 5] = [10, 20, 40, 100, 400];

/// Each reader calls twice, for the list and soon after to watch, so a start takes about `2 * readers /
/// capacity`. This applies where the watches that follow leave half of the capacity: a watch ends after 60 s
/// at most.
#[test]
fn a_start_of_all_takes_few_times_what_the_service_needs_whatever_it_bears() {
    for (readers, capacity) in READER_COUNTS.into_iter().flat_map(|n| CAPACITIES_PER_S.map(|c| (n, c))) {
        let needs = (f64::from(readers) / f64::from(capacity)).max(0.1);
        let is_within_capacity = readers / 50 * 2 <= capacity;
        let result = median(readers, || Service::new(capacity));
        let context = format!("{readers} readers at {capacity}: {result:?}, {needs:.2} s are needed");
        assert!(result.calls <= 5.0 && (result.last_s <= 4.0 * needs || !is_within_capacity), "{context}");
        let result = median(readers, || Service { hints: Some(|turn| turn), ..Service::new(capacity) });
        let context =
            format!("{readers} readers at {capacity} with hints: {result:?}, {needs:.2} s are needed");
        assert!(result.calls <= 3.5 && (result.last_s <= 3.2 * needs || !is_within_capacity), "{context}");
        let result = median(readers, || Service::like_registry(capacity));
        let context =
            format!("{readers} readers at {capacity} of our own: {result:?}, {needs:.2} s are needed");
        let first = (FIRST_WINDOW_PER_READER * readers).as_secs_f64() * 1.1;
        assert!(
            result.calls <= 2.6 && (result.last_s <= (1.8 * needs).max(first) || !is_within_capacity),
            "{context}"
        );
    }
}

#[test]
fn misleading_or_invalid_hints_do_not_slow_the_start() {
    let bad: [fn(Duration) -> Duration; 2] = [|_| ms(1), |_| Duration::from_secs(1)];
    for hints in bad {
        let result = median(300, || Service { hints: Some(hints), ..Service::new(40) });
        assert!(result.last_s <= 5.0 * 7.5 && result.calls <= 5.0, "{result:?}");
    }
    for text in ["0", "-1", "86400", "soon", "NaN", "inf", ""] {
        assert_eq!(retry_after(text), None, "{text:?}");
    }
    assert_eq!((retry_after(" 2"), retry_after("0.25")), (Some(ms(2000)), Some(ms(250))));
}

#[test]
fn service_is_not_overloaded_after_an_outage_during_the_start() {
    let down = (ms(1000), ms(6000));
    let result = median(300, || Service { down, ..Service::new(40) });
    assert!(result.last_s < 45.0 && result.max_calls_per_s <= 250, "{result:?}");
}

#[test]
fn service_that_serves_abandoned_calls_recovers_from_its_backlog() {
    let endless = Duration::from_secs(1 << 30);
    let overloaded = || Service {
        admission: Admission::new(40.0, endless, endless),
        serves_abandoned_calls: true,
        ..Service::new(40)
    };
    let result = median(300, overloaded);
    assert!(result.last_s < 110.0 && result.calls < 5.0, "{result:?}");
}

#[test]
fn three_readers_retry_within_a_second_at_first() {
    let mut schedule = shared(3);
    assert!(schedule.first_call_delay(ms(0), 1.0) <= ms(20));
    let mut now = ms(20);
    for max_calls_per_s in [200, 300, 400] {
        let pause = schedule.delay_after_failure(now, CallFailure::Other, ReaderState::WithoutList, 1.0);
        assert!(pause <= ms(max_calls_per_s), "{pause:?}");
        now += pause;
    }
    for _ in 0..20 {
        let pause = schedule.delay_after_failure(now, CallFailure::TimedOut, ReaderState::WithList, 1.0);
        assert!(pause <= ms(2600), "{pause:?}");
        now += pause;
    }
    schedule.delay_after_answer(ms(1), ReaderState::WithList, 0.5);
    assert!(
        schedule.delay_after_failure(now, CallFailure::Other, ReaderState::WithList, 1.0) <= ms(200),
        "the delay is short again after a response"
    );
}

#[test]
fn watch_waits_are_jittered_for_a_shared_service_and_fixed_for_an_own_agent() {
    let schedule = shared(300);
    assert_eq!(
        [0.0, 0.5, 1.0].map(|chance| schedule.watch_wait(chance)),
        [ms(10_000), ms(20_000), ms(30_000)]
    );
    let mut overloaded = shared(300);
    overloaded.delay_after_failure(ms(0), CallFailure::Rejected(None), ReaderState::WithList, 0.5);
    for max_calls_per_s in [60_000, 45_000, 30_000] {
        assert_eq!(overloaded.watch_wait(1.0), ms(max_calls_per_s), "longer while callers are rejected");
        overloaded.delay_after_answer(ms(1), ReaderState::WithList, 0.5);
    }
    let mut agent = CallSchedule::new(ListService::OwnAgent);
    assert_eq!((agent.watch_wait(0.1), agent.first_call_delay(ms(0), 1.0)), (WATCH_WAIT, Duration::ZERO));
    for _ in 0..10 {
        assert!(
            agent.delay_after_failure(ms(0), CallFailure::TimedOut, ReaderState::WithList, 1.0) <= ms(250)
        );
    }
    assert_eq!(agent.delay_after_answer(ms(900), ReaderState::WithoutList, 1.0), Duration::ZERO);
}

#[test]
fn first_watch_is_delayed_after_a_list_from_an_overloaded_service() {
    let mut schedule = shared(300);
    assert_eq!(schedule.delay_after_answer(ms(5), ReaderState::WithoutList, 1.0), Duration::ZERO);
    assert_eq!(schedule.delay_after_answer(ms(400), ReaderState::WithoutList, 1.0), MAX_WATCH_DELAY);
    schedule.first_call_delay(ms(0), 0.5);
    schedule.delay_after_failure(ms(900), CallFailure::Rejected(None), ReaderState::WithoutList, 0.5);
    assert_eq!(schedule.delay_after_answer(ms(5), ReaderState::WithoutList, 0.5), MAX_WATCH_DELAY / 2);
    assert_eq!(
        schedule.delay_after_answer(ms(400), ReaderState::WithList, 1.0),
        Duration::ZERO,
        "a watch is repeated at once"
    );
}
