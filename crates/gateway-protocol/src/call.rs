//! A client for single HTTP/1.1 calls to an operators' address. Each call opens its own connection; one
//! timeout covers the whole exchange.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// The largest accepted response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

quick_error! {
    /// Why a call received no response.
    #[derive(Debug)]
    pub enum CallError {
        /// The response did not arrive within `limit`.
        Timeout(limit: Duration) {
            display("no answer within {} ms", limit.as_millis())
        }
        /// The connection failed, or the response is not valid HTTP.
        Exchange(error: Box<dyn Error + Send + Sync>) {
            display("{error}")
        }
    }
}

/// An HTTP request to send.
#[derive(Clone)]
pub struct Call {
    /// The method of the request.
    pub method: Method,
    /// The path of the request, with its query.
    pub path: String,
    /// The body of the request.
    pub body: Bytes,
}

impl Call {
    /// A `GET` without a body.
    pub fn get(path: &str) -> Self {
        Call { method: Method::GET, path: path.to_string(), body: Bytes::new() }
    }

    /// A `POST` without a body.
    pub fn post(path: &str) -> Self {
        Call { method: Method::POST, ..Call::get(path) }
    }
}

/// The complete response to a call.
pub struct Answer {
    /// The status of the response.
    pub status: u16,
    /// The body of the response.
    pub body: Bytes,
}

impl Answer {
    /// Whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// The body as text on one line, with control characters escaped.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).trim().escape_debug().to_string()
    }
}

/// Sends `call` to `address` and waits at most `limit` for the complete response, also if the server accepts
/// the connection and then sends nothing. Must run on a local runtime.
///
/// # Errors
///
/// The connection fails, the response is not valid HTTP, or `limit` expires. Any HTTP status counts as a
/// response.
pub async fn make(address: SocketAddr, call: Call, limit: Duration) -> Result<Answer, CallError> {
    match timeout(limit, exchange(address, call)).await {
        Ok(answer) => answer.map_err(CallError::Exchange),
        Err(_) => Err(CallError::Timeout(limit)),
    }
}

async fn exchange(address: SocketAddr, call: Call) -> Result<Answer, Box<dyn Error + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = spawn_local(connection);
    let request = Request::builder().method(call.method).uri(call.path).header("host", address.to_string());
    let answer = sender.send_request(request.body(Full::new(call.body))?).await?;
    let status = answer.status().as_u16();
    let body = Limited::new(answer.into_body(), MAX_RESPONSE_BYTES).collect().await?;
    connection.abort();
    Ok(Answer { status, body: body.to_bytes() })
}
