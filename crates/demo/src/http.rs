//! HTTP/1.1 client that uses a new connection for each call.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST, IF_MATCH};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// An HTTP request.
#[derive(Debug, Clone)]
pub struct Call {
    /// `GET`, `POST` or `PUT`.
    pub method: Method,
    /// Path of the request.
    pub path: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Value of the `If-Match` header; `None` omits the header.
    pub if_match: Option<u64>,
    /// The complete body.
    pub body: Bytes,
}

/// Response to a [`Call`].
#[derive(Debug)]
pub struct CallResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// The complete body.
    pub body: Bytes,
}

/// Makes a call on a new connection. Returns `None` if no complete response arrives within [`CALL_TIMEOUT`].
pub async fn call(address: SocketAddr, call: Call) -> Option<CallResponse> {
    timeout(CALL_TIMEOUT, exchange(address, call)).await.ok().flatten()
}

/// Connects, sends the request and reads the complete response, without a time limit.
async fn exchange(address: SocketAddr, call: Call) -> Option<CallResponse> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let connection = spawn_local(connection);
    let mut request = Request::builder().method(call.method).uri(call.path);
    request = request.header(HOST, call.host).header(CONTENT_TYPE, "application/json");
    if let Some(version) = call.if_match {
        request = request.header(IF_MATCH, version);
    }
    let response = sender.send_request(request.body(Full::new(call.body)).ok()?).await.ok()?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await.ok()?;
    connection.abort();
    Some(CallResponse { status: head.status, body: body.to_bytes() })
}
