//! The watch on the list of backends.

use crate::driver::Driver;
use granitehub::Scope;
use granitehub_protocol::watch::{Client, Told};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// How long a watch may wait for news.
const WAIT: Duration = Duration::from_secs(20);
/// Between an answer with nothing new and the next call: under the 200 ms after which a
/// watch counts as given up.
const PAUSE: Duration = Duration::from_millis(100);
/// Where discovery must be asked, gateways ask one service, which may be overbooked. After a failure each calls
/// again at a time drawn from a span in which all of them, taking turns, call once in so long.
const TURN: Duration = Duration::from_millis(200);
const LONGEST_SPAN: Duration = Duration::from_secs(60);
/// How long another address is kept before the first is tried again, at first and at most.
const FIRST_RETURN: Duration = Duration::from_secs(30);
const LONGEST_RETURN: Duration = Duration::from_secs(600);

/// The pauses after calls that fail: drawn from a span that grows, so that gateways which failed together do
/// not call together again.
struct Pauses {
    first: Duration,
    longest: Duration,
    span: Duration,
}

impl Pauses {
    /// `asked`: each call is a load on discovery. Else an agent of this gateway's own answers at no cost, and
    /// what it has counts as told: a drain must not be heard of late for a long pause.
    fn new(gateways: u32, asked: bool) -> Self {
        let first = if asked { (TURN * gateways).min(LONGEST_SPAN) } else { PAUSE };
        let longest = if asked { (first * 4).min(LONGEST_SPAN) } else { PAUSE * 2 };
        Pauses { first, longest, span: first }
    }

    /// `chance` is from 0 to 1.
    fn pause(&mut self, chance: f64) -> Duration {
        let span = self.span;
        self.span = (span * 2).min(self.longest);
        PAUSE / 2 + span.mul_f64(chance)
    }

    fn reset(&mut self) {
        self.span = self.first;
    }
}

/// Which of several addresses is called. All serve one history of the list. The first is called while it answers; after
/// a failure the next one takes its turn, and the first is tried again now and then, ever more seldom.
struct Sources {
    all: Vec<SocketAddr>,
    at: usize,
    span: Duration,
    first_again: Instant,
}

impl Sources {
    fn new(all: Vec<SocketAddr>) -> Self {
        Sources { all, at: 0, span: FIRST_RETURN, first_again: Instant::now() }
    }

    /// Whether the first is to be tried in place of the one that answers now.
    fn tries_first(&self) -> bool {
        self.at != 0 && Instant::now() >= self.first_again
    }

    fn answered(&mut self, tried_first: bool) {
        if tried_first {
            (self.at, self.span) = (0, FIRST_RETURN);
        }
    }

    /// `chance` is from 0 to 1: gateways that failed over together do not return together.
    fn failed(&mut self, tried_first: bool, chance: f64) {
        if tried_first {
            self.span = (self.span * 2).min(LONGEST_RETURN);
        }
        if tried_first || self.at == 0 {
            self.first_again = Instant::now() + self.span.mul_f64(0.5 + chance);
        }
        if !tried_first {
            self.at = (self.at + 1) % self.all.len();
        }
    }
}

/// Asks for the whole list once, unless one of version `rev` is held, then for what changed since. Whatever
/// fails, the old list stands and the next call comes on a new connection, to the next address if there are
/// several. Other addresses take over at once, with the whole list. `known` is the version that the start had.
pub async fn watch(
    mut addresses: watch::Receiver<Vec<SocketAddr>>,
    driver: Rc<Driver>,
    mut rev: Option<u64>,
    known: u64,
    seed: u64,
) {
    // The latest version that is held, also while the whole list is asked for.
    let mut newest = known;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut client = Client::default();
    let mut pauses = Pauses::new(driver.gateways, driver.discovery_asked);
    let mut sources = Sources::new(addresses.borrow_and_update().clone());
    loop {
        let several = sources.all.len() > 1;
        let tries_first = sources.tries_first();
        if tries_first {
            client.disconnect();
        }
        let at = sources.all[if tries_first { 0 } else { sources.at }];
        // Only to see whether it is back: it may not keep the list waiting.
        let wait = if rev.is_none() || tries_first { Duration::ZERO } else { WAIT };
        let answer = tokio::select! {
            Ok(()) = addresses.changed() => {
                (rev, newest) = (None, 0);
                client.disconnect();
                sources = Sources::new(addresses.borrow_and_update().clone());
                pauses.reset();
                continue;
            }
            answer = client.call(at, rev, wait) => answer,
        };
        // A follower may lag: what is newer stands, whoever answers.
        let answer = answer.and_then(|Told { list, .. }| match list.rev < newest && several {
            true => Err(format!("version {} is older than {newest}, which is held", list.rev)),
            false => Ok(list),
        });
        match answer {
            // Changes apply to a list that is held, and only forwards.
            Ok(list) if list.all || rev.is_some_and(|r| list.rev >= r) => {
                pauses.reset();
                sources.answered(tries_first);
                // An agent that answers at once with nothing new must not keep the loop busy.
                if rev.replace(list.rev) == Some(list.rev) {
                    sleep(PAUSE).await;
                }
                newest = list.rev;
                let scope = if list.all { Scope::Full } else { Scope::Changes };
                driver.fleet(scope, list);
            }
            Ok(_) => rev = None,
            Err(what) => {
                sources.failed(tries_first, rng.f64());
                client.disconnect();
                if tries_first {
                    // The one that answered is still there.
                    continue;
                }
                driver.discovery_failed(&if several { format!("{at}: {what}") } else { what });
                // Other addresses are called at once.
                let moved = async {
                    if addresses.changed().await.is_err() {
                        std::future::pending::<()>().await;
                    }
                };
                if timeout(pauses.pause(rng.f64()), moved).await.is_ok() {
                    (rev, newest) = (None, 0);
                    sources = Sources::new(addresses.borrow_and_update().clone());
                    pauses.reset();
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// How many calls a fleet makes in each of the seconds after all its gateways failed at once.
    fn calls(gateways: u32, seconds: usize) -> Vec<usize> {
        let mut rng = fastrand::Rng::with_seed(7);
        let mut calls = vec![0; seconds];
        for _ in 0..gateways {
            let (mut pauses, mut at) = (Pauses::new(gateways, true), Duration::ZERO);
            loop {
                at += pauses.pause(rng.f64());
                match calls.get_mut(at.as_secs() as usize) {
                    Some(second) => *second += 1,
                    None => break,
                }
            }
        }
        calls
    }

    #[test]
    fn gateways_that_failed_together_call_in_turns_and_ever_more_seldom() {
        for gateways in [30, 100] {
            let calls = calls(gateways, 120);
            assert!(calls.iter().all(|n| *n <= 20), "{gateways} gateways: {calls:?}");
            let (early, late): (usize, usize) = (calls[..20].iter().sum(), calls[100..].iter().sum());
            assert!(early <= 7 * 20 && late * 4 <= early * 3, "{gateways} gateways: {early}, later {late}");
        }
    }

    #[test]
    fn a_small_fleet_asks_again_within_a_second() {
        let mut pauses = Pauses::new(3, true);
        assert!(pauses.pause(1.0) < Duration::from_secs(1));
        pauses.pause(1.0);
        assert!(pauses.pause(1.0) < Duration::from_secs(3), "and soon while it goes on failing");
        pauses.reset();
        assert!(pauses.pause(1.0) < Duration::from_secs(1));
    }

    #[tokio::test(start_paused = true)]
    async fn the_next_address_takes_its_turn_and_the_first_is_tried_ever_more_seldom() {
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let mut sources = Sources::new((1..=3).map(address).collect());
        sources.answered(false);
        assert!(!sources.tries_first(), "it is the first that answers");
        sources.failed(false, 0.5);
        assert_eq!(sources.at, 1);
        sources.failed(false, 0.5);
        assert_eq!(sources.at, 2);
        for span in [30, 60, 120, 240, 480, 600, 600] {
            tokio::time::advance(Duration::from_secs(span) - Duration::from_millis(5)).await;
            assert!(!sources.tries_first(), "not before {span} s");
            tokio::time::advance(Duration::from_millis(10)).await;
            assert!(sources.tries_first());
            sources.failed(true, 0.5);
            assert_eq!(sources.at, 2, "who answers stays");
        }
        tokio::time::advance(LONGEST_RETURN * 2).await;
        sources.answered(true);
        assert_eq!((sources.at, sources.span), (0, FIRST_RETURN));
        let mut alone = Sources::new(vec![address(1)]);
        alone.failed(false, 0.5);
        assert_eq!((alone.at, alone.tries_first()), (0, false));
    }

    #[test]
    fn where_an_agent_answers_at_no_cost_no_pause_is_long() {
        let mut pauses = Pauses::new(100, false);
        for _ in 0..10 {
            assert!(pauses.pause(1.0) <= Duration::from_millis(250));
        }
    }
}
