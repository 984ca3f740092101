//! Runs an [`Upstream`]: owns its sockets, its timer, and the channels to the clients that wait for replies.

use super::connection::{open, serve, Outgoing};
use super::interface::{UpstreamOptions, UpstreamOutput};
use super::requests::ForwardRequest;
use super::state::Upstream;
use log::{debug, info};
use messages::peer::{ClientReply, PeerFrame};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep_until, Instant};

/// Longest sleep of the timer. Keeps the end of the sleep within the range of the clock.
const MAX_SLEEP: Duration = Duration::from_secs(3_600);

/// Forwards clients' requests to the leader. Must be used on one thread, within a `LocalSet`.
pub struct Forwarder {
    state: RefCell<State>,
    started: Instant,
    /// When the timer fires next, in nanoseconds since `started`.
    timer_due_ns: Cell<u64>,
    /// Notified when the timer has to fire earlier than `timer_due_ns`.
    timer_due_earlier: Notify,
    seed_refresh_needed: Notify,
}

struct State {
    upstream: Upstream,
    replies: HashMap<u64, oneshot::Sender<ClientReply>>,
    connections: HashMap<u64, Connection>,
    next_token: u64,
}

struct Connection {
    outgoing: Rc<Outgoing>,
    task: AbortHandle,
}

impl Forwarder {
    /// Creates a forwarder that connects to the members of the core at `seeds` (peer addresses).
    pub fn start(options: UpstreamOptions, seeds: Vec<SocketAddr>) -> Rc<Self> {
        let upstream = Upstream::new(options, seeds, 0, fastrand::u64(..));
        let state = State { upstream, replies: HashMap::new(), connections: HashMap::new(), next_token: 1 };
        let forwarder = Rc::new(Forwarder {
            state: RefCell::new(state),
            started: Instant::now(),
            timer_due_ns: Cell::new(0),
            timer_due_earlier: Notify::new(),
            seed_refresh_needed: Notify::new(),
        });
        spawn_local(run_timer(forwarder.clone()));
        forwarder
    }

    /// Forwards a request. Dropping the returned future abandons the request.
    pub fn forward(self: &Rc<Self>, request: ForwardRequest) -> PendingReply {
        let (sender, receiver) = oneshot::channel();
        let token = {
            let mut state = self.state.borrow_mut();
            let token = state.next_token;
            state.next_token += 1;
            state.replies.insert(token, sender);
            token
        };
        self.apply(|upstream, now, out| upstream.request(now, token, request, out));
        PendingReply { forwarder: self.clone(), token, receiver }
    }

    /// Whether a leader is reachable, or was until a moment ago.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().upstream.is_ready(self.now())
    }

    /// Number of requests without a final answer.
    pub fn pending_requests(&self) -> usize {
        self.state.borrow().upstream.pending_requests()
    }

    /// Replaces the seeds (peer addresses), for example after a change of the settings.
    pub fn set_seeds(self: &Rc<Self>, seeds: Vec<SocketAddr>) {
        self.apply(|upstream, now, out| upstream.set_seeds(now, seeds, out));
    }

    /// Waits until no member is reachable and the caller has to read the list of seeds again.
    pub async fn seed_refresh_needed(&self) {
        self.seed_refresh_needed.notified().await;
    }

    /// Gives every pending request its final answer now.
    pub fn finish_all(self: &Rc<Self>) {
        self.apply(|upstream, _, out| upstream.finish_all(out));
    }

    /// Nanoseconds since the forwarder started: the clock of the state machine.
    fn now(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_nanos()).unwrap_or(u64::MAX)
    }

    /// Applies an event to the state machine and executes its outputs.
    fn apply(self: &Rc<Self>, event: impl FnOnce(&mut Upstream, u64, &mut Vec<UpstreamOutput>)) {
        let now = self.now();
        let mut outputs = Vec::new();
        let next_timer = {
            let upstream = &mut self.state.borrow_mut().upstream;
            event(upstream, now, &mut outputs);
            upstream.next_timer(now)
        };
        for output in outputs {
            self.execute(output);
        }
        if next_timer < self.timer_due_ns.get() {
            self.timer_due_earlier.notify_one();
        }
    }

    fn execute(self: &Rc<Self>, output: UpstreamOutput) {
        match output {
            UpstreamOutput::Connect { connection, address } => self.connect(connection, address),
            UpstreamOutput::Close { connection } => self.close(connection),
            UpstreamOutput::Send { connection, bytes } => {
                if let Some(connection) = self.state.borrow().connections.get(&connection) {
                    connection.outgoing.push(bytes);
                }
            }
            UpstreamOutput::Answer { token, reply } => {
                let sender = self.state.borrow_mut().replies.remove(&token);
                if let Some(sender) = sender {
                    // Fails if the client has disconnected in the meantime.
                    let _ = sender.send(reply);
                }
            }
            UpstreamOutput::ReadSeeds => self.seed_refresh_needed.notify_one(),
        }
    }

    fn connect(self: &Rc<Self>, connection: u64, address: SocketAddr) {
        let outgoing = Rc::new(Outgoing::default());
        let task = spawn_local(run_connection(self.clone(), connection, address, outgoing.clone()));
        let entry = Connection { outgoing, task: task.abort_handle() };
        self.state.borrow_mut().connections.insert(connection, entry);
    }

    fn close(&self, connection: u64) {
        let closed = self.state.borrow_mut().connections.remove(&connection);
        if let Some(closed) = closed {
            closed.task.abort();
        }
    }

    fn received(self: &Rc<Self>, connection: u64, frame: PeerFrame) {
        self.apply(|upstream, now, out| upstream.received(now, connection, frame, out));
    }
}

/// Opens a connection and serves it until the connection ends.
async fn run_connection(
    forwarder: Rc<Forwarder>,
    connection: u64,
    address: SocketAddr,
    outgoing: Rc<Outgoing>,
) {
    match open(address).await {
        Ok(stream) => {
            debug!("connected to the core at {address}");
            forwarder.apply(|upstream, now, out| upstream.connected(now, connection, out));
            let error = serve(stream, &outgoing, |frame| forwarder.received(connection, frame)).await;
            info!("connection to the core at {address} ended: {error}");
        }
        Err(error) => debug!("cannot connect to the core at {address} ({error}), retrying after a backoff"),
    }
    forwarder.state.borrow_mut().connections.remove(&connection);
    forwarder.apply(|upstream, now, out| upstream.disconnected(now, connection, out));
}

/// Polls the state machine whenever its timer is due; never returns.
async fn run_timer(forwarder: Rc<Forwarder>) {
    loop {
        forwarder.timer_due_ns.set(0);
        forwarder.apply(Upstream::poll);
        let now = forwarder.now();
        let due = forwarder.state.borrow().upstream.next_timer(now);
        forwarder.timer_due_ns.set(due);
        let sleep = Duration::from_nanos(due.saturating_sub(now)).min(MAX_SLEEP);
        tokio::select! {
            () = sleep_until(Instant::now() + sleep) => {}
            () = forwarder.timer_due_earlier.notified() => {}
        }
    }
}

/// Future of the reply to a forwarded request. Dropping the future abandons the request.
pub struct PendingReply {
    forwarder: Rc<Forwarder>,
    token: u64,
    receiver: oneshot::Receiver<ClientReply>,
}

impl Future for PendingReply {
    type Output = ClientReply;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<ClientReply> {
        let received = Pin::new(&mut self.receiver).poll(context);
        received.map(|reply| reply.unwrap_or_else(|_| super::requests::outcome_unknown()))
    }
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        let sender = self.forwarder.state.borrow_mut().replies.remove(&self.token);
        if sender.is_some() {
            self.forwarder.state.borrow_mut().upstream.abandon(self.token);
        }
    }
}
