//! Persistent HTTP/1.1 connections to workers and to the platform.

use crate::limited_stream::{LimitedStream, WriteDeadline};
use crate::transport::socket;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use std::net::SocketAddr;
use std::time::Instant;
use tokio::task::spawn_local;

/// Maximum size of the body of an answer.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

quick_error! {
    /// Why a call got no answer.
    #[derive(Debug)]
    pub enum CallError {
        /// The address is not `ip:port`.
        Address(text: String) {
            display("{text:?} is not an address: the platform's list must contain ip:port")
        }
        /// The request cannot be written as HTTP.
        Request(error: hyper::http::Error) {
            from()
            display("the request cannot be written ({error}): a header contains bytes that HTTP does not allow")
        }
        /// No connection was established: no byte of the request was sent.
        Connect(error: std::io::Error) {
            display("cannot connect ({error}): check that the other side runs and is reachable")
        }
        /// The connection was closed before the request was started: no byte of the request was sent.
        NotSent {
            display("the persistent connection was already closed: the call may be repeated on a new connection")
        }
        /// The call expired before it could be sent: no byte of it was sent.
        Expired {
            display("the call expired before it could be sent: check whether this machine is overloaded")
        }
        /// The connection ended before the complete answer arrived. The request may have been executed.
        ConnectionLost(reason: String) {
            display("no complete answer ({reason}): the call may have been executed")
        }
    }
}

/// The answer to a call.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The complete body.
    pub body: Bytes,
}

/// One persistent connection. Dropping it while a call is in flight closes the connection, so that a late
/// answer cannot be taken for the answer to a later call.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    write_deadline: WriteDeadline,
}

impl HttpConnection {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Fails if no connection is established or if it ends at once.
    pub async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let stream = socket::connect(address).await.map_err(CallError::Connect)?;
        let write_deadline = WriteDeadline::default();
        let stream = LimitedStream::new(stream, write_deadline.clone());
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| CallError::ConnectionLost(error.to_string()))?;
        spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address}: {error}");
            }
        });
        Ok(HttpConnection { sender, write_deadline })
    }

    /// Whether another request may be sent.
    pub fn is_usable(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Waits until a request may be sent.
    ///
    /// # Errors
    ///
    /// `NotSent` if the connection has ended.
    pub async fn ready(&mut self) -> Result<(), CallError> {
        self.sender.ready().await.map_err(|_| CallError::NotSent)
    }

    /// Sends `request` and reads the complete answer.
    ///
    /// # Errors
    ///
    /// `NotSent` if no byte of the request was sent, `ConnectionLost` if it may have been executed.
    pub async fn call(&mut self, request: Request<Full<Bytes>>) -> Result<Answer, CallError> {
        self.call_with_deadline(request, None).await
    }

    /// Like `call`, but sends no byte of the request at or after `expires_at`, however late the task runs
    /// that writes to the connection.
    ///
    /// # Errors
    ///
    /// As for `call`; `Expired` if the request expired before any byte was sent. The connection then closes.
    pub async fn call_with_deadline(
        &mut self,
        request: Request<Full<Bytes>>,
        expires_at: Option<Instant>,
    ) -> Result<Answer, CallError> {
        self.ready().await?;
        self.write_deadline.begin_request(expires_at);
        match self.exchange(request).await {
            Err(_) if self.write_deadline.has_expired_unsent() => Err(CallError::Expired),
            result => result,
        }
    }

    async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<Answer, CallError> {
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let reason = error.into_error().to_string();
                return Err(if is_unsent { CallError::NotSent } else { CallError::ConnectionLost(reason) });
            }
        };
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES);
        let body = body.collect().await.map_err(|error| CallError::ConnectionLost(error.to_string()))?;
        Ok(Answer { status: head.status, body: body.to_bytes() })
    }
}

/// Parses `ip:port`.
///
/// # Errors
///
/// Fails if the text has another form.
pub fn parse_address(text: &str) -> Result<SocketAddr, CallError> {
    text.parse().map_err(|_| CallError::Address(text.to_owned()))
}
