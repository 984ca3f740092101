//! Request bodies from clients: buffered within a memory budget, or relayed to the backend as they arrive.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant, Sleep};

/// Bodies of requests and answers up to this size are buffered, if there is memory.
pub const SMALL_BODY_BYTES: usize = 64 << 10;
/// The maximum size of a request's body.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// The most that is buffered of one request.
const MAX_BUFFERED_BYTES: usize = 4 << 20;
/// The minimum average pace of a client. A client sends at least 64 kB/s; half of that allows for pauses.
const MIN_BYTES_PER_SECOND: f64 = 32_000.0;
/// The time that a client may take in addition to what its pace allows.
pub const BODY_TIMEOUT: Duration = Duration::from_millis(2600);
/// How long the rest of an unwanted body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(10);

/// The memory for the buffered bodies of all requests together.
#[derive(Clone)]
pub struct Budget {
    available: Arc<AtomicUsize>,
}

impl Budget {
    pub fn new(bytes: usize) -> Self {
        Budget { available: Arc::new(AtomicUsize::new(bytes)) }
    }

    /// Takes memory from the budget; None if there is not enough.
    pub fn grant(&self, bytes: usize) -> Option<Grant> {
        let mut grant = Grant { available: self.available.clone(), bytes: 0 };
        grant.grow(bytes).then_some(grant)
    }

    /// Returns how much one request may buffer: a quarter of the available memory, so that later requests get
    /// some too.
    fn share(&self) -> usize {
        (self.available.load(Ordering::Relaxed) / 4).clamp(SMALL_BODY_BYTES, MAX_BUFFERED_BYTES)
    }
}

/// A part of the budget. Dropping it returns the memory.
pub struct Grant {
    available: Arc<AtomicUsize>,
    bytes: usize,
}

impl Grant {
    /// Enlarges the grant; returns false if there is not enough memory.
    fn grow(&mut self, bytes: usize) -> bool {
        let less = |left: usize| left.checked_sub(bytes);
        let granted = self.available.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less).is_ok();
        if granted {
            self.bytes += bytes;
        }
        granted
    }

    /// Returns the bytes, which count against the budget until the last reference to them is dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(BudgetedBytes { bytes, _grant: self })
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.available.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

/// Bytes together with the grant that they count against.
struct BudgetedBytes {
    bytes: Bytes,
    _grant: Grant,
}

impl AsRef<[u8]> for BudgetedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Why a client's body cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    TooLarge,
    TooSlow,
    Broken,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Fault::TooLarge => "the client's body is too large",
            Fault::TooSlow => "the client's body arrives too slowly",
            Fault::Broken => "the client's body ended early",
        })
    }
}

impl std::error::Error for Fault {}

/// A client's body with a timeout. Only time spent waiting for the client counts, not time in which the
/// gateway does not read.
struct PacedBody<B> {
    body: B,
    received: u64,
    /// Time spent waiting for the client so far; None once the body is relayed, when only each single wait is
    /// limited.
    waited: Option<Duration>,
    waiting_since: Option<Instant>,
    limit: Pin<Box<Sleep>>,
}

impl<B: Body<Data = Bytes> + Unpin> PacedBody<B> {
    fn new(body: B, waited: Duration) -> Self {
        let limit = Box::pin(sleep(Duration::ZERO));
        PacedBody { body, received: 0, waited: Some(waited), waiting_since: None, limit }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let next = Pin::new(&mut self.body).poll_frame(cx);
        let Poll::Ready(frame) = next else {
            let since = match self.waiting_since {
                Some(since) => since,
                None => {
                    let now = Instant::now();
                    let left = match self.waited {
                        Some(waited) => {
                            let allowed =
                                Duration::from_secs_f64(self.received as f64 / MIN_BYTES_PER_SECOND);
                            (BODY_TIMEOUT + allowed).saturating_sub(waited)
                        }
                        None => BODY_TIMEOUT,
                    };
                    self.limit.as_mut().reset(now + left);
                    now
                }
            };
            self.waiting_since = Some(since);
            ready!(self.limit.as_mut().poll(cx));
            return Poll::Ready(Some(Err(Fault::TooSlow)));
        };
        if let (Some(since), Some(waited)) = (self.waiting_since.take(), self.waited.as_mut()) {
            *waited += since.elapsed();
        }
        Poll::Ready(match frame {
            None => None,
            Some(Err(_)) => Some(Err(Fault::Broken)),
            Some(Ok(frame)) => {
                self.received += frame.data_ref().map_or(0, |d| d.len() as u64);
                Some(if self.received > MAX_BODY_BYTES { Err(Fault::TooLarge) } else { Ok(frame) })
            }
        })
    }

    async fn next(&mut self) -> Option<Result<Frame<Bytes>, Fault>> {
        std::future::poll_fn(|cx| self.poll(cx)).await
    }
}

/// The body of a request to a backend.
#[derive(Clone)]
pub enum RequestBody {
    Buffered(Bytes),
    Relay(Rc<Upload>),
}

/// Reads a body: completely if there is memory for it; otherwise its beginning, and the rest is relayed.
/// `waited` is how long the gateway has already waited for the client.
pub async fn take(body: Incoming, budget: &Budget, waited: Duration) -> Result<RequestBody, Fault> {
    let length = body.size_hint().exact();
    if length.is_some_and(|l| l > MAX_BODY_BYTES) {
        return Err(Fault::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(RequestBody::Buffered(Bytes::new()));
    }
    let most = budget.share();
    let first = match length {
        Some(l) if l as usize <= most => l as usize,
        _ => SMALL_BODY_BYTES,
    };
    let mut grant = budget.grant(first);
    let mut body = PacedBody::new(body, waited);
    let mut buffered = BytesMut::new();
    while let Some(g) = grant.as_mut() {
        let Some(frame) = body.next().await.transpose()? else {
            let buffered = buffered.freeze();
            return Ok(RequestBody::Buffered(grant.map_or(Bytes::new(), |grant| grant.attach(buffered))));
        };
        if let Ok(data) = frame.into_data() {
            if buffered.capacity() == 0 {
                buffered.reserve(first);
            }
            buffered.extend_from_slice(&data);
        }
        // A body of declared length that fits ends within its grant.
        let fits = length.is_some_and(|l| l as usize <= g.bytes);
        if !fits
            && buffered.len() >= g.bytes
            && (length.is_some() || buffered.len() >= most || !g.grow(SMALL_BODY_BYTES))
        {
            break;
        }
    }
    body.waited = None;
    Ok(RequestBody::Relay(Rc::new(Upload {
        buffered: RefCell::new(grant.map_or(Bytes::new(), |grant| grant.attach(buffered.freeze()))),
        rest: RefCell::new(body),
        length,
        consumed: Cell::new(false),
        ended: Cell::new(None),
        complete: Notify::new(),
        fault: Cell::new(None),
    })))
}

/// Reads and discards the rest of an unwanted body, so that the client gets to read its answer.
pub async fn discard(mut body: Incoming) {
    let limit = Instant::now() + DISCARD_TIMEOUT;
    let mut length = 0;
    while let Ok(Some(Ok(frame))) = tokio::time::timeout_at(limit, body.frame()).await {
        length += frame.data_ref().map_or(0, |d| d.len() as u64);
        if length > MAX_BODY_BYTES {
            break;
        }
    }
}

/// A body that is relayed as it arrives; it can be sent only once.
pub struct Upload {
    /// The buffered beginning, until the rest is read.
    buffered: RefCell<Bytes>,
    rest: RefCell<PacedBody<Incoming>>,
    length: Option<u64>,
    consumed: Cell<bool>,
    ended: Cell<Option<Instant>>,
    complete: Notify,
    fault: Cell<Option<Fault>>,
}

impl Upload {
    /// Returns whether a part of the body has been discarded, so that it cannot be sent again.
    pub fn is_consumed(&self) -> bool {
        self.consumed.get()
    }

    /// Returns when the last byte was passed on.
    pub fn ended(&self) -> Option<Instant> {
        self.ended.get()
    }

    pub fn fault(&self) -> Option<Fault> {
        self.fault.get()
    }

    /// Waits until the last byte has been passed on.
    pub async fn completed(&self) {
        if self.ended.get().is_none() {
            self.complete.notified().await;
        }
    }

    /// Returns whether the body currently waits for the client.
    pub fn waits_for_client(&self) -> bool {
        self.rest.borrow().waiting_since.is_some()
    }

    /// Reads and discards the rest of the body for a limited time.
    pub async fn discard(self: Rc<Self>) {
        let limit = Instant::now() + DISCARD_TIMEOUT;
        let next = || std::future::poll_fn(|cx| self.rest.borrow_mut().poll(cx));
        while let Ok(Some(Ok(_))) = tokio::time::timeout_at(limit, next()).await {}
    }

    fn end(&self) {
        if self.ended.replace(Some(Instant::now())).is_none() {
            self.complete.notify_one();
        }
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        if self.ended.get().is_some() {
            return Poll::Ready(None);
        }
        let next = ready!(self.rest.borrow_mut().poll(cx));
        if !self.consumed.replace(true) {
            *self.buffered.borrow_mut() = Bytes::new();
        }
        match &next {
            None => self.end(),
            Some(Err(fault)) => self.fault.set(Some(*fault)),
            Some(Ok(_)) if self.rest.borrow().body.is_end_stream() => self.end(),
            Some(Ok(_)) => {}
        }
        Poll::Ready(next)
    }
}

/// The body of one attempt. `on_last_byte` is called when the last of it is handed over.
pub struct Payload {
    content: RequestBody,
    begun: bool,
    on_last_byte: Box<dyn Fn()>,
}

impl Payload {
    pub fn new(content: RequestBody, on_last_byte: impl Fn() + 'static) -> Self {
        Payload { content, begun: false, on_last_byte: Box::new(on_last_byte) }
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let first = !std::mem::replace(&mut self.begun, true);
        match &self.content {
            RequestBody::Buffered(bytes) if first && !bytes.is_empty() => {
                Poll::Ready(Some(Ok(Frame::data(bytes.clone()))))
            }
            RequestBody::Buffered(..) => Poll::Ready(None),
            RequestBody::Relay(upload) => {
                let buffered = upload.buffered.borrow().clone();
                if first && !buffered.is_empty() {
                    return Poll::Ready(Some(Ok(Frame::data(buffered))));
                }
                let next = ready!(upload.poll(cx));
                if upload.ended().is_some() {
                    (self.on_last_byte)();
                }
                Poll::Ready(next)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            RequestBody::Buffered(bytes) => self.begun || bytes.is_empty(),
            RequestBody::Relay(upload) => self.begun && upload.ended().is_some(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            RequestBody::Buffered(bytes) if !self.begun => SizeHint::with_exact(bytes.len() as u64),
            RequestBody::Relay(upload) if !self.begun => {
                upload.length.map_or(SizeHint::default(), SizeHint::with_exact)
            }
            _ => SizeHint::default(),
        }
    }
}

impl RequestBody {
    /// Returns the length, if it is known beforehand.
    pub fn length(&self) -> Option<u64> {
        match self {
            RequestBody::Buffered(bytes) => Some(bytes.len() as u64),
            RequestBody::Relay(upload) => upload.length,
        }
    }

    pub fn relay(&self) -> Option<&Rc<Upload>> {
        match self {
            RequestBody::Buffered(..) => None,
            RequestBody::Relay(upload) => Some(upload),
        }
    }
}

#[cfg(test)]
mod tests;
