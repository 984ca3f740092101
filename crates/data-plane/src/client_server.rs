//! The HTTP/1.1 server for clients: accepts connections, reads and forwards each request, and writes the
//! answer.

use crate::answers::{self, Answer};
use crate::calls::{Call, CallError, RequestHead, MAX_BODY_BYTES};
use crate::clients::{ClientConnection, ClientRegistry};
use crate::drain::Draining;
use crate::listener::accept;
use crate::observed_stream::ObservedStream;
use crate::upstream::Forwarder;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::TokioIo;
use messages::peer::ClientReply;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Maximum size of a request head, and of the read buffer of one connection, in bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Interval of the check for connections that exceed their idle or header timeout.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Serves clients over HTTP/1.1.
pub struct ClientServer {
    forwarder: Rc<Forwarder>,
    clients: Rc<ClientRegistry>,
    draining: Rc<Draining>,
    body_timeout: Duration,
}

impl ClientServer {
    /// Creates a server that answers requests through `forwarder`. A body must be complete within
    /// `body_timeout` after its head.
    pub fn new(
        forwarder: Rc<Forwarder>,
        clients: Rc<ClientRegistry>,
        draining: Rc<Draining>,
        body_timeout: Duration,
    ) -> Rc<Self> {
        Rc::new(ClientServer { forwarder, clients, draining, body_timeout })
    }

    /// Accepts connections of clients; never returns.
    pub async fn accept_clients(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = accept(&listener).await;
            self.clients.capacity_available().await;
            let connection = self.clients.add();
            spawn_local(serve_client(self.clone(), stream, connection));
        }
    }

    /// Periodically closes connections that exceed their idle or header timeout; never returns.
    pub async fn sweep_clients(self: Rc<Self>) {
        loop {
            self.clients.any_open().await;
            sleep(SWEEP_INTERVAL).await;
            self.clients.sweep();
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Answer {
        let answer = match self.forward(request).await {
            Ok(reply) => answers::of_reply(&reply),
            Err(error) => answers::of_error(&error),
        };
        if self.draining.is_draining() {
            return answers::close(answer);
        }
        answer
    }

    async fn forward(&self, request: Request<Incoming>) -> Result<ClientReply, CallError> {
        let (parts, body) = request.into_parts();
        let head = RequestHead::read(&parts)?;
        let body = match head.call {
            Call::Submit(_) => self.read_body(body).await?,
            _ => Bytes::new(),
        };
        let request = head.into_request(&body)?;
        Ok(self.forwarder.forward(request).await)
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, CallError> {
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return Err(CallError::BodyTooLong);
        }
        let body = Limited::new(body, MAX_BODY_BYTES).collect();
        let read = timeout(self.body_timeout, body).await.map_err(|_| CallError::BodyLate)?;
        match read {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(CallError::BodyTooLong),
            Err(error) => Err(CallError::BodyBroken(error.to_string())),
        }
    }
}

/// Serves one connection of a client until the connection ends.
async fn serve_client(client_server: Rc<ClientServer>, stream: TcpStream, connection: Rc<ClientConnection>) {
    // A failure is ignored: without TCP_NODELAY answers are only delayed.
    let _ = stream.set_nodelay(true);
    let stream = TokioIo::new(ObservedStream::new(stream, connection.clone()));
    let service = service_fn(|request| {
        connection.request_started();
        let (client_server, connection) = (client_server.clone(), connection.clone());
        async move {
            let answer = client_server.handle(request).await;
            connection.answer_ready();
            Ok::<_, Infallible>(answer)
        }
    });
    let mut serving =
        pin!(http1::Builder::new().max_buf_size(MAX_BUFFER_BYTES).serve_connection(stream, service));
    loop {
        tokio::select! {
            biased;
            ended = serving.as_mut() => {
                if let Err(error) = ended {
                    log::debug!("client connection failed: {error}");
                }
                return;
            }
            () = connection.close_requested() => {
                if connection.may_close() {
                    return;
                }
            }
        }
    }
}
