//! The queue of events from tasks to the driver.
//!
//! Two lanes never wait behind the many events of clients and workers. Consensus messages come first: a
//! leader that reads the acknowledgements of its heartbeats too late loses its lease. Urgent events come
//! second: they have deadlines of their own, are few, and are handled quickly.

use crate::events::{DriverEvent, Lane};
use std::collections::VecDeque;
use tokio::select;
use tokio::sync::mpsc;

/// Capacity of each lane. While a lane is full, the sending tasks wait, and so do their peers.
const LANE_CAPACITY: usize = 1_024;
/// Maximum number of events fetched from the ordinary lane at a time.
const MAX_FETCHED_EVENTS: usize = 256;

/// The driver has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disconnected;

/// The sending side of the queue.
#[derive(Debug, Clone)]
pub struct EventSender {
    consensus: mpsc::Sender<DriverEvent>,
    urgent: mpsc::Sender<DriverEvent>,
    ordinary: mpsc::Sender<DriverEvent>,
}

impl EventSender {
    /// Sends an event to its lane; waits while the lane is full.
    ///
    /// # Errors
    ///
    /// Fails if the driver is gone.
    pub async fn send(&self, event: DriverEvent) -> Result<(), Disconnected> {
        let lane = match event.lane() {
            Lane::Consensus => &self.consensus,
            Lane::Urgent => &self.urgent,
            Lane::Ordinary => &self.ordinary,
        };
        lane.send(event).await.map_err(|_| Disconnected)
    }

    /// The urgent lane, for tasks that send no other events.
    pub fn urgent(&self) -> &mpsc::Sender<DriverEvent> {
        &self.urgent
    }

    /// The ordinary lane, for tasks that send no other events.
    pub fn ordinary(&self) -> &mpsc::Sender<DriverEvent> {
        &self.ordinary
    }

    /// Whether the driver has ended.
    pub fn is_closed(&self) -> bool {
        self.ordinary.is_closed()
    }
}

/// The driver's side of the queue. Events keep their order within each lane.
pub struct EventQueue {
    consensus: mpsc::Receiver<DriverEvent>,
    urgent: mpsc::Receiver<DriverEvent>,
    ordinary: mpsc::Receiver<DriverEvent>,
    /// Events fetched from the ordinary lane that are not handled yet.
    fetched: VecDeque<DriverEvent>,
    /// Buffer for fetching events, kept for reuse; empty between calls.
    buffer: Vec<DriverEvent>,
}

/// Creates an empty queue and its sender.
pub fn event_queue() -> (EventSender, EventQueue) {
    let (consensus_sender, consensus) = mpsc::channel(LANE_CAPACITY);
    let (urgent_sender, urgent) = mpsc::channel(LANE_CAPACITY);
    let (ordinary_sender, ordinary) = mpsc::channel(LANE_CAPACITY);
    let sender =
        EventSender { consensus: consensus_sender, urgent: urgent_sender, ordinary: ordinary_sender };
    (sender, EventQueue { consensus, urgent, ordinary, fetched: VecDeque::new(), buffer: Vec::new() })
}

impl EventQueue {
    /// Waits for an event. Returns it if it is a consensus message or urgent; ordinary events are fetched
    /// instead, for `next_ordinary`.
    pub async fn wait(&mut self) -> Option<DriverEvent> {
        if !self.fetched.is_empty() {
            return self.next_consensus().or_else(|| self.next_urgent());
        }
        select! {
            biased;
            Some(event) = self.consensus.recv() => Some(event),
            Some(event) = self.urgent.recv() => Some(event),
            _ = self.ordinary.recv_many(&mut self.buffer, MAX_FETCHED_EVENTS) => {
                self.fetched.extend(self.buffer.drain(..));
                None
            }
        }
    }

    /// Fetches waiting ordinary events, up to a limit, so that turns that begin with a consensus message or a
    /// completed write handle them too.
    pub fn fetch_ordinary(&mut self) {
        while self.fetched.len() < MAX_FETCHED_EVENTS {
            let Ok(event) = self.ordinary.try_recv() else { return };
            self.fetched.push_back(event);
        }
    }

    /// The next waiting consensus message.
    pub fn next_consensus(&mut self) -> Option<DriverEvent> {
        self.consensus.try_recv().ok()
    }

    /// The next waiting urgent event.
    pub fn next_urgent(&mut self) -> Option<DriverEvent> {
        self.urgent.try_recv().ok()
    }

    /// The next ordinary event among those that `wait` or `fetch_ordinary` have fetched.
    pub fn next_ordinary(&mut self) -> Option<DriverEvent> {
        self.fetched.pop_front()
    }

    /// Whether fetched ordinary events are not handled yet.
    pub fn has_ordinary(&self) -> bool {
        !self.fetched.is_empty()
    }

    /// Waits for the next event: consensus messages first, urgent events second. Returns `None` once no
    /// sender is left.
    pub async fn next(&mut self) -> Option<DriverEvent> {
        if let Some(event) = self.next_consensus().or_else(|| self.next_urgent()) {
            return Some(event);
        }
        if let Some(event) = self.next_ordinary() {
            return Some(event);
        }
        select! {
            biased;
            Some(event) = self.consensus.recv() => Some(event),
            Some(event) = self.urgent.recv() => Some(event),
            event = self.ordinary.recv() => event,
        }
    }
}
