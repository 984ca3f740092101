//! The queue between tasks and the driver.
//!
//! Two lanes do not wait behind the events of clients and workers, however many of those there are. Messages of
//! consensus come first: a leader that does not read the acknowledgements of its heartbeats in time loses its lease.
//! Urgent events follow: they have time limits of their own, are few, and are quickly handled.

use crate::events::{DriverEvent, Lane};
use std::collections::VecDeque;
use tokio::select;
use tokio::sync::mpsc;

/// Events that may wait in each lane; beyond them the tasks that send wait, and with them their peers.
const MAX_WAITING_EVENTS: usize = 1_024;
/// Events that are moved from the ordinary lane at one time.
const MAX_MOVED_EVENTS: usize = 256;

/// The driver is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disconnected;

/// Where connections to other processes send their events.
#[derive(Debug, Clone)]
pub struct EventSender {
    consensus: mpsc::Sender<DriverEvent>,
    urgent: mpsc::Sender<DriverEvent>,
    ordinary: mpsc::Sender<DriverEvent>,
}

impl EventSender {
    /// Sends an event; waits while its lane is full.
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

    /// The lane of urgent events, for those that send no others.
    pub fn urgent(&self) -> &mpsc::Sender<DriverEvent> {
        &self.urgent
    }

    /// The lane of ordinary events, for tasks that send no others.
    pub fn ordinary(&self) -> &mpsc::Sender<DriverEvent> {
        &self.ordinary
    }

    /// Whether the driver is gone.
    pub fn is_closed(&self) -> bool {
        self.ordinary.is_closed()
    }
}

/// The driver's side of the queue. Within each lane events keep their order.
pub struct EventQueue {
    consensus: mpsc::Receiver<DriverEvent>,
    urgent: mpsc::Receiver<DriverEvent>,
    ordinary: mpsc::Receiver<DriverEvent>,
    /// Events of the ordinary lane that were moved here at one time and are not handled yet.
    moved: VecDeque<DriverEvent>,
    /// Reused to move events; empty in between.
    buffer: Vec<DriverEvent>,
}

/// An empty queue, and where events are sent.
pub fn event_queue() -> (EventSender, EventQueue) {
    let (consensus_sender, consensus) = mpsc::channel(MAX_WAITING_EVENTS);
    let (urgent_sender, urgent) = mpsc::channel(MAX_WAITING_EVENTS);
    let (ordinary_sender, ordinary) = mpsc::channel(MAX_WAITING_EVENTS);
    let sender =
        EventSender { consensus: consensus_sender, urgent: urgent_sender, ordinary: ordinary_sender };
    (sender, EventQueue { consensus, urgent, ordinary, moved: VecDeque::new(), buffer: Vec::new() })
}

impl EventQueue {
    /// Returns once an event waits, with that event if it is of consensus or urgent.
    pub async fn wait(&mut self) -> Option<DriverEvent> {
        if !self.moved.is_empty() {
            return self.next_consensus().or_else(|| self.next_urgent());
        }
        select! {
            biased;
            Some(event) = self.consensus.recv() => Some(event),
            Some(event) = self.urgent.recv() => Some(event),
            _ = self.ordinary.recv_many(&mut self.buffer, MAX_MOVED_EVENTS) => {
                self.moved.extend(self.buffer.drain(..));
                None
            }
        }
    }

    /// Makes ordinary events that wait available, a bounded number of them. Turns that begin with a message of consensus
    /// or a write thus handle them too.
    pub fn move_waiting(&mut self) {
        while self.moved.len() < MAX_MOVED_EVENTS {
            let Ok(event) = self.ordinary.try_recv() else { return };
            self.moved.push_back(event);
        }
    }

    /// The next message of consensus that waits.
    pub fn next_consensus(&mut self) -> Option<DriverEvent> {
        self.consensus.try_recv().ok()
    }

    /// The next urgent event that waits.
    pub fn next_urgent(&mut self) -> Option<DriverEvent> {
        self.urgent.try_recv().ok()
    }

    /// The next ordinary event that waits, of those that `wait` or `move_waiting` made available.
    pub fn next_ordinary(&mut self) -> Option<DriverEvent> {
        self.moved.pop_front()
    }

    /// Whether ordinary events were made available that are not handled yet.
    pub fn has_ordinary(&self) -> bool {
        !self.moved.is_empty()
    }

    /// The next event, messages of consensus first and urgent events second; `None` once no sender is left.
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
