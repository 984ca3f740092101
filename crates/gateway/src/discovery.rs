//! The watch on the list of backends: which address is called and when, and what an answer or a failure
//! changes.

use crate::driver::Driver;
use gateway_decisions::Scope;
use gateway_protocol::call_schedule::{
    CallFailure, CallSchedule, ListService, ReaderState, EMPTY_ANSWER_PAUSE,
};
use gateway_protocol::list::List;
use gateway_protocol::watch::{Client, ListAnswer, WatchError};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// The initial and the maximum time for which a fallback is used before the primary is tried again.
const MIN_PRIMARY_RETRY: Duration = Duration::from_secs(30);
const MAX_PRIMARY_RETRY: Duration = Duration::from_secs(600);

/// Selects which of several addresses is called. All serve the same history of the list. The primary is the
/// first address and is called while it answers. After a failure the next address is used, and the primary is
/// retried at intervals that double.
struct Sources {
    addresses: Vec<SocketAddr>,
    current: usize,
    primary_retry: Duration,
    primary_due: Instant,
}

impl Sources {
    fn new(addresses: Vec<SocketAddr>) -> Self {
        Sources { addresses, current: 0, primary_retry: MIN_PRIMARY_RETRY, primary_due: Instant::now() }
    }

    /// Returns whether the primary is to be retried in place of the fallback that is in use.
    fn is_primary_due(&self) -> bool {
        self.current != 0 && Instant::now() >= self.primary_due
    }

    fn has_fallbacks(&self) -> bool {
        self.addresses.len() > 1
    }

    fn answered(&mut self, retried_primary: bool) {
        if retried_primary {
            (self.current, self.primary_retry) = (0, MIN_PRIMARY_RETRY);
        }
    }

    /// Handles a failed call. `jitter` is from 0 to 1: gateways that failed over at the same time do not
    /// return at the same time.
    fn failed(&mut self, retried_primary: bool, jitter: f64) {
        if retried_primary {
            self.primary_retry = (self.primary_retry * 2).min(MAX_PRIMARY_RETRY);
        }
        if retried_primary || self.current == 0 {
            self.primary_due = Instant::now() + self.primary_retry.mul_f64(0.5 + jitter);
        }
        if !retried_primary {
            self.current = (self.current + 1) % self.addresses.len();
        }
    }
}

/// Runs the watch: requests the full list once, unless the list of version `version` is in use, and then the
/// changes since. If a call fails, the current list stays in use, and the next call uses a new connection,
/// and the next address if there are several. Reconfigured addresses are called immediately, for the full
/// list. `newest` is the version that was in use at the start.
pub async fn watch(
    mut addresses: watch::Receiver<Vec<SocketAddr>>,
    driver: Rc<Driver>,
    version: Option<u64>,
    newest: u64,
    seed: u64,
) {
    let configured = addresses.borrow_and_update().clone();
    let mut list_watch = ListWatch::new(configured, driver, version, newest, seed);
    loop {
        let mut call = list_watch.next_call();
        let answer = tokio::select! {
            Ok(()) = addresses.changed() => None,
            answer = list_watch.call(&mut call) => Some(answer),
        };
        match answer {
            Some(answer) => list_watch.handle_answer(&call, answer),
            None => list_watch.reconfigure(addresses.borrow_and_update().clone()),
        }
    }
}

/// One call for the list.
struct Call {
    address: SocketAddr,
    /// Whether the call only checks that the primary answers again.
    retries_primary: bool,
    /// How long the list service may wait for an update before it answers.
    wait: Duration,
    started: Instant,
}

/// The state of the watch between calls.
struct ListWatch {
    driver: Rc<Driver>,
    client: Client,
    sources: Sources,
    service: ListService,
    begun: Instant,
    schedule: CallSchedule,
    rng: fastrand::Rng,
    /// The version whose later changes the next call requests; None requests the full list.
    version: Option<u64>,
    /// The latest version in use, kept while the full list is requested.
    newest: u64,
    /// The pause before the next call.
    pause: Duration,
}

impl ListWatch {
    fn new(
        addresses: Vec<SocketAddr>,
        driver: Rc<Driver>,
        version: Option<u64>,
        newest: u64,
        seed: u64,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let service = match driver.is_discovery_shared {
            true => ListService::Shared { readers: driver.gateways },
            false => ListService::OwnAgent,
        };
        let (begun, mut schedule) = (Instant::now(), CallSchedule::new(service));
        let pause = schedule.first_call_delay(begun.elapsed(), rng.f64());
        let (client, sources) = (Client::default(), Sources::new(addresses));
        ListWatch { driver, client, sources, service, begun, schedule, rng, version, newest, pause }
    }

    /// Chooses the address and the wait of the next call.
    fn next_call(&mut self) -> Call {
        let retries_primary = self.sources.is_primary_due();
        if retries_primary {
            self.client.disconnect();
        }
        let index = if retries_primary { 0 } else { self.sources.current };
        // A retry of the primary must not delay updates of the list.
        let wait = if self.version.is_none() || retries_primary {
            Duration::ZERO
        } else {
            self.schedule.watch_wait(self.rng.f64())
        };
        Call { address: self.sources.addresses[index], retries_primary, wait, started: Instant::now() }
    }

    /// Pauses and then makes the call.
    async fn call(&mut self, call: &mut Call) -> Result<ListAnswer, WatchError> {
        if !self.pause.is_zero() {
            sleep(self.pause).await;
            call.started = Instant::now();
        }
        self.client.call(call.address, self.version, call.wait).await
    }

    /// Starts again with other addresses.
    fn reconfigure(&mut self, addresses: Vec<SocketAddr>) {
        (self.version, self.newest, self.pause) = (None, 0, Duration::ZERO);
        self.client.disconnect();
        self.sources = Sources::new(addresses);
        self.schedule = CallSchedule::new(self.service);
    }

    fn handle_answer(&mut self, call: &Call, answer: Result<ListAnswer, WatchError>) {
        self.pause = Duration::ZERO;
        match answer.and_then(|ListAnswer { list, .. }| self.reject_older(list)) {
            // Changes apply only to the list that they follow, and only to a later version.
            Ok(list) if list.all || self.version.is_some_and(|version| list.rev >= version) => {
                self.update(call, list);
            }
            Ok(_) => self.version = None,
            Err(error) => self.handle_failure(call, error),
        }
    }

    /// Returns an error for the list of a follower that lags behind: a newer list stays in use, whichever
    /// address answers.
    fn reject_older(&self, list: List) -> Result<List, WatchError> {
        let newest = self.newest;
        match list.rev < newest && self.sources.has_fallbacks() {
            true => Err(WatchError::other(format!(
                "version {} is older than {newest}, which is in use",
                list.rev
            ))),
            false => Ok(list),
        }
    }

    /// Passes an update of the list to the driver.
    fn update(&mut self, call: &Call, list: List) {
        self.sources.answered(call.retries_primary);
        // Only an answer that does not wait for an update shows how long the service's queue is.
        let took = if call.wait.is_zero() { call.started.elapsed() } else { Duration::ZERO };
        self.pause =
            self.schedule.delay_after_answer(took, ReaderState::from_version(self.version), self.rng.f64());
        // An agent that answers immediately without anything new must not keep the loop busy.
        if self.version.replace(list.rev) == Some(list.rev) {
            self.pause = EMPTY_ANSWER_PAUSE;
        }
        self.newest = list.rev;
        let scope = if list.all { Scope::Full } else { Scope::Changes };
        self.driver.update_list(scope, list);
    }

    fn handle_failure(&mut self, call: &Call, error: WatchError) {
        let has_fallbacks = self.sources.has_fallbacks();
        self.sources.failed(call.retries_primary, self.rng.f64());
        // A reader that the service rejected keeps its connection.
        if has_fallbacks || !matches!(error.failure, CallFailure::Rejected(_)) {
            self.client.disconnect();
        }
        if call.retries_primary {
            // The fallback that answered is still in use.
            return;
        }
        let WatchError { what, failure } = error;
        let reason = if has_fallbacks { format!("{}: {what}", call.address) } else { what };
        self.driver.discovery_failed(&reason);
        let reader = ReaderState::from_version(self.version);
        self.pause = self.schedule.delay_after_failure(self.begun.elapsed(), failure, reader, self.rng.f64());
    }
}

#[cfg(test)]
mod tests;
