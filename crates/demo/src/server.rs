//! HTTP/1.1 server for the simulated platform and workers.

use crate::error::DemoError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// A request with its complete body.
pub struct ReceivedRequest {
    /// Path without the query string.
    pub path: String,
    /// Value of the `X-Expect-Instance` header.
    pub expected_instance: Option<String>,
    /// The complete body. Empty if it is too large or cannot be read.
    pub body: Bytes,
}

/// A response with a JSON body.
pub struct Reply {
    /// HTTP status code.
    pub status: StatusCode,
    /// JSON text.
    pub body: String,
}

/// Starts a server on a free loopback port and returns its address. The server runs as long as the local task
/// set.
pub async fn serve<H, F>(handler: H) -> Result<SocketAddr, DemoError>
where
    H: Fn(ReceivedRequest) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(DemoError::Listen)?;
    let address = listener.local_addr().map_err(DemoError::Listen)?;
    let handler = Rc::new(handler);
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handler = handler.clone();
            let service = service_fn(move |request| respond(handler.clone(), request));
            spawn_local(async move {
                // An error means that the client closed the connection, which needs no handling.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(address)
}

async fn respond<H, F>(
    handler: Rc<H>,
    request: Request<hyper::body::Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    H: Fn(ReceivedRequest) -> F,
    F: Future<Output = Reply>,
{
    let expected = request.headers().get("x-expect-instance").and_then(|value| value.to_str().ok());
    let expected_instance = expected.map(str::to_owned);
    let path = request.uri().path().to_owned();
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
    let body = body.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    let reply = handler(ReceivedRequest { path, expected_instance, body }).await;
    let mut response = Response::new(Full::new(Bytes::from(reply.body)));
    *response.status_mut() = reply.status;
    response.headers_mut().insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    Ok(response)
}
