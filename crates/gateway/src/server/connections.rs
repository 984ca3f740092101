//! Clients' connections: their slots in the max_clients, the serving of each, and which close.

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

/// A peer that has not sent one complete head by then is let go: whoever connects is owed an answer or a close
/// within 3 s, and an honest client may take 2 s for its head.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2600);
/// A client that has sent one, and then nothing or half a request's head for this long, is let go.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

const MAX_HEAD_BYTES: usize = 16 << 10;

const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(5);

impl Server {
    /// Closes connections that have had no request for so long.
    pub(super) fn close_idle(&self, now: Instant, least: Duration) {
        for client in self.clients.borrow().values() {
            if client.idle_since.get().is_some_and(|at| now.saturating_duration_since(at) >= least) {
                client.close.notify_one();
            }
        }
    }

    /// Closes connections of clients that leave their answer unread.
    pub(super) fn close_unread(&self, now: Instant) {
        for client in self.clients.borrow().values() {
            if client.is_write_stalled(now) {
                client.close.notify_one();
            }
        }
    }

    /// Accepts one client within the descriptor max_clients.
    pub(super) async fn accept_one(self: &Rc<Self>, listener: &TcpListener, next: &mut u64) {
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
                *next += 1;
                self.clients.borrow_mut().insert(*next, client.clone());
                let slot = ClientSlot { server: self.clone(), number: *next };
                spawn_local(async move { slot.server.serve(client).await });
            }
            // Out of descriptors, or a connection that was reset in the queue. Accepting at once again would
            // spin; what can be spared is given back first.
            Err(_) => {
                self.backends.pool.close_longest_idle();
                self.close_longest_idle();
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }

    /// Has every client's connection close, once it has no request in hand. A new one is owed an answer to its first
    /// request, which may be on its way; if none comes in its time, that ends it.
    pub(super) fn close_all(&self) {
        for client in self.clients.borrow().values() {
            if client.answered_before.get() || client.idle_since.get().is_none() {
                client.close.notify_one();
            } else {
                client.close_after_answer.set(true);
            }
        }
    }

    /// Frees a slot: that of a close that lingers, or else that of the connection that has idled longest.
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
                // Until the answer is written: a long one keeps its connection busy.
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
                // First, so that a request which has arrived is read before a close.
                biased;
                // Errors are the client's: it left, or sent what is no HTTP.
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
                    // A request is on its way or in flight: its answer says that it is the last.
                    client.close_after_answer.set(true);
                }
                // With a request in hand, its body's time or its answer ends it.
                () = &mut first, if !first.is_elapsed() => {
                    if !client.answered_before.get() && client.idle_since.get().is_some() {
                        return;
                    }
                }
            }
        }
    }
}

/// How a connection that is to close does so.
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
            // The end of its last answer may still be on its way out.
            (false, true) => CloseMode::Gracefully,
        }
    }
}

/// A client's slot in the max_clients.
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
