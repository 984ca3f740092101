//! The HTTP interface for operators. It translates calls and answers and contains no policy.
//!
//! Each connection carries one call and is served by a task with a short timeout, so that an incomplete call
//! delays no other call.

use crate::backends::Backends;
use crate::config::MAX_OPERATOR_CALLS;
use crate::driver::Driver;
use crate::figures::{Gauges, ENDS};
use crate::openmetrics::{self, MetricsSnapshot};
use crate::peer_message::PeerMessage;
use crate::server::Server;
use bytes::Bytes;
use gateway_protocol::status::{Latency, Status};
use http_body_util::Full;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use percent_encoding::percent_decode_str;
use program_support::log;
use std::borrow::Cow;
use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout, Instant};

/// Timeout of a call. Only an incomplete call can reach it, because complete ones are answered immediately.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(5);
const SERVERS_PATH: &str = "/-/roll-servers/";

/// The interface for operators of one gateway.
pub struct Ops {
    pub name: String,
    pub started: Instant,
    pub driver: Rc<Driver>,
    pub backends: Rc<Backends>,
    pub server: Rc<Server>,
}

/// Sets the log level, globally or for the module that the query names.
fn set_level(log: &log::Log, query: &str) -> Response<Full<Bytes>> {
    match log.set_level(field(query, "level").as_deref(), field(query, "module").as_deref()) {
        Ok(()) => plain(StatusCode::OK, "changed\n"),
        Err(what) => response(StatusCode::BAD_REQUEST, format!("{what}\n")),
    }
}

/// Returns a field of a query, or None if it is missing or is not valid UTF-8.
fn field<'a>(query: &'a str, key: &str) -> Option<Cow<'a, str>> {
    let encoded = query.split('&').find_map(|part| part.strip_prefix(key)?.strip_prefix('='))?;
    percent_decode_str(encoded).decode_utf8().ok()
}

fn ms(time: Duration) -> f64 {
    time.as_micros() as f64 / 1000.0
}

impl Ops {
    /// Accepts operators' calls forever; at the limit a new call ends the oldest.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) -> Infallible {
        let mut calls: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            };
            calls.retain(|call| !call.is_finished());
            if calls.len() >= MAX_OPERATOR_CALLS {
                calls.pop_front().inspect(AbortHandle::abort);
            }
            let ops = self.clone();
            calls.push_back(spawn_local(async move { ops.call(stream).await }).abort_handle());
        }
    }

    async fn call(self: Rc<Self>, stream: TcpStream) {
        // If this fails, answers are only slower.
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| async { Ok::<_, Infallible>(self.answer(request).await) });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .keep_alive(false)
            .serve_connection(TokioIo::new(stream), service);
        // Errors are caused by the caller: it disconnected, or sent something other than HTTP.
        let _ = timeout(CALL_TIMEOUT, connection).await;
    }

    async fn answer<B>(&self, request: Request<B>) -> Response<Full<Bytes>> {
        let path = request.uri().path();
        let query = request.uri().query().unwrap_or_default();
        let wanted = match path {
            "/-/log" if request.method() == Method::POST => Method::POST,
            "/-/ready" | "/-/metrics" | "/-/status" | "/-/log" => Method::GET,
            "/-/drain" | "/-/resume" => Method::POST,
            _ if action(path).is_some() => Method::POST,
            _ => return plain(StatusCode::NOT_FOUND, "no such call\n"),
        };
        if request.method() != wanted {
            let mut no = plain(StatusCode::METHOD_NOT_ALLOWED, "wrong method\n");
            let allow = if wanted == Method::GET { "GET" } else { "POST" };
            no.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
            return no;
        }
        match path {
            "/-/ready" if self.server.can_serve() => plain(StatusCode::OK, "ready\n"),
            "/-/ready" => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/-/metrics" => match field(query, "format").as_deref() {
                None | Some("json") => json(self.driver.figures.json(&self.gauges())),
                Some("openmetrics") => self.openmetrics(),
                Some(_) => plain(StatusCode::BAD_REQUEST, "format: json or openmetrics is wanted\n"),
            },
            "/-/status" => json(serde_json::to_vec(&self.status())),
            "/-/log" => match log::get() {
                None => plain(StatusCode::NOT_FOUND, "this process has no log of its own\n"),
                Some(log) if wanted == Method::GET => json(serde_json::to_vec(&log.status())),
                Some(log) => set_level(log, query),
            },
            "/-/drain" => {
                self.driver.send_to_peer(PeerMessage::Away { on: true });
                self.server.set_client_drain(true);
                plain(StatusCode::OK, "draining\n")
            }
            "/-/resume" => {
                self.driver.send_to_peer(PeerMessage::Away { on: false });
                self.server.set_client_drain(false);
                plain(StatusCode::OK, "resumed\n")
            }
            _ => self.disable_or_enable(path).await,
        }
    }

    /// Returns the values that are reported in addition to the counts of requests.
    fn gauges(&self) -> Gauges {
        Gauges {
            forwards: self.backends.forwards(),
            discovered: self.backends.pool.listed(),
            ejected: self.driver.ejected(),
            connections: self.backends.pool.figures(),
            list: self.driver.list_age(),
            fullness: self.driver.fullness(),
        }
    }

    fn openmetrics(&self) -> Response<Full<Bytes>> {
        let figures = &self.driver.figures;
        let named =
            |counts: BTreeMap<&str, u64>| counts.into_iter().map(|(c, n)| (c.to_string(), n)).collect();
        let moment = MetricsSnapshot {
            ends: ENDS.iter().map(|(end, _)| (*end, named(figures.counts(*end)))).collect(),
            times: figures.times(),
            outstanding: figures.outstanding(),
            gauges: self.gauges(),
            lines: log::get().map(log::Log::lines),
        };
        match moment.text() {
            Ok(text) => {
                let mut answer = Response::new(Full::new(text.into()));
                answer
                    .headers_mut()
                    .insert(CONTENT_TYPE, HeaderValue::from_static(openmetrics::CONTENT_TYPE));
                answer
            }
            Err(_) => encoding_failure(),
        }
    }

    fn status(&self) -> Status {
        let figures = &self.driver.figures;
        let latency = figures.times().into_iter().map(|(class, outcome, times)| Latency {
            class,
            outcome,
            count: times.count(),
            p50_ms: ms(times.quantile(0.5)),
            p99_ms: ms(times.quantile(0.99)),
            most_ms: ms(times.quantile(1.0)),
        });
        Status {
            name: self.name.clone(),
            version: env!("CARGO_PKG_VERSION").to_string(),
            uptime_ms: self.started.elapsed().as_millis() as u64,
            ready: self.server.can_serve(),
            draining: self.server.drains_clients(),
            successor: self.server.has_successor(),
            outstanding: figures.outstanding(),
            discovered: self.backends.pool.listed(),
            ejected: self.driver.ejected(),
            out_by_hand: self.backends.pool.disabled().iter().map(ToString::to_string).collect(),
            list: self.driver.list_age(),
            fullness: self.driver.fullness(),
            latency: latency.collect(),
            log_lost: log::get().map_or(0, |log| log.lines().lost),
        }
    }

    /// Disables or enables the server that the path names.
    async fn disable_or_enable(&self, path: &str) -> Response<Full<Bytes>> {
        let known = action(path).and_then(|(id, out)| {
            let id = percent_decode_str(id).decode_utf8().ok()?;
            self.backends.pool.knows(&id).then(|| (id.as_ref().into(), out))
        });
        match known {
            Some((server, true)) => {
                self.driver.disable(server).await;
                plain(StatusCode::OK, "disabled\n")
            }
            Some((server, false)) => {
                self.driver.enable(server).await;
                plain(StatusCode::OK, "enabled\n")
            }
            None => plain(StatusCode::NOT_FOUND, "no such roll server\n"),
        }
    }
}

/// Returns the server that a path names, and whether it is to be disabled.
fn action(path: &str) -> Option<(&str, bool)> {
    let (id, verb) = path.strip_prefix(SERVERS_PATH)?.split_once('/')?;
    match verb {
        _ if id.is_empty() => None,
        "disable" => Some((id, true)),
        "enable" => Some((id, false)),
        _ => None,
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    response(status, Bytes::from_static(text.as_bytes()))
}

fn response(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(text.into()));
    *answer.status_mut() = status;
    answer
}

fn json(text: serde_json::Result<Vec<u8>>) -> Response<Full<Bytes>> {
    let Ok(text) = text else { return encoding_failure() };
    let mut answer = response(StatusCode::OK, text);
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

/// The answer if the figures cannot be encoded.
fn encoding_failure() -> Response<Full<Bytes>> {
    plain(StatusCode::INTERNAL_SERVER_ERROR, "the figures cannot be worded\n")
}
