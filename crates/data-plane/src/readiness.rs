//! Answers the platform's readiness checks. The platform asks every second whether it may send new clients to
//! this process.

use crate::answers::{self, Answer};
use crate::calls::CallError;
use crate::drain::Draining;
use crate::listener::accept;
use crate::upstream::Forwarder;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;

/// Path of the readiness check.
const READY_PATH: &str = "/v1/readyz";
/// Maximum number of open connections of the platform.
const MAX_CONNECTIONS: usize = 32;
/// Time after which a connection without a complete request head is closed.
const HEADER_TIMEOUT: Duration = Duration::from_secs(15);

/// The server for readiness checks.
pub struct Readiness {
    forwarder: Rc<Forwarder>,
    draining: Rc<Draining>,
}

impl Readiness {
    /// Creates a server that reports ready while `forwarder` is ready and the process does not drain.
    pub fn new(forwarder: Rc<Forwarder>, draining: Rc<Draining>) -> Rc<Self> {
        Rc::new(Readiness { forwarder, draining })
    }

    /// Accepts connections for readiness checks; never returns.
    pub async fn accept_checks(self: Rc<Self>, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        while let Ok(permit) = permits.clone().acquire_owned().await {
            let stream = accept(&listener).await;
            spawn_local(serve_check(self.clone(), stream, permit));
        }
    }

    fn is_ready(&self) -> bool {
        !self.draining.is_draining() && self.forwarder.is_ready()
    }

    fn answer<B>(&self, request: &Request<B>) -> Answer {
        if request.uri().path() != READY_PATH {
            return answers::error(StatusCode::NOT_FOUND, "ask for /v1/readyz");
        }
        if request.method() != Method::GET {
            return answers::of_error(&CallError::Method);
        }
        let status = if self.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        answers::empty(status)
    }
}

async fn serve_check(readiness: Rc<Readiness>, stream: TcpStream, _permit: OwnedSemaphorePermit) {
    let service = service_fn(|request| {
        let answer = readiness.answer(&request);
        async move { Ok::<_, Infallible>(answer) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = serving.await {
        log::debug!("readiness check connection failed: {error}");
    }
}
