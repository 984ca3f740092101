//! Requests of clients: `/ready` and `/api`.

use crate::backends::outcome::{Served, ServedBody};
use crate::bodies::{self, Upload};
use crate::client::Client;
use crate::driver::request::{Answer, ClientRequest, RequestName};
use crate::driver::requests::PendingAnswer;
use crate::figures::OutstandingRequest;
use crate::server::parse::parse;
use crate::server::reply::{plain, status, Reply, ReplyBody, ReplyContent};
use crate::server::{Server, LOG_TARGET};
use gateway_protocol::status::RequestOutcome;
use hyper::body::{Body, Incoming as IncomingBody};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE, EXPECT};
use hyper::{Method, Request, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

impl Server {
    pub(super) async fn reply(&self, request: Request<IncomingBody>, client: &Client) -> Reply {
        let mut reply = match request.uri().path() {
            "/api" => self.api(request, client).await.unwrap_or_else(|status| plain(status, "")),
            "/ready" if request.method() != Method::GET => plain(StatusCode::METHOD_NOT_ALLOWED, ""),
            "/ready" if self.draining.get() && !self.successor.get() || self.drains_clients() => {
                plain(StatusCode::SERVICE_UNAVAILABLE, "draining\n")
            }
            "/ready" if !self.driver.can_serve() => {
                plain(StatusCode::SERVICE_UNAVAILABLE, "no backend is ready\n")
            }
            "/ready" => plain(StatusCode::OK, "ready\n"),
            _ => plain(StatusCode::NOT_FOUND, ""),
        };
        client.answered_before.set(true);
        let last = self.draining.get()
            || self.successor.get()
            || self.drains_clients()
            || client.close_after_answer.get();
        if last || matches!(reply.status(), StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT) {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        client.last_answered.set(reply.headers().contains_key(CONNECTION));
        reply
    }

    async fn api(&self, request: Request<IncomingBody>, client: &Client) -> Result<Reply, StatusCode> {
        let begun = Instant::now();
        let incoming = self.read_request(request, client, begun).await?;
        let id = incoming.id;
        let upload = incoming.outgoing.body.relay().cloned();
        let (answer, mut outstanding) = self.answer(incoming, upload.as_ref(), client).await?;
        let mut reply = to_reply(answer, &mut outstanding);
        tracing::debug!(
            target: LOG_TARGET,
            request = %RequestName(id),
            status = reply.status().as_u16(),
            took_ms = begun.elapsed().as_millis() as u64,
            "answered"
        );
        if upload.is_some_and(|u| u.ended().is_none()) {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply.body_mut().outstanding = Some(outstanding);
        Ok(reply)
    }

    /// Reads a request's headers, and its body or the beginning of it.
    async fn read_request(
        &self,
        request: Request<IncomingBody>,
        client: &Client,
        begun: Instant,
    ) -> Result<ClientRequest, StatusCode> {
        let (head, body) = request.into_parts();
        let expects = head.headers.contains_key(EXPECT);
        let Some(mut incoming) = parse(&self.driver, head, body.is_end_stream()) else {
            tracing::debug!(target: LOG_TARGET, "a request with a missing or invalid header is turned away");
            // For a client that waits for `100 Continue`, the answer itself says not to send the body.
            if !expects && !body.is_end_stream() {
                spawn_local(bodies::discard(body));
            }
            return Err(StatusCode::BAD_REQUEST);
        };
        let waited = if client.answered_before.get() { Duration::ZERO } else { begun - client.connected };
        incoming.outgoing.body = bodies::take(body, self.backends.memory(), waited).await.map_err(status)?;
        incoming.arrived = Instant::now();
        tracing::debug!(
            target: LOG_TARGET,
            request = %RequestName(incoming.id),
            class = self.driver.classes[incoming.class].0,
            plan = self.driver.plans[incoming.plan],
            customer = &*incoming.customer,
            units = incoming.units,
            wait_ms = incoming.timeout.as_millis() as u64,
            "taken"
        );
        Ok(incoming)
    }

    /// Waits for the final answer to a request, which counts as outstanding once its body is complete.
    async fn answer(
        &self,
        incoming: ClientRequest,
        upload: Option<&Rc<Upload>>,
        client: &Client,
    ) -> Result<(Answer, OutstandingRequest), StatusCode> {
        let (id, class, wait) = (incoming.id, incoming.class, incoming.timeout);
        let outstanding = || self.driver.figures.start_request(class);
        let mut pending = self.driver.submit(incoming).ok_or(StatusCode::BAD_REQUEST)?;
        let Some(upload) = upload else {
            let outstanding = outstanding();
            return Ok((wait_for_answer(&mut pending, client).await?, outstanding));
        };
        let early = tokio::select! {
            biased;
            answer = &mut pending => Some(answer),
            () = upload.completed() => None,
            () = client.disconnected() => return Err(StatusCode::BAD_REQUEST),
        };
        let Some(answer) = early else {
            let outstanding = outstanding();
            self.driver.body_complete(id, wait);
            return Ok((wait_for_answer(&mut pending, client).await?, outstanding));
        };
        if let Some(fault) = upload.fault() {
            return Err(status(fault));
        }
        // Read the rest of the body, so that the client gets to read its answer.
        spawn_local(upload.clone().discard());
        Ok((answer, outstanding()))
    }
}

/// Converts an answer to the HTTP response for the client. Sets the outcome of `outstanding` if it is known
/// by now.
fn to_reply(answer: Answer, outstanding: &mut OutstandingRequest) -> Reply {
    match answer {
        Answer::Served(served) => served_reply(served, outstanding),
        Answer::Refused { tried, retry_after } => {
            outstanding.set_outcome(RequestOutcome::Declined);
            let status = if tried { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::TOO_MANY_REQUESTS };
            let mut reply = plain(status, "");
            // None means that no delay is known, not that the client may retry immediately.
            let after = retry_after.map(|a| HeaderValue::try_from(format!("{:.3}", a.as_secs_f64())));
            if let Some(Ok(after)) = after {
                reply.headers_mut().insert("retry-after", after);
            }
            reply
        }
        Answer::Failed { timed_out: true } => plain(StatusCode::GATEWAY_TIMEOUT, ""),
        Answer::Failed { timed_out: false } => plain(StatusCode::BAD_GATEWAY, ""),
    }
}

fn served_reply(served: Served, outstanding: &mut OutstandingRequest) -> Reply {
    let content = match served.body {
        ServedBody::Buffered(body) => {
            outstanding.set_outcome(RequestOutcome::Succeeded);
            ReplyContent::Buffered(body)
        }
        ServedBody::Stream(download) => ReplyContent::Stream(download),
    };
    let mut reply = Response::new(ReplyBody { content, ..ReplyBody::default() });
    if let Some(kind) = served.content_type {
        reply.headers_mut().insert(CONTENT_TYPE, kind);
    }
    if let Some(encoding) = served.content_encoding {
        reply.headers_mut().insert("content-encoding", encoding);
    }
    reply
}

async fn wait_for_answer(pending: &mut PendingAnswer, client: &Client) -> Result<Answer, StatusCode> {
    tokio::select! {
        biased;
        answer = pending => Ok(answer),
        () = client.disconnected() => Err(StatusCode::BAD_REQUEST),
    }
}
