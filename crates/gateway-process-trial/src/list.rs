//! A stand-in for the list service, with a limited call rate and a bounded queue. Its list is always up to
//! date.

use crate::addresses::{Addresses, ADDRESS_PLACEHOLDER};
use crate::connection::Connection;
use bytes::Bytes;
use gateway_protocol::admission::{Admission, CallKind};
use gateway_protocol::list::{List, Roster, State, Target};
use gateway_simulation::scenario::List as ListSettings;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::cell::RefCell;
use std::collections::HashSet;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout, Instant};

/// The list, its change history, and admission of calls.
pub struct ListService {
    settings: ListSettings,
    roster: RefCell<Roster>,
    /// Each change with its list version.
    changes: RefCell<Vec<(u64, Target)>>,
    /// The version of the list at the start; older versions get a full list.
    first_rev: u64,
    latest_rev: watch::Sender<u64>,
    started: Instant,
    admission: RefCell<Admission>,
}

impl ListService {
    pub fn new(settings: ListSettings, first_rev: u64) -> Self {
        let max_wait = Duration::from_secs_f64(settings.line_s);
        let admission = Admission::new(settings.capacity, max_wait, max_wait);
        let roster = Roster { rev: first_rev, ..Roster::default() };
        ListService {
            settings,
            roster: RefCell::new(roster),
            changes: RefCell::default(),
            first_rev,
            latest_rev: watch::Sender::new(first_rev),
            started: Instant::now(),
            admission: RefCell::new(admission),
        }
    }

    /// Changes a server's entry and wakes up waiting calls.
    pub fn update(&self, target: Target) {
        let mut roster = self.roster.borrow_mut();
        let rev = roster.rev + 1;
        roster.apply(&List { rev, all: false, targets: vec![target.clone()] });
        self.changes.borrow_mut().push((rev, target));
        self.latest_rev.send_replace(rev);
    }

    /// The present list for a gateway's configuration, as JSON.
    pub fn full_list_text(&self, gateway: usize) -> String {
        text_for_gateway(&self.roster.borrow().full_list(), gateway)
    }

    /// Answers a list call, after the wait that admission imposes. A call with `since` waits for a newer list
    /// version, for `timeout_ms` at most.
    pub async fn answer(&self, request: Request<Incoming>, connection: &Connection) -> Response<Full<Bytes>> {
        let admitted = self.admission.borrow_mut().admit(self.started.elapsed(), CallKind::FullList);
        match admitted {
            Ok(done) => sleep_until(self.started + done).await,
            Err(wait) => {
                let mut answer = Response::new(Full::new(Bytes::from_static(b"too many calls\n")));
                *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                let hint =
                    self.settings.hint.then(|| format!("{:.3}", wait.as_secs_f64()).parse().ok()).flatten();
                hint.map(|hint| answer.headers_mut().insert("retry-after", hint));
                return answer;
            }
        }
        let query = request.uri().query().unwrap_or_default();
        let number = |key: &str| {
            let value = query.split('&').find_map(|part| part.strip_prefix(key)?.strip_prefix('='));
            value.and_then(|text| text.parse::<u64>().ok())
        };
        let since = number("since");
        if let Some(since) = since {
            let mut latest_rev = self.latest_rev.subscribe();
            let wait = Duration::from_millis(number("timeout_ms").unwrap_or(0).min(60_000));
            let _ = timeout(wait, latest_rev.wait_for(|rev| *rev > since)).await;
        }
        let roster = self.roster.borrow();
        let list = match since.filter(|since| (self.first_rev..=roster.rev).contains(since)) {
            None => roster.full_list(),
            Some(since) => {
                let changes = self.changes.borrow();
                let newer = changes.iter().rev().take_while(|(rev, _)| *rev > since);
                // Only the latest change of each server is sent.
                let mut named = HashSet::new();
                let last = newer.filter(|(_, target)| named.insert(target.uid.clone()));
                List {
                    rev: roster.rev,
                    all: false,
                    targets: last.map(|(_, target)| target.clone()).collect(),
                }
            }
        };
        Response::new(Full::new(Bytes::from(text_for_gateway(&list, connection.gateway))))
    }
}

/// A list as JSON, with the addresses of the gateway's own relays.
fn text_for_gateway(list: &List, gateway: usize) -> String {
    let text = serde_json::to_string(list).unwrap_or_default();
    let (placeholder, prefix) = (ADDRESS_PLACEHOLDER, Addresses::gateway_prefix(gateway));
    text.replace(&*String::from_utf8_lossy(placeholder), &String::from_utf8_lossy(&prefix))
}

/// A server's entry, before the addresses are adapted to a gateway.
pub fn entry(server: usize, endpoint: String, zone: &str, cell: u32, state: State, boot_ms: u64) -> Target {
    Target {
        uid: format!("s-{server}"),
        endpoint,
        az: zone.to_string(),
        model: "stand-in".to_string(),
        pod_group: cell,
        state,
        capacity_hint: 1.0,
        boot_ms,
    }
}
