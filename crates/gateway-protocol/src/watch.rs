//! The client of the list protocol: requests the list, and watches it by long polls, over one persistent
//! connection.

use crate::call_schedule::{retry_after, CallFailure};
use crate::list::{List, MAX_LIST_BYTES};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::RETRY_AFTER;
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout for the response to a call for the full list, which does not wait for an update.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the response to a watch, counted from the end of its wait. An update that the watch misses
/// counts as known 2 s after the wait; within another half second a pause, a new connection and a response
/// must be complete.
pub const WATCH_ANSWER_TIMEOUT: Duration = Duration::from_millis(1200);
/// The response header with the ids of the registries that a list passed through, in order, separated by
/// commas.
pub const LIST_PATH_HEADER: &str = "list-path";

/// The response to a successful call.
pub struct ListAnswer {
    /// The full list, or the changes since the requested version.
    pub list: List,
    /// The registries that the list passed through, from [`LIST_PATH_HEADER`]; empty without this header.
    pub path: String,
}

/// A call that did not return a list.
#[derive(Debug)]
pub struct WatchError {
    /// The error message.
    pub what: String,
    /// The kind of failure, which determines the delay before the next call.
    pub failure: CallFailure,
}

impl WatchError {
    /// A failure that is neither a rejection nor a timeout, with `what` as its message.
    pub fn other(what: impl fmt::Display) -> Self {
        WatchError { what: what.to_string(), failure: CallFailure::Other }
    }
}

impl fmt::Display for WatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.what)
    }
}

impl<E: Error> From<E> for WatchError {
    fn from(e: E) -> Self {
        WatchError::other(e)
    }
}

/// Makes one call at a time and reuses the connection. After a failed call the next call opens a new
/// connection, unless the service rejected the call. Must be used on a local runtime.
#[derive(Default)]
pub struct Client {
    idle: Option<SendRequest<Empty<Bytes>>>,
}

impl Client {
    /// Requests the changes after version `rev` with a long poll of at most `wait`, or the full list if `rev`
    /// is `None`.
    ///
    /// # Errors
    ///
    /// The call was rejected or timed out, the connection failed, or the response is not a valid list.
    pub async fn call(
        &mut self,
        address: SocketAddr,
        rev: Option<u64>,
        wait: Duration,
    ) -> Result<ListAnswer, WatchError> {
        let path = match rev {
            None => "/v1/endpoints".to_string(),
            Some(r) => format!("/v1/endpoints?since={r}&timeout_ms={}", wait.as_millis()),
        };
        let limit = wait + if wait.is_zero() { ANSWER_TIMEOUT } else { WATCH_ANSWER_TIMEOUT };
        match timeout(limit, self.exchange(address, path)).await {
            Ok(answer) => answer,
            Err(_) => Err(WatchError { what: "silent".to_string(), failure: CallFailure::TimedOut }),
        }
    }

    /// Drops the connection; the next call opens a new one.
    pub fn disconnect(&mut self) {
        self.idle = None;
    }

    async fn exchange(&mut self, address: SocketAddr, path: String) -> Result<ListAnswer, WatchError> {
        let mut connection = match self.idle.take().filter(hyper::client::conn::http1::SendRequest::is_ready)
        {
            Some(connection) => connection,
            None => connect(address).await?,
        };
        let request = Request::get(path).header("host", address.to_string()).body(Empty::new())?;
        let answer = connection.send_request(request).await?;
        if answer.status() != 200 {
            let hint = answer.headers().get(RETRY_AFTER).and_then(|v| v.to_str().ok()).and_then(retry_after);
            let rejected = matches!(answer.status().as_u16(), 429 | 503);
            let what = format!("status {}", answer.status());
            // Reads the rest of the body so that the retry can use the same connection.
            let rest = Limited::new(answer.into_body(), MAX_LIST_BYTES).collect().await;
            self.idle = rest.is_ok().then_some(connection);
            let failure = if rejected { CallFailure::Rejected(hint) } else { CallFailure::Other };
            return Err(WatchError { what, failure });
        }
        let path = answer
            .headers()
            .get(LIST_PATH_HEADER)
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_string();
        let body =
            Limited::new(answer.into_body(), MAX_LIST_BYTES).collect().await.map_err(WatchError::other)?;
        let list = List::parse(&body.to_bytes()).map_err(WatchError::other)?;
        self.idle = Some(connection);
        Ok(ListAnswer { list, path })
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Empty<Bytes>>, WatchError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (connection, io) = http1::handshake(TokioIo::new(stream)).await?;
    // This task ends when `connection` is dropped.
    tokio::task::spawn_local(io);
    Ok(connection)
}
