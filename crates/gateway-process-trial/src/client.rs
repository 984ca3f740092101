//! The client side of HTTP/1.1: connections that carry one request at a time and are kept for reuse.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// The idle connections to one gateway.
#[derive(Default)]
pub struct IdleConnections(RefCell<Vec<SendRequest<Full<Bytes>>>>);

/// A gateway's response.
pub struct Reply {
    pub status: u16,
    /// The time to wait before a retry, from the `retry-after` header; zero without the header.
    pub retry_after: Duration,
}

/// Why a request got no response.
#[derive(Debug, PartialEq)]
pub enum RequestFailure {
    /// No connection was established, so no request was sent.
    NotConnected,
    /// The connection closed before the response was complete.
    ConnectionLost,
}

impl IdleConnections {
    /// Sends a request. If a reused connection closes before it answers, the request is sent once more on a
    /// new connection, as the protocol prescribes.
    pub async fn send(
        &self,
        gateway: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, RequestFailure> {
        let idle = self.0.borrow_mut().pop().filter(SendRequest::is_ready);
        if let Some(connection) = idle {
            if let Ok(reply) = self.exchange(connection, request.clone()).await {
                return Ok(reply);
            }
        }
        let connection = connect(gateway).await.ok_or(RequestFailure::NotConnected)?;
        self.exchange(connection, request).await
    }

    /// Sends a request on a connection and reads the response; the connection is then kept for reuse.
    async fn exchange(
        &self,
        mut connection: SendRequest<Full<Bytes>>,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, RequestFailure> {
        let answer = connection.send_request(request).await.map_err(|_| RequestFailure::ConnectionLost)?;
        let status = answer.status().as_u16();
        let retry_after = answer.headers().get("retry-after").and_then(|value| value.to_str().ok());
        let retry_after = retry_after.and_then(|text| text.trim().parse().ok()).unwrap_or(0.0_f64);
        answer.into_body().collect().await.map_err(|_| RequestFailure::ConnectionLost)?;
        self.0.borrow_mut().push(connection);
        Ok(Reply { status, retry_after: Duration::from_secs_f64(retry_after.clamp(0.0, 3600.0)) })
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.0.borrow_mut().clear();
    }
}

async fn connect(gateway: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(gateway).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, io) = handshake(TokioIo::new(stream)).await.ok()?;
    // The task ends when the sender is dropped.
    spawn_local(io);
    Some(sender)
}
