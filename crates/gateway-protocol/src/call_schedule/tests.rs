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

/// A service of so many calls a second, which rejects what would wait over a second.
struct Service {
    admission: Admission,
    hints: Option<fn(Duration) -> Duration>,
    /// It answers nothing in between.
    down: (Duration, Duration),
    /// It rejects nobody, and does work for callers that have given up after 2 s.
    jams: bool,
}

impl Service {
    fn new(capacity: u32) -> Self {
        let admission = Admission::new(f64::from(capacity), ms(1000), ms(1000));
        Service { admission, hints: None, down: (ms(0), ms(0)), jams: false }
    }

    /// As our own registry: full lists first, and turns.
    fn own(capacity: u32) -> Self {
        let admission = Admission::new(f64::from(capacity), ms(1000), ms(250));
        Service { admission, hints: Some(|turn| turn), ..Service::new(capacity) }
    }

    fn call(&mut self, now: Duration, kind: CallKind) -> Result<Duration, CallFailure> {
        if (self.down.0..self.down.1).contains(&now) {
            return Err(CallFailure::TimedOut);
        }
        if self.jams {
            let done = self.admission.admit(now, kind).unwrap_or(now);
            return if done - now > ms(2000) { Err(CallFailure::TimedOut) } else { Ok(done) };
        }
        self.admission
            .admit(now, kind)
            .map_err(|turn| CallFailure::Rejected(self.hints.map(|hint| hint(turn))))
    }
}

#[derive(Debug)]
struct Start {
    /// When the last has its list, in seconds.
    last: f64,
    /// Calls for full lists, a reader, until then, and the most of all calls in a second.
    calls: f64,
    most: usize,
}

/// All readers start at once; those with a list watch on.
fn start(readers: u32, mut service: Service, seed: u64) -> Start {
    let mut rng = Draw(seed);
    let mut due = BinaryHeap::new();
    let mut schedules: Vec<CallSchedule> = (0..readers).map(|_| shared(readers)).collect();
    let mut lists = vec![false; readers as usize];
    for (n, schedule) in schedules.iter_mut().enumerate() {
        due.push(Reverse((schedule.first_call_delay(Duration::ZERO, rng.next()), n)));
    }
    let (mut missing, mut calls, mut last, mut seconds) = (readers, 0, 0.0, vec![0; 10_000]);
    while let (Some(Reverse((now, n))), true) = (due.pop(), missing > 0) {
        calls += u32::from(!lists[n]);
        seconds[now.as_secs() as usize] += 1;
        let kind = if lists[n] { CallKind::Watch } else { CallKind::FullList };
        let reader = if lists[n] { ReaderState::WithList } else { ReaderState::WithoutList };
        let next = match service.call(now, kind) {
            Ok(done) => {
                let new = !std::mem::replace(&mut lists[n], true);
                missing -= u32::from(new);
                last = done.as_secs_f64();
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
    let most = seconds.into_iter().max().unwrap_or(0);
    Start { last, calls: f64::from(calls) / f64::from(readers), most }
}

/// SplitMix64.
struct Draw(u64);

impl Draw {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The median of seeds, by time.
fn median(readers: u32, service: impl Fn() -> Service) -> Start {
    let mut all: Vec<Start> = (1..=9).map(|seed| start(readers, service(), seed)).collect();
    all.sort_by(|a, b| a.last.total_cmp(&b.last));
    all.swap_remove(4)
}

const FLEETS: [u32; 4] = [3, 30, 300, 1000];
const CAPACITIES: [u32; 5] = [10, 20, 40, 100, 400];

/// A reader calls twice, for the list and soon to watch, so that a start takes about `2 * readers / capacity`, where the
/// watches that follow leave half of the capacity: a watch ends after 60 s at most.
#[test]
fn a_start_of_all_takes_few_times_what_the_service_needs_whatever_it_bears() {
    for (readers, capacity) in FLEETS.into_iter().flat_map(|n| CAPACITIES.map(|c| (n, c))) {
        let needs = (f64::from(readers) / f64::from(capacity)).max(0.1);
        let bears = readers / 50 * 2 <= capacity;
        let start = median(readers, || Service::new(capacity));
        let what = format!("{readers} readers at {capacity}: {start:?}, {needs:.2} s are needed");
        assert!(start.calls <= 5.0 && (start.last <= 4.0 * needs || !bears), "{what}");
        let start = median(readers, || Service { hints: Some(|turn| turn), ..Service::new(capacity) });
        let what = format!("{readers} readers at {capacity} with hints: {start:?}, {needs:.2} s are needed");
        assert!(start.calls <= 3.5 && (start.last <= 3.2 * needs || !bears), "{what}");
        let start = median(readers, || Service::own(capacity));
        let what = format!("{readers} readers at {capacity} of our own: {start:?}, {needs:.2} s are needed");
        let first = (FIRST_PHASE_PER_READER * readers).as_secs_f64() * 1.1;
        assert!(start.calls <= 2.6 && (start.last <= (1.8 * needs).max(first) || !bears), "{what}");
    }
}

#[test]
fn hints_that_cannot_be_meant_do_no_harm() {
    let bad: [fn(Duration) -> Duration; 2] = [|_| ms(1), |_| Duration::from_secs(1)];
    for hints in bad {
        let start = median(300, || Service { hints: Some(hints), ..Service::new(40) });
        assert!(start.last <= 5.0 * 7.5 && start.calls <= 5.0, "{start:?}");
    }
    for text in ["0", "-1", "86400", "soon", "NaN", "inf", ""] {
        assert_eq!(retry_after(text), None, "{text:?}");
    }
    assert_eq!((retry_after(" 2"), retry_after("0.25")), (Some(ms(2000)), Some(ms(250))));
}

#[test]
fn a_service_that_is_down_in_the_middle_is_not_overloaded_when_it_is_back() {
    let down = (ms(1000), ms(6000));
    let start = median(300, || Service { down, ..Service::new(40) });
    assert!(start.last < 45.0 && start.most <= 250, "{start:?}");
}

#[test]
fn a_service_that_works_for_callers_that_gave_up_gets_out_of_its_jam() {
    let endless = Duration::from_secs(1 << 30);
    let jam =
        || Service { admission: Admission::new(40.0, endless, endless), jams: true, ..Service::new(40) };
    let start = median(300, jam);
    assert!(start.last < 110.0 && start.calls < 5.0, "{start:?}");
}

#[test]
fn three_readers_are_no_slower_than_with_pauses_of_a_second() {
    let mut schedule = shared(3);
    assert!(schedule.first_call_delay(ms(0), 1.0) <= ms(20));
    let mut now = ms(20);
    for most in [200, 300, 400] {
        let pause = schedule.delay_after_failure(now, CallFailure::Other, ReaderState::WithoutList, 1.0);
        assert!(pause <= ms(most), "{pause:?}");
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
        "and soon again after an answer"
    );
}

#[test]
fn watches_that_began_together_end_apart_and_those_of_an_agent_go_on() {
    let schedule = shared(300);
    assert_eq!(
        [0.0, 0.5, 1.0].map(|chance| schedule.watch_wait(chance)),
        [ms(10_000), ms(20_000), ms(30_000)]
    );
    let mut strained = shared(300);
    strained.delay_after_failure(ms(0), CallFailure::Rejected(None), ReaderState::WithList, 0.5);
    for most in [60_000, 45_000, 30_000] {
        assert_eq!(strained.watch_wait(1.0), ms(most), "longer while callers are rejected");
        strained.delay_after_answer(ms(1), ReaderState::WithList, 0.5);
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
fn who_got_a_list_under_pressure_leaves_the_service_to_those_without() {
    let mut schedule = shared(300);
    assert_eq!(schedule.delay_after_answer(ms(5), ReaderState::WithoutList, 1.0), Duration::ZERO);
    assert_eq!(schedule.delay_after_answer(ms(400), ReaderState::WithoutList, 1.0), MAX_YIELD);
    schedule.first_call_delay(ms(0), 0.5);
    schedule.delay_after_failure(ms(900), CallFailure::Rejected(None), ReaderState::WithoutList, 0.5);
    assert_eq!(schedule.delay_after_answer(ms(5), ReaderState::WithoutList, 0.5), MAX_YIELD / 2);
    assert_eq!(
        schedule.delay_after_answer(ms(400), ReaderState::WithList, 1.0),
        Duration::ZERO,
        "a watch goes on at once"
    );
}
