//! A client's side: one request at a time on a connection, which is kept.

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

/// Connections to one gateway that idle.
#[derive(Default)]
pub struct IdleConnections(RefCell<Vec<SendRequest<Full<Bytes>>>>);

/// What a gateway said.
pub struct Reply {
    pub status: u16,
    /// After how long it advises to return.
    pub advice: Duration,
}

/// Why there is none.
#[derive(Debug, PartialEq)]
pub enum Lost {
    /// There was no connection, so that nothing was said.
    Unreached,
    /// The connection ended under the request.
    Broken,
}

impl IdleConnections {
    /// Makes a request. One that crosses the close of a kept connection is made once more on a new one, as the protocol has it.
    pub async fn send(&self, gateway: SocketAddr, request: Request<Full<Bytes>>) -> Result<Reply, Lost> {
        let kept = self.0.borrow_mut().pop().filter(SendRequest::is_ready);
        if let Some(connection) = kept {
            if let Ok(reply) = self.exchange(connection, request.clone()).await {
                return Ok(reply);
            }
        }
        let connection = connect(gateway).await.ok_or(Lost::Unreached)?;
        self.exchange(connection, request).await
    }

    async fn exchange(
        &self,
        mut connection: SendRequest<Full<Bytes>>,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, Lost> {
        let answer = connection.send_request(request).await.map_err(|_| Lost::Broken)?;
        let status = answer.status().as_u16();
        let advice = answer.headers().get("retry-after").and_then(|value| value.to_str().ok());
        let advice = advice.and_then(|text| text.trim().parse().ok()).unwrap_or(0.0_f64);
        answer.into_body().collect().await.map_err(|_| Lost::Broken)?;
        self.0.borrow_mut().push(connection);
        Ok(Reply { status, advice: Duration::from_secs_f64(advice.clamp(0.0, 3600.0)) })
    }

    pub fn clear(&self) {
        self.0.borrow_mut().clear();
    }
}

async fn connect(gateway: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(gateway).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, io) = handshake(TokioIo::new(stream)).await.ok()?;
    // Ends when the sending half is dropped.
    spawn_local(io);
    Some(sender)
}
