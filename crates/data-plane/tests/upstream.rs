//! The upstream state machine in simulated time.

mod support;

use messages::peer::Outcome;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeSet;
use support::simulated::{address, Simulated, MS};

const SEEDS: [u8; 3] = [1, 2, 3];
const CLIENT_TIMEOUT_MS: u32 = 3_000;

#[test]
fn late_rejection_by_the_former_leader_resolves_its_send() {
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 1);
    let (former, new) = (simulated.connection_to(1).unwrap(), simulated.connection_to(2).unwrap());
    let token = simulated.submit(CLIENT_TIMEOUT_MS);
    simulated.announce(2, 2, 2);
    assert_eq!(simulated.sends[&token], [former, new]);
    simulated.reply(former, token, Outcome::UNAVAILABLE);
    assert_eq!(simulated.outcome(token), None);
    simulated.reply(new, token, Outcome::OVERLOADED);
    assert_eq!(simulated.outcome(token), Some(Outcome::OVERLOADED));
}

#[test]
fn acceptance_by_the_former_leader_is_final() {
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 1);
    let former = simulated.connection_to(1).unwrap();
    let token = simulated.submit(CLIENT_TIMEOUT_MS);
    simulated.announce(2, 2, 2);
    simulated.reply(former, token, Outcome::ACCEPTED);
    assert_eq!(simulated.outcome(token), Some(Outcome::ACCEPTED));
    assert_eq!(simulated.upstream.pending_requests(), 0);
}

#[test]
fn request_with_an_unsure_reply_is_resent_and_never_rejected() {
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 1);
    let connection = simulated.connection_to(1).unwrap();
    let token = simulated.submit(CLIENT_TIMEOUT_MS);
    simulated.reply(connection, token, Outcome::UNSURE);
    assert_eq!(simulated.sends[&token].len(), 1);
    simulated.advance(100 * MS);
    assert_eq!(simulated.sends[&token].len(), 2);
    simulated.reply(connection, token, Outcome::OVERLOADED);
    assert_eq!(simulated.outcome(token), Some(Outcome::UNSURE));
}

#[test]
fn notices_with_an_older_term_or_without_a_leader_are_ignored() {
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 5);
    simulated.announce(2, 2, 4);
    simulated.announce(3, 0, 9);
    let token = simulated.submit(CLIENT_TIMEOUT_MS);
    assert_eq!(simulated.sends[&token], [simulated.connection_to(1).unwrap()]);
}

#[test]
fn leader_that_steps_down_gets_no_more_requests() {
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 5);
    simulated.announce(1, 0, 5);
    let token = simulated.submit(CLIENT_TIMEOUT_MS);
    assert!(!simulated.sends.contains_key(&token));
    simulated.announce(2, 2, 6);
    assert_eq!(simulated.sends[&token], [simulated.connection_to(2).unwrap()]);
}

#[test]
fn leader_announced_before_it_is_ready_gets_requests_once_it_announces_itself() {
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 1);
    let new = simulated.connection_to(2).unwrap();
    simulated.announce(3, 2, 2);
    simulated.announce(2, 0, 2);
    let token = simulated.submit(CLIENT_TIMEOUT_MS);
    assert!(!simulated.sends.contains_key(&token));
    simulated.announce(1, 2, 2);
    simulated.reply(new, token, Outcome::NOT_LEADER);
    assert_eq!(simulated.sends[&token], [new]);
    simulated.announce(2, 2, 2);
    assert_eq!(simulated.sends[&token], [new, new]);
}

#[test]
fn leader_unresponsive_for_700_ms_gets_no_request_until_it_responds() {
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 1);
    let connection = simulated.connection_to(1).unwrap();
    simulated.submit(60_000);
    simulated.advance(699 * MS);
    let before = simulated.submit(60_000);
    simulated.advance(2 * MS);
    let after = simulated.submit(60_000);
    assert!(simulated.sends.contains_key(&before));
    assert!(!simulated.sends.contains_key(&after));
    assert!(simulated.pings.contains(&connection));
    simulated.pong(connection);
    assert!(simulated.sends.contains_key(&after));
}

#[test]
fn request_held_back_from_an_unresponsive_leader_is_answered_as_unavailable() {
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 1);
    let sent = simulated.submit(CLIENT_TIMEOUT_MS);
    simulated.advance(701 * MS);
    let unsent = simulated.submit(1_000);
    simulated.advance(599 * MS);
    assert_eq!(simulated.outcome(unsent), None);
    simulated.advance(MS);
    assert_eq!(simulated.outcome(unsent), Some(Outcome::UNAVAILABLE));
    simulated.advance(3_000 * MS);
    assert_eq!(simulated.outcome(sent), Some(Outcome::UNSURE));
}

#[test]
fn request_waits_at_most_two_seconds_for_a_leader() {
    let mut simulated = Simulated::new(&SEEDS, 100);
    simulated.connect_all();
    let token = simulated.submit(30_000);
    simulated.advance(1_999 * MS);
    assert_eq!(simulated.outcome(token), None);
    simulated.advance(MS);
    assert_eq!(simulated.outcome(token), Some(Outcome::UNAVAILABLE));
}

/// Guards against a submission that is sent although its time is over: the process was frozen while the
/// request waited, and a pong of the leader is handled before the timer.
#[test]
fn request_whose_time_passed_during_a_freeze_is_answered_and_not_sent() {
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 1);
    let connection = simulated.connection_to(1).unwrap();
    simulated.count(20 * CLIENT_TIMEOUT_MS);
    simulated.advance(700 * MS);
    let (late, patient) = (simulated.submit(CLIENT_TIMEOUT_MS), simulated.submit(20 * CLIENT_TIMEOUT_MS));
    assert!(!simulated.sends.contains_key(&late) && !simulated.sends.contains_key(&patient));
    simulated.now += u64::from(CLIENT_TIMEOUT_MS) * MS;
    simulated.pong(connection);
    assert!(!simulated.sends.contains_key(&late));
    assert_eq!(simulated.outcome(late), Some(Outcome::UNAVAILABLE));
    assert_eq!(simulated.outcome(patient), None);
    assert_eq!(simulated.sends[&patient], [connection]);
}

#[test]
fn repeated_not_leader_replies_delay_no_answer() {
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 1);
    let connection = simulated.connection_to(1).unwrap();
    let token = simulated.submit(30_000);
    while simulated.outcome(token).is_none() {
        simulated.reply(connection, token, Outcome::NOT_LEADER);
        simulated.advance(100 * MS);
        assert!(simulated.now <= 2_100 * MS);
    }
    assert_eq!(simulated.outcome(token), Some(Outcome::UNAVAILABLE));
}

#[test]
fn unresponsive_connection_is_reopened_and_its_requests_are_resent() {
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 1);
    let unresponsive = simulated.connection_to(1).unwrap();
    let token = simulated.submit(30_000);
    simulated.advance(1_199 * MS);
    assert!(simulated.open.contains_key(&unresponsive));
    simulated.advance(MS);
    assert!(!simulated.open.contains_key(&unresponsive));
    simulated.advance(100 * MS);
    simulated.connect_all();
    let reopened = simulated.connection_to(1).unwrap();
    assert_eq!(simulated.sends[&token], [unresponsive, reopened]);
}

#[test]
fn unresponsive_members_are_reconnected_400_ms_after_the_leader_has_become_unresponsive() {
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 1);
    let (second, third) = (simulated.connection_to(2).unwrap(), simulated.connection_to(3).unwrap());
    simulated.submit(30_000);
    simulated.advance(700 * MS);
    assert!(simulated.pings.contains(&second) && simulated.pings.contains(&third));
    simulated.pong(third);
    simulated.advance(400 * MS);
    assert!(!simulated.open.contains_key(&second), "the second member has not answered the ping");
    assert!(simulated.open.contains_key(&third));
    simulated.advance(100 * MS);
    assert!(simulated.opening.values().any(|opening| *opening == address(2)));
}

#[test]
fn idle_leader_is_pinged_every_two_seconds_and_other_members_never() {
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 1);
    let leader = simulated.connection_to(1).unwrap();
    for count in 1..=5 {
        simulated.advance(2_000 * MS);
        assert_eq!(simulated.pings, vec![leader; count]);
        simulated.pong(leader);
    }
}

#[test]
fn busy_leader_is_pinged_every_half_second() {
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 1);
    let leader = simulated.connection_to(1).unwrap();
    simulated.submit(30_000);
    for count in 1..=4 {
        simulated.advance(500 * MS);
        assert_eq!(simulated.pings.len(), count);
        simulated.pong(leader);
    }
}

#[test]
fn not_ready_only_after_a_second_without_a_leader() {
    let mut simulated = Simulated::new(&SEEDS, 100);
    assert!(!simulated.upstream.is_ready(simulated.now));
    simulated.connect_all();
    assert!(!simulated.upstream.is_ready(simulated.now));
    simulated.announce(1, 1, 1);
    assert!(simulated.upstream.is_ready(simulated.now));
    let connection = simulated.connection_to(1).unwrap();
    simulated.disconnect(connection);
    simulated.advance_with_pongs(999 * MS);
    assert!(simulated.upstream.is_ready(simulated.now));
    simulated.advance(MS);
    assert!(!simulated.upstream.is_ready(simulated.now));
    simulated.announce(2, 2, 2);
    assert!(simulated.upstream.is_ready(simulated.now));
}

#[test]
fn connections_follow_the_membership() {
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 1);
    let dropped = simulated.connection_to(3).unwrap();
    simulated.announce_with(1, 1, 1, Some(&[1, 2, 4]));
    assert!(!simulated.open.contains_key(&dropped));
    simulated.connect_all();
    assert!(simulated.connection_to(4).is_some());
    // An outdated membership from another member in the same term does not restore the former members.
    simulated.announce_with(2, 1, 1, Some(&[1, 2, 3]));
    simulated.connect_all();
    assert!(simulated.connection_to(3).is_none());
    assert!(simulated.connection_to(4).is_some());
}

#[test]
fn seeds_are_read_again_if_no_member_is_reachable() {
    let mut simulated = Simulated::new(&SEEDS, 100);
    simulated.advance(3_000 * MS);
    assert_eq!(simulated.seeds_read, 1);
    simulated.drive(|upstream, now, out| upstream.set_seeds(now, vec![address(9)], out));
    assert!(simulated.opening.values().any(|opening| *opening == address(9)));
}

#[test]
fn connection_attempt_is_cancelled_within_a_second_and_retried() {
    let mut simulated = Simulated::new(&[1], 100);
    let first = *simulated.opening.keys().next().unwrap();
    simulated.advance(1_000 * MS);
    assert!(!simulated.opening.contains_key(&first));
    simulated.advance(100 * MS);
    assert!(simulated.opening.keys().any(|connection| *connection > first));
}

#[test]
fn connection_attempts_are_at_most_350_ms_apart_in_the_fast_retry_period() {
    let mut simulated = Simulated::new(&[1], 100);
    for _ in 0..7 {
        let before = simulated.attempts;
        simulated.advance(350 * MS);
        assert!(simulated.attempts > before, "no new attempt within 350 ms");
    }
}

#[test]
fn unreachable_machine_is_retried_about_every_two_seconds() {
    let mut simulated = Simulated::new(&[1], 100);
    simulated.advance(10_000 * MS);
    let before = simulated.attempts;
    simulated.advance(20_000 * MS);
    let attempts = simulated.attempts - before;
    assert!((9..=14).contains(&attempts), "{attempts} attempts in 20 s");
}

#[test]
fn finish_all_answers_unsure_only_for_submits_that_were_sent() {
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 1);
    let sent = simulated.submit(CLIENT_TIMEOUT_MS);
    let read = simulated.read(CLIENT_TIMEOUT_MS);
    simulated.announce(1, 0, 1);
    let never_sent = simulated.submit(CLIENT_TIMEOUT_MS);
    let cancel = simulated.cancel(CLIENT_TIMEOUT_MS);
    simulated.drive(|upstream, _, out| upstream.finish_all(out));
    assert_eq!(simulated.outcome(sent), Some(Outcome::UNSURE));
    assert_eq!(simulated.outcome(read), Some(Outcome::UNAVAILABLE));
    assert_eq!(simulated.outcome(never_sent), Some(Outcome::UNAVAILABLE));
    assert_eq!(simulated.outcome(cancel), Some(Outcome::UNAVAILABLE));
    assert_eq!(simulated.upstream.pending_requests(), 0);
}

/// A step of a random script. The `u8` numbers select among the existing requests, sends and connections.
#[derive(Debug, Clone)]
enum Step {
    Submit(u16),
    Read(u16),
    Cancel(u16),
    Count(u16),
    Abandon(u8),
    Advance(u16),
    ConnectAll,
    Disconnect(u8),
    Announce { from: u8, leader: u8, term: u8 },
    Members { from: u8, leader: u8, term: u8 },
    Reply { request: u8, send: u8, outcome: u8 },
    Pong(u8),
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Self {
        let number = u8::arbitrary(random);
        let time = u16::arbitrary(random) % 4_000 + 1;
        let member = number % 4 + 1;
        let leader = u8::arbitrary(random) % 5;
        let term = u8::arbitrary(random) % 32;
        match u8::arbitrary(random) % 20 {
            0 | 1 => Step::Submit(time),
            2 => Step::Read(time),
            3 => Step::Cancel(time),
            4 => Step::Count(time),
            5 => Step::Abandon(number),
            6 => Step::Advance(time % 300),
            7 => Step::ConnectAll,
            8 => Step::Disconnect(number),
            9 => Step::Announce { from: member, leader, term },
            10 => Step::Members { from: member, leader, term },
            11..=17 => Step::Reply { request: number, send: leader, outcome: u8::arbitrary(random) % 12 },
            18 => Step::Pong(number),
            _ => Step::ConnectAll,
        }
    }
}

fn choose<T: Copy>(items: &[T], number: u8) -> Option<T> {
    if items.is_empty() {
        return None;
    }
    Some(items[usize::from(number) % items.len()])
}

/// The sends that were answered by a reply, by token and position among the sends of the request.
#[derive(Default)]
struct ResolvedSends {
    replied: BTreeSet<(u64, usize)>,
}

fn apply(simulated: &mut Simulated, resolved_sends: &mut ResolvedSends, submits: &mut Vec<u64>, step: Step) {
    match step {
        Step::Submit(timeout_ms) => submits.push(simulated.submit(timeout_ms.into())),
        Step::Read(timeout_ms) => drop(simulated.read(timeout_ms.into())),
        Step::Cancel(timeout_ms) => drop(simulated.cancel(timeout_ms.into())),
        Step::Count(timeout_ms) => drop(simulated.count(timeout_ms.into())),
        Step::Abandon(number) => {
            let tokens: Vec<u64> = simulated.sends.keys().copied().collect();
            if let Some(token) =
                choose(&tokens, number).filter(|token| !simulated.answers.contains_key(token))
            {
                simulated.abandon(token);
            }
        }
        Step::Advance(ms) => simulated.advance(u64::from(ms) * MS),
        Step::ConnectAll => simulated.connect_all(),
        Step::Disconnect(number) => {
            let all: Vec<u64> = simulated.open.keys().chain(simulated.opening.keys()).copied().collect();
            if let Some(connection) = choose(&all, number) {
                simulated.disconnect(connection);
            }
        }
        Step::Announce { from, leader, term } => simulated.announce(from, leader, term.into()),
        Step::Members { from, leader, term } => {
            simulated.announce_with(from, leader, term.into(), Some(&[1, 2, 4]));
        }
        Step::Reply { request, send, outcome } => reply(simulated, resolved_sends, request, send, outcome),
        Step::Pong(number) => {
            let open: Vec<u64> = simulated.open.keys().copied().collect();
            if let Some(connection) = choose(&open, number) {
                simulated.pong(connection);
            }
        }
    }
}

/// Replies to one of the sends of a request, unless the connection is closed or the send already got a reply.
fn reply(simulated: &mut Simulated, resolved_sends: &mut ResolvedSends, request: u8, send: u8, outcome: u8) {
    let tokens: Vec<u64> = simulated.sends.keys().copied().collect();
    let Some(token) = choose(&tokens, request) else {
        return;
    };
    let position = usize::from(send) % simulated.sends[&token].len();
    let connection = simulated.sends[&token][position];
    let outcome = Outcome::from(i32::from(outcome));
    if !simulated.open.contains_key(&connection) || !resolved_sends.replied.insert((token, position)) {
        return;
    }
    simulated.reply(connection, token, outcome);
}

/// Number of random scripts for each property.
const SCRIPTS: u64 = 2_000;

#[test]
fn every_request_gets_one_answer_and_no_bytes_go_to_closed_connections() {
    QuickCheck::new().tests(SCRIPTS).quickcheck(one_answer_each as fn(Vec<Step>) -> bool);
}

#[test]
fn job_that_may_have_been_accepted_is_never_rejected() {
    QuickCheck::new().tests(SCRIPTS).quickcheck(rejections_are_certain as fn(Vec<Step>) -> bool);
}

fn one_answer_each(steps: Vec<Step>) -> bool {
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 1);
    let (mut resolved_sends, mut submits) = (ResolvedSends::default(), Vec::new());
    for step in steps {
        apply(&mut simulated, &mut resolved_sends, &mut submits, step);
    }
    simulated.advance(10_000 * MS);
    let answered = submits.iter().all(|token| {
        let answers = simulated.answers.get(token).map_or(0, Vec::len);
        answers == usize::from(!simulated.abandoned.contains(token))
    });
    let once = simulated.answers.values().all(|replies| replies.len() == 1);
    answered && once && !simulated.sent_on_closed_connection && simulated.upstream.pending_requests() == 0
}

fn rejections_are_certain(steps: Vec<Step>) -> bool {
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 1);
    let (mut resolved_sends, mut submits) = (ResolvedSends::default(), Vec::new());
    for step in steps {
        apply(&mut simulated, &mut resolved_sends, &mut submits, only_rejections(step));
    }
    simulated.advance(10_000 * MS);
    submits.iter().all(|token| {
        let rejected = simulated.outcome(*token).is_some_and(|outcome| outcome != Outcome::UNSURE);
        let sends = simulated.sends.get(token).map_or(0, Vec::len);
        let all_rejected = (0..sends).all(|position| resolved_sends.replied.contains(&(*token, position)));
        !rejected || all_rejected
    })
}

/// Turns every reply into a rejection, so that a send may have been accepted if and only if it got no reply.
fn only_rejections(step: Step) -> Step {
    let Step::Reply { request, send, outcome } = step else {
        return step;
    };
    let outcome = if outcome % 2 == 0 { Outcome::OVERLOADED } else { Outcome::NOT_LEADER };
    Step::Reply { request, send, outcome: outcome as u8 }
}

#[test]
fn request_sent_to_an_unresponsive_leader_is_answered_before_its_timeout() {
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 1);
    let token = simulated.submit(CLIENT_TIMEOUT_MS);
    simulated.advance(2_300 * MS);
    assert_eq!(simulated.outcome(token), Some(Outcome::UNSURE), "the request may have been carried out");
}

#[test]
fn request_is_resent_once_an_unresponsive_leader_responds() {
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 1);
    let leader = simulated.connection_to(1).unwrap();
    let token = simulated.submit(30_000);
    simulated.advance(900 * MS);
    assert_eq!(simulated.sends[&token], [leader]);
    simulated.pong(leader);
    assert_eq!(simulated.sends[&token], [leader, leader], "the first send may be lost");
    assert_eq!(simulated.outcome(token), None);
}

#[test]
fn requests_are_resent_in_the_order_of_arrival() {
    const REQUESTS: u64 = 40;
    let mut simulated = Simulated::with_leader(&SEEDS, 1, 1);
    let tokens: Vec<u64> = (0..REQUESTS).map(|_| simulated.submit(30_000)).collect();
    simulated.sent.clear();
    simulated.announce(2, 2, 2);
    assert_eq!(simulated.sent, tokens, "to another leader");
    simulated.sent.clear();
    let leader = simulated.connection_to(2).unwrap();
    simulated.advance(900 * MS);
    assert!(simulated.sent.is_empty());
    simulated.pong(leader);
    assert_eq!(simulated.sent, tokens, "to a leader that was unresponsive");
}
