//! Backends: attempts at roll servers, over connections of the pool.

pub mod download;
pub mod outcome;
pub mod outgoing;
#[cfg(test)]
mod tests;

use crate::backends::download::{release, Download, STALL_TIMEOUT};
use crate::backends::outcome::{outcome, Outcome, ServedBody};
use crate::backends::outgoing::{size, Outgoing};
use crate::bodies::{Budget, Upload, SMALL_BODY_BYTES};
use crate::config::Config;
use crate::link::{Dialer, Link, Progress};
use crate::pool::close_reason::CloseReason;
use crate::pool::connection::PooledConnection;
use crate::pool::Pool;
use bytes::Bytes;
use gateway_decisions::{Ending, Name, Via};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{interval, timeout_at, Instant};

/// An answer of unknown length that is not complete after this time is streamed to the client.
const BUFFER_TIMEOUT: Duration = Duration::from_millis(100);

/// All roll servers: their connection pool, and the memory budget for bodies.
pub struct Backends {
    pub pool: Rc<Pool<Dialer>>,
    memory: Budget,
}

impl Backends {
    /// Creates the backends with an empty pool and the configuration's limits.
    pub fn new(config: &Config) -> Rc<Self> {
        let dialer = Dialer { forwards: Rc::default() };
        let pool = Pool::new(dialer, config.backend_sockets, config.connect_timeout, config.idle_timeout);
        Rc::new(Backends { pool, memory: Budget::new(config.body_memory) })
    }

    /// Returns the memory budget for bodies of requests and answers.
    pub fn memory(&self) -> &Budget {
        &self.memory
    }

    /// Returns the number of attempts that have been written completely last_progress the start.
    pub fn forwards(&self) -> u64 {
        self.pool.opener().forwards.get()
    }

    /// Runs one attempt at one backend, and gives up at `attempt_deadline`.
    pub async fn attempt(
        self: &Rc<Self>,
        name: &Name,
        request: &Outgoing,
        attempt_deadline: Instant,
        progress: &Rc<Progress>,
    ) -> Outcome {
        let exchange = self.exchange(name, request, attempt_deadline, progress);
        let Some(upload) = request.body.relay() else {
            return match timeout_at(attempt_deadline, exchange).await {
                Ok(outcome) => outcome,
                Err(_) if progress.may_have_run() => {
                    if let Some(at) = progress.unanswered_since.get() {
                        self.pool.handle_timeout(name, at);
                    }
                    Outcome::without_answer(Ending::Late)
                }
                Err(_) => Outcome::without_answer(Ending::NoRoute),
            };
        };
        // A relayed request takes as long as its client. The attempt is given up only if the backend stops
        // reading.
        let mut outcome = tokio::select! {
            outcome = exchange => outcome,
            () = stalled(progress, upload) => Outcome::without_answer(progress.ending_when_broken()),
        };
        if upload.fault().is_some() && outcome.ending == Ending::NoRoute {
            // The client aborted its body; the backend is not at fault.
            outcome.ending = Ending::Stale;
        }
        outcome
    }

    async fn exchange(
        &self,
        name: &Name,
        request: &Outgoing,
        attempt_deadline: Instant,
        progress: &Rc<Progress>,
    ) -> Outcome {
        let mut connection = match self.pool.checkout(name).await {
            Ok(connection) => connection,
            Err(why) => return Outcome::unconnected(why),
        };
        progress.connected.set(true);
        let via = if connection.idle_time.is_some() { Via::Reused } else { Via::New };
        let wait = match request.body.relay() {
            Some(_) => request.wait,
            None => attempt_deadline.saturating_duration_since(Instant::now()),
        };
        let has_length = request.body.length().is_some();
        let request = request.to_backend(wait, progress);
        // A body of unknown length sets this when its last byte may be written.
        progress.required.set(if has_length { size(&request) } else { 0 });
        let written = Instant::now();
        progress.unanswered_since.set(Some(written));
        let Some(answer) = connection.link.send(request, progress).await else {
            self.pool.close_broken(connection, written);
            return Outcome { via, ..Outcome::without_answer(progress.ending_when_broken()) };
        };
        self.pool.record_answer(&connection, written);
        progress.unanswered_since.set(None);
        let (head, body) = answer.into_parts();
        let read = match head.status.as_u16() {
            200 => self.read_served(connection, &head, body).await,
            _ => self.read_unserved(connection, body).await,
        };
        match read {
            Some(body) => Outcome { via, ..outcome(&head, body) },
            // An answer that breaks off was never complete.
            None => Outcome::without_answer(progress.ending_when_broken()),
        }
    }

    /// Reads the body of an answer other than 200 to its end, so that the connection can be reused. Returns
    /// None if the answer breaks off.
    async fn read_unserved(
        &self,
        mut connection: PooledConnection<Link>,
        body: Incoming,
    ) -> Option<Option<ServedBody>> {
        let body = Limited::new(body, SMALL_BODY_BYTES).collect();
        match connection.link.drive(body).await {
            // The status alone is enough. The connection is closed, because the body was not read to its end.
            Some(Err(e)) if e.is::<LengthLimitError>() => Some(None),
            Some(Ok(_)) => {
                self.pool.give_back(connection);
                Some(None)
            }
            _ => {
                connection.close(CloseReason::Broken);
                None
            }
        }
    }

    /// Buffers a small body if there is memory for it. A body that is larger or takes longer is streamed to
    /// the client. Returns None if the answer breaks off.
    async fn read_served(
        &self,
        mut connection: PooledConnection<Link>,
        head: &Parts,
        mut body: Incoming,
    ) -> Option<Option<ServedBody>> {
        let framed =
            head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
        let length = body.size_hint().exact();
        let wanted = length.map_or(SMALL_BODY_BYTES, |l| usize::try_from(l).unwrap_or(usize::MAX));
        let mut grant = Some(wanted).filter(|w| *w <= SMALL_BODY_BYTES).and_then(|w| self.memory.grant(w));
        let buffer_deadline = Instant::now() + BUFFER_TIMEOUT;
        let (mut first, mut buffered) = (VecDeque::new(), 0);
        while grant.is_some() {
            let next = connection.link.drive(body.frame());
            let next = match length {
                Some(_) => next.await,
                None => match timeout_at(buffer_deadline, next).await {
                    Ok(next) => next,
                    Err(_) => break,
                },
            };
            match next {
                Some(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    buffered += data.len();
                    first.push_back(data);
                    if buffered > SMALL_BODY_BYTES {
                        break;
                    }
                }
                Some(None) => {
                    release(&self.pool, connection, framed);
                    let body = grant.take().map_or(Bytes::new(), |grant| grant.attach(join(first)));
                    return Some(Some(ServedBody::Buffered(body)));
                }
                Some(Some(Err(_))) | None => {
                    connection.close(CloseReason::Broken);
                    return None;
                }
            }
        }
        // The rest is read at the client's pace.
        let download = Download::new(&self.pool, connection, body, first, grant, length, framed);
        Some(Some(ServedBody::Stream(Box::new(download))))
    }
}

/// Completes once a backend has read nothing of a relayed body for [`STALL_TIMEOUT`].
async fn stalled(progress: &Progress, upload: &Upload) {
    let (mut ticks, mut last_written, mut last_progress) = (interval(STALL_TIMEOUT / 10), 0, Instant::now());
    while last_progress.elapsed() < STALL_TIMEOUT {
        let now = ticks.tick().await;
        let written = progress.written.get();
        if written != last_written || upload.waits_for_client() || upload.ended().is_some() {
            (last_written, last_progress) = (written, now);
        }
    }
}

/// Joins the parts of a small body.
fn join(mut parts: VecDeque<Bytes>) -> Bytes {
    match parts.len() {
        0 | 1 => parts.pop_front().unwrap_or_default(),
        _ => parts.into_iter().flatten().collect(),
    }
}
