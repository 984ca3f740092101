//! Client connections: their slots, the serving of each, and when they are closed.

use crate::client::{Client, ClientSocket};
use crate::server::reply::RequestInProgress;
use crate::server::Server;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

/// A new connection without a complete request head after this time is closed: every peer must get an answer
/// or a close within 3 s, and a well-behaved client may take 2 s for its head.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2600);
/// A client that has sent a request, and then nothing or an incomplete head for this long, is disconnected.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

const MAX_HEAD_BYTES: usize = 16 << 10;

const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(5);

impl Server {
    /// Closes connections that have been idle for at min_idle `min_idle`.
    pub(super) fn close_idle(&self, now: Instant, min_idle: Duration) {
        for client in self.clients.borrow().values() {
            if client.idle_since.get().is_some_and(|at| now.saturating_duration_since(at) >= min_idle) {
                client.close.notify_one();
            }
        }
    }

    /// Closes connections of clients that do not read their answer.
    pub(super) fn close_unread(&self, now: Instant) {
        for client in self.clients.borrow().values() {
            if client.is_write_stalled(now) {
                client.close.notify_one();
            }
        }
    }

    /// Accepts one client, within the limit on connections.
    pub(super) async fn accept_one(self: &Rc<Self>, listener: &TcpListener, next_number: &mut u64) {
        if self.clients.borrow().len() >= self.max_clients {
            self.close_longest_idle();
            while self.clients.borrow().len() >= self.max_clients {
                self.client_left.notified().await;
            }
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let connected = Instant::now();
                let client = Rc::new(Client::new(stream, connected));
                *next_number += 1;
                self.clients.borrow_mut().insert(*next_number, client.clone());
                let slot = ClientSlot { server: self.clone(), number: *next_number };
                spawn_local(async move { slot.server.serve(client).await });
            }
            // The process is out of descriptors, or the connection was reset in the queue. Accepting again
            // immediately would spin, so idle connections are closed first.
            Err(_) => {
                self.backends.pool.close_longest_idle();
                self.close_longest_idle();
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }

    /// Closes all client connections; those with a request in progress close after its answer. A new
    /// connection gets an answer to its first request, which may be on its way; if none arrives in time,
    /// `FIRST_REQUEST_TIMEOUT` closes it.
    pub(super) fn close_all(&self) {
        for client in self.clients.borrow().values() {
            if client.answered_before.get() || client.idle_since.get().is_none() {
                client.close.notify_one();
            } else {
                client.close_after_answer.set(true);
            }
        }
    }

    /// Frees a slot: of a lingering close if there is one, otherwise of the connection that has been idle the
    /// longest.
    fn close_longest_idle(&self) {
        let clients = self.clients.borrow();
        if let Some(client) = clients.values().find(|c| c.lingering.get()) {
            client.stop_lingering.notify_one();
            return;
        }
        let idle = clients.values().filter(|c| c.idle_since.get().is_some());
        if let Some(client) = idle.min_by_key(|c| (c.request_begun.get(), c.idle_since.get())) {
            client.close.notify_one();
        }
    }

    async fn serve(self: &Rc<Self>, client: Rc<Client>) {
        if client.stream.set_nodelay(true).is_err() {
            return;
        }
        let service = service_fn(|request| {
            client.idle_since.set(None);
            let in_progress = RequestInProgress(client.clone());
            async move {
                let mut reply = self.reply(request, &in_progress.0).await;
                // The connection is busy until the answer is written, which may take long.
                reply.body_mut().in_progress = Some(in_progress);
                Ok::<_, Infallible>(reply)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(ClientSocket(client.clone())), service);
        let mut connection = pin!(connection);
        let mut first = pin!(sleep_until(client.connected + FIRST_REQUEST_TIMEOUT));
        loop {
            tokio::select! {
                // Polled first, so that a request that has arrived is read before the connection is closed.
                biased;
                // Errors are caused by the client: it disconnected, or sent something other than HTTP.
                ended = connection.as_mut() => {
                    if ended.is_ok() && client.last_answered.get() && client.has_unread_input() {
                        client.linger().await;
                    }
                    return;
                }
                () = client.close.notified() => {
                    match CloseMode::of(&client, Instant::now()) {
                        CloseMode::AtOnce => return,
                        CloseMode::Gracefully => connection.as_mut().graceful_shutdown(),
                        CloseMode::AfterNextAnswer => {}
                    }
                    // A request is arriving or in progress: its answer announces that it is the last.
                    client.close_after_answer.set(true);
                }
                // While a request is in progress, the timeout of its body or its answer ends the connection.
                () = &mut first, if !first.is_elapsed() => {
                    if !client.answered_before.get() && client.idle_since.get().is_some() {
                        return;
                    }
                }
            }
        }
    }
}

/// How a connection is to be closed.
enum CloseMode {
    AtOnce,
    /// After the answer that is being written.
    Gracefully,
    /// A request has arrived in part: it is read and answered first.
    AfterNextAnswer,
}

impl CloseMode {
    fn of(client: &Client, now: Instant) -> Self {
        if client.is_write_stalled(now) {
            return CloseMode::AtOnce;
        }
        if client.idle_since.get().is_none() {
            return CloseMode::Gracefully;
        }
        match (client.request_begun.get() || client.has_unread_input(), client.answered_before.get()) {
            (true, _) => CloseMode::AfterNextAnswer,
            (false, false) => CloseMode::AtOnce,
            // The end of the last answer may not have been written yet.
            (false, true) => CloseMode::Gracefully,
        }
    }
}

/// A client's slot in the limit on connections. Dropping it frees the slot.
struct ClientSlot {
    server: Rc<Server>,
    number: u64,
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        self.server.clients.borrow_mut().remove(&self.number);
        self.server.client_left.notify_one();
    }
}
