//! Answers to clients and their bodies.

use crate::backends::download::Download;
use crate::bodies::Fault;
use crate::client::Client;
use crate::figures::OutstandingRequest;
use bytes::Bytes;
use gateway_protocol::status::RequestOutcome;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, StatusCode};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// An answer to a client.
pub type Reply = Response<ReplyBody>;

/// The body of an answer to a client. It also holds what ends with the request and is dropped with it.
#[derive(Default)]
pub struct ReplyBody {
    pub content: ReplyContent,
    pub outstanding: Option<OutstandingRequest>,
    pub in_progress: Option<RequestInProgress>,
}

/// The bytes of a body: buffered, or streamed from the backend.
pub enum ReplyContent {
    Buffered(Bytes),
    Stream(Box<Download>),
}

impl Default for ReplyContent {
    fn default() -> Self {
        ReplyContent::Buffered(Bytes::new())
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let me = &mut *self;
        match &mut me.content {
            ReplyContent::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            ReplyContent::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            ReplyContent::Stream(download) => {
                let next = Pin::new(&mut **download).poll_frame(cx);
                if let Some(outstanding) = me.outstanding.as_mut().filter(|_| download.done()) {
                    outstanding.set_outcome(RequestOutcome::Succeeded);
                }
                next
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            ReplyContent::Buffered(bytes) => bytes.is_empty(),
            ReplyContent::Stream(download) => download.done(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            ReplyContent::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            ReplyContent::Stream(download) => download.size_hint(),
        }
    }
}

/// Marks a client as idle when dropped, also if its request is cancelled.
pub struct RequestInProgress(pub Rc<Client>);

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.0.request_begun.set(false);
        self.0.idle_since.set(Some(Instant::now()));
    }
}

/// Builds an answer with a fixed text.
pub fn plain(status: StatusCode, text: &'static str) -> Reply {
    let content = ReplyContent::Buffered(Bytes::from_static(text.as_bytes()));
    let mut reply = Response::new(ReplyBody { content, ..ReplyBody::default() });
    *reply.status_mut() = status;
    reply
}

/// Returns the status for a client whose body cannot be read.
pub fn status(fault: Fault) -> StatusCode {
    match fault {
        Fault::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Fault::TooSlow => StatusCode::REQUEST_TIMEOUT,
        Fault::Broken => StatusCode::BAD_REQUEST,
    }
}
