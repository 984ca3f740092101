//! A stand-in for the list service: so many calls a second, a line of a bounded length, and the truth.

use crate::net::{Addresses, Wire};
use bytes::Bytes;
use granitehub_protocol::admission::Admission;
use granitehub_protocol::list::{List, Roster, State, Target};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lab::scenario::List as Words;
use std::cell::RefCell;
use std::collections::HashSet;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout, Instant};

pub struct Service {
    words: Words,
    roster: RefCell<Roster>,
    /// Each change with its version.
    changes: RefCell<Vec<(u64, Target)>>,
    first: u64,
    told: watch::Sender<u64>,
    begun: Instant,
    admission: RefCell<Admission>,
}

impl Service {
    pub fn new(words: Words, first: u64) -> Self {
        let line = Duration::from_secs_f64(words.line_s);
        let admission = Admission::new(words.capacity, line, line);
        let roster = Roster { rev: first, ..Roster::default() };
        Service {
            words,
            roster: RefCell::new(roster),
            changes: RefCell::default(),
            first,
            told: watch::Sender::new(first),
            begun: Instant::now(),
            admission: RefCell::new(admission),
        }
    }

    /// A server's entry changes.
    pub fn change(&self, target: Target) {
        let mut roster = self.roster.borrow_mut();
        let rev = roster.rev + 1;
        roster.apply(&List { rev, all: false, targets: vec![target.clone()] });
        self.changes.borrow_mut().push((rev, target));
        self.told.send_replace(rev);
    }

    /// The list as a gateway sees it, from its start on.
    pub fn whole(&self, gateway: usize) -> String {
        seen(&self.roster.borrow().whole(), gateway)
    }

    pub async fn answer(&self, request: Request<Incoming>, wire: &Wire) -> Response<Full<Bytes>> {
        let place = self.admission.borrow_mut().place(self.begun.elapsed(), true);
        match place {
            Ok(done) => sleep_until(self.begun + done).await,
            Err(turn) => {
                let mut answer = Response::new(Full::new(Bytes::from_static(b"too many calls\n")));
                *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                let hint =
                    self.words.hint.then(|| format!("{:.3}", turn.as_secs_f64()).parse().ok()).flatten();
                hint.map(|hint| answer.headers_mut().insert("retry-after", hint));
                return answer;
            }
        }
        let query = request.uri().query().unwrap_or_default();
        let number = |key: &str| {
            let told = query.split('&').find_map(|part| part.strip_prefix(key)?.strip_prefix('='));
            told.and_then(|text| text.parse::<u64>().ok())
        };
        let since = number("since");
        if let Some(since) = since {
            let mut told = self.told.subscribe();
            let wait = Duration::from_millis(number("timeout_ms").unwrap_or(0).min(60_000));
            let _ = timeout(wait, told.wait_for(|rev| *rev > since)).await;
        }
        let roster = self.roster.borrow();
        let list = match since.filter(|since| (self.first..=roster.rev).contains(since)) {
            None => roster.whole(),
            Some(since) => {
                let changes = self.changes.borrow();
                let newer = changes.iter().rev().take_while(|(rev, _)| *rev > since);
                // The last word on each counts.
                let mut named = HashSet::new();
                let last = newer.filter(|(_, target)| named.insert(target.uid.clone()));
                List {
                    rev: roster.rev,
                    all: false,
                    targets: last.map(|(_, target)| target.clone()).collect(),
                }
            }
        };
        Response::new(Full::new(Bytes::from(seen(&list, wire.gateway))))
    }
}

/// A list with the addresses of a gateway's own links.
fn seen(list: &List, gateway: usize) -> String {
    let text = serde_json::to_string(list).unwrap_or_default();
    let (anybody, own) = (crate::net::ANYBODY, Addresses::seen(gateway));
    text.replace(&*String::from_utf8_lossy(anybody), &String::from_utf8_lossy(&own))
}

/// What a gateway is told over one connection to the list, as the bytes go out to it.
#[derive(Default)]
pub struct Tap {
    bytes: Vec<u8>,
}

/// A whole answer.
pub enum Said {
    List(List),
    /// Turned away, or something else that is no list.
    Else,
}

impl Tap {
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<Said> {
        self.bytes.extend_from_slice(bytes);
        let mut said = Vec::new();
        while let Some((one, rest)) = self.next() {
            said.push(one);
            self.bytes.drain(..rest);
        }
        said
    }

    fn next(&self) -> Option<(Said, usize)> {
        let end = self.bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&self.bytes[..end]).to_ascii_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
        let length: usize = length.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
        let body = self.bytes.get(end + 4..end + 4 + length)?;
        let served = head.split(' ').nth(1) == Some("200");
        let list = List::parse(body).ok().filter(|_| served);
        Some((list.map_or(Said::Else, Said::List), end + 4 + length))
    }
}

/// An entry as it stands in the list for anybody.
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn answers_are_read_as_they_go_out_in_any_pieces() {
        let list =
            List { rev: 4, all: true, targets: vec![entry(0, String::new(), "a", 0, State::Ready, 0)] };
        let body = serde_json::to_string(&list).unwrap();
        let text = format!(
            "HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno\
             HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut tap = Tap::default();
        let said: Vec<Said> = text.as_bytes().chunks(7).flat_map(|piece| tap.feed(piece)).collect();
        assert!(matches!(&said[..], [Said::Else, Said::List(told)] if *told == list));
    }
}
