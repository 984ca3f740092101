//! HTTP client for core processes: tries one address after another and follows redirects to the leader.

use crate::error::CtlError;
use admin::ErrorReport;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST, IF_MATCH, LOCATION};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};
use tokio::time::timeout;

/// Timeout for opening a connection, and for the exchange on it.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between attempts after all addresses have failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Maximum number of consecutive redirects to follow.
const MAX_REDIRECTS: usize = 2;
/// Maximum size of an answer body, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A request to a core process.
#[derive(Debug, Clone)]
pub struct Call {
    method: Method,
    path: String,
    if_match: Option<u64>,
    body: Bytes,
    /// Whether the call may be sent again after it may have taken effect.
    idempotent: bool,
}

impl Call {
    /// A call that reads a document.
    pub fn get(path: impl Into<String>) -> Self {
        let (method, path) = (Method::GET, path.into());
        Call { method, path, if_match: None, body: Bytes::new(), idempotent: true }
    }

    /// A call that starts an action and must not be repeated.
    pub fn post(path: impl Into<String>) -> Self {
        Call { method: Method::POST, idempotent: false, ..Call::get(path) }
    }

    /// A call that sends the configuration. Repeating it has no further effect.
    pub fn put(path: impl Into<String>, if_match: u64, body: Vec<u8>) -> Self {
        Call { method: Method::PUT, if_match: Some(if_match), body: body.into(), ..Call::get(path) }
    }
}

/// An answer of a core process.
#[derive(Debug)]
pub struct Answer {
    status: StatusCode,
    /// The complete body.
    pub body: Bytes,
    location: Option<String>,
}

impl Answer {
    /// Parses the document in the body.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, CtlError> {
        serde_json::from_slice(&self.body).map_err(|error| CtlError::UnreadableAnswer(error.to_string()))
    }

    /// The reason of a rejection, or its status if the body holds none.
    fn error_text(&self) -> String {
        match serde_json::from_slice::<ErrorReport>(&self.body) {
            Ok(report) => report.error,
            Err(_) => format!("status {}", self.status),
        }
    }
}

/// Why an address gave no clear answer.
enum Failure {
    /// The call was certainly not carried out, so another address may be tried.
    NotDone(String),
    /// The call may have been carried out.
    Interrupted(String),
}

/// Client for a group of core processes.
pub struct Client {
    runtime: Runtime,
    addresses: Vec<SocketAddr>,
    timeout: Duration,
}

impl Client {
    /// Creates a client that tries `addresses` in order, and retries until `timeout`.
    pub fn new(addresses: Vec<SocketAddr>, timeout: Duration) -> Result<Self, CtlError> {
        let runtime = Builder::new_current_thread().enable_all().build().map_err(CtlError::Runtime)?;
        Ok(Client { runtime, addresses, timeout })
    }

    /// How long to retry until a process gives a clear answer.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Tries all addresses repeatedly until one gives a clear answer.
    ///
    /// # Errors
    ///
    /// The call was rejected, the timeout expired, or the outcome of a call that must not be repeated is
    /// unknown.
    pub fn call(&self, call: &Call) -> Result<Answer, CtlError> {
        let deadline = Instant::now() + self.timeout;
        self.runtime.block_on(async {
            loop {
                let mut last = String::new();
                for address in &self.addresses {
                    match send_with_redirects(*address, call).await {
                        Ok(answer) => return check_status(answer),
                        Err(Failure::Interrupted(reason)) if !call.idempotent => {
                            return Err(CtlError::OutcomeUnknown(reason))
                        }
                        Err(Failure::Interrupted(reason) | Failure::NotDone(reason)) => last = reason,
                    }
                }
                if Instant::now() + RETRY_PAUSE >= deadline {
                    return Err(CtlError::Unreachable(last));
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        })
    }

    /// Makes a call to one process once, without following redirects; `None` unless it succeeds.
    pub fn call_one(&self, address: SocketAddr, call: &Call) -> Option<Answer> {
        let answer = self.runtime.block_on(send(address, call)).ok()?;
        answer.status.is_success().then_some(answer)
    }

    /// Waits for `RETRY_PAUSE` before the next attempt.
    pub fn pause(&self) {
        std::thread::sleep(RETRY_PAUSE);
    }
}

/// Returns a successful answer; turns any other into a rejection.
fn check_status(answer: Answer) -> Result<Answer, CtlError> {
    if answer.status.is_success() {
        return Ok(answer);
    }
    Err(CtlError::Refused(answer.error_text()))
}

/// Makes the call at an address and follows its redirects.
async fn send_with_redirects(first: SocketAddr, call: &Call) -> Result<Answer, Failure> {
    let mut address = first;
    for _ in 0..=MAX_REDIRECTS {
        let answer = send(address, call).await?;
        if answer.status == StatusCode::TEMPORARY_REDIRECT {
            let target = answer.location.as_deref().and_then(address_of);
            address = target
                .ok_or_else(|| Failure::NotDone(format!("{address} redirects without a valid address")))?;
            continue;
        }
        if answer.status.is_server_error() {
            let reason = format!("{address}: {}", answer.error_text());
            let not_done = answer.status == StatusCode::SERVICE_UNAVAILABLE;
            return Err(if not_done { Failure::NotDone(reason) } else { Failure::Interrupted(reason) });
        }
        return Ok(answer);
    }
    Err(Failure::NotDone("too many redirects: the group is electing a leader".to_owned()))
}

/// Extracts the address from a URL such as `http://ip:port/path`.
fn address_of(location: &str) -> Option<SocketAddr> {
    let rest = location.strip_prefix("http://")?;
    rest.split('/').next()?.parse().ok()
}

async fn send(address: SocketAddr, call: &Call) -> Result<Answer, Failure> {
    let not_done = |reason: String| Failure::NotDone(format!("{address}: {reason}"));
    let connected = timeout(CALL_TIMEOUT, TcpStream::connect(address)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(not_done(error.to_string())),
        Err(_) => return Err(not_done("connecting timed out".to_owned())),
    };
    let request = request_of(address, call).map_err(|error| not_done(error.to_string()))?;
    match timeout(CALL_TIMEOUT, exchange(stream, request)).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(reason)) => Err(Failure::Interrupted(format!("{address}: {reason}"))),
        Err(_) => Err(Failure::Interrupted(format!("{address}: the answer timed out"))),
    }
}

fn request_of(address: SocketAddr, call: &Call) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut builder = Request::builder().method(call.method.clone()).uri(call.path.as_str());
    builder = builder.header(HOST, address.to_string()).header(CONTENT_TYPE, "application/json");
    if let Some(version) = call.if_match {
        builder = builder.header(IF_MATCH, version);
    }
    builder.body(Full::new(call.body.clone()))
}

async fn exchange(stream: TcpStream, request: Request<Full<Bytes>>) -> Result<Answer, String> {
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|error| error.to_string())?;
    let connection = tokio::spawn(connection);
    let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await.map_err(|error| error.to_string())?;
    connection.abort();
    let location = head.headers.get(LOCATION).and_then(|value| value.to_str().ok()).map(str::to_owned);
    Ok(Answer { status: head.status, body: body.to_bytes(), location })
}
