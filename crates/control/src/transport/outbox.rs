//! Queue of the frames to be written to one connection.

use messages::encode_frame;
use messages::peer::{mod_PeerFrame::OneOfbody, PeerFrame};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Maximum number of bytes queued for a connected peer. A peer with more unread bytes does not read.
const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of bytes queued for a peer that is not connected. Only the newest messages are kept, so
/// that the first messages after a connect are useful.
const MAX_OFFLINE_BYTES: usize = 64 * 1024;

/// What happens when the queue of a peer that does not read is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverflowPolicy {
    /// Drop the queued frames: the protocol above (consensus) sends them again.
    Drop,
    /// Close the connection: the peer depends on every frame (replies to clients).
    Close,
}

#[derive(Debug, Default)]
struct Queue {
    bytes: Vec<u8>,
    is_connected: bool,
    has_overflowed: bool,
    /// Whether the bytes that were taken last are still being written to the socket.
    is_writing: bool,
}

/// The queue between the driver and the task that writes to a connection. All frames pushed in one turn of
/// the driver are written together.
#[derive(Debug)]
pub struct Outbox {
    queue: Mutex<Queue>,
    overflow: OverflowPolicy,
    wake: Notify,
}

impl Outbox {
    /// Creates an empty queue.
    pub fn new(overflow: OverflowPolicy) -> Self {
        Outbox { queue: Mutex::new(Queue::default()), overflow, wake: Notify::new() }
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues one frame.
    pub fn push(&self, body: OneOfbody) {
        let mut queue = self.queue();
        let limit = if queue.is_connected { MAX_QUEUED_BYTES } else { MAX_OFFLINE_BYTES };
        if queue.bytes.len() > limit {
            queue.bytes.clear();
            queue.has_overflowed = self.overflow == OverflowPolicy::Close;
        }
        encode_frame(&PeerFrame { body }, &mut queue.bytes);
        self.wake.notify_one();
    }

    /// Moves all queued bytes to `out`, which must be empty. Returns false if the connection must be closed.
    pub fn take_into(&self, out: &mut Vec<u8>) -> bool {
        let mut queue = self.queue();
        std::mem::swap(&mut queue.bytes, out);
        queue.is_writing = !out.is_empty();
        !queue.has_overflowed
    }

    /// Whether all bytes were written to the socket, or no connection is open.
    pub fn is_flushed(&self) -> bool {
        let queue = self.queue();
        !queue.is_connected || (queue.bytes.is_empty() && !queue.is_writing)
    }

    /// Sets whether an open connection writes the queued bytes.
    pub fn set_connected(&self, connected: bool) {
        self.queue().is_connected = connected;
    }

    /// Whether an open connection writes the queued bytes.
    pub fn is_connected(&self) -> bool {
        self.queue().is_connected
    }

    /// Waits until a frame is queued. Returns at once if one was queued since the last return.
    pub async fn wait(&self) {
        self.wake.notified().await;
    }
}
