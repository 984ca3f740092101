//! The queue between tasks and the driver.
//!
//! Messages of consensus have a lane of their own, which the driver empties first: a leader that does not read the
//! acknowledgements of its heartbeats in time loses its lease, however many other events wait.

use crate::events::DriverEvent;
use messages::peer::mod_PeerFrame::OneOfbody;
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
    ordinary: mpsc::Sender<DriverEvent>,
}

impl EventSender {
    /// Sends an event; waits while its lane is full.
    ///
    /// # Errors
    ///
    /// Fails if the driver is gone.
    pub async fn send(&self, event: DriverEvent) -> Result<(), Disconnected> {
        let lane = if is_consensus(&event) { &self.consensus } else { &self.ordinary };
        lane.send(event).await.map_err(|_| Disconnected)
    }

    /// The lane of all other events, for tasks that send no messages of consensus.
    pub fn ordinary(&self) -> &mpsc::Sender<DriverEvent> {
        &self.ordinary
    }

    /// Whether the driver is gone.
    pub fn is_closed(&self) -> bool {
        self.ordinary.is_closed()
    }
}

fn is_consensus(event: &DriverEvent) -> bool {
    matches!(event, DriverEvent::Frame { body: OneOfbody::consensus(_), .. })
}

/// The driver's side of the queue. Within each lane events keep their order.
pub struct EventQueue {
    consensus: mpsc::Receiver<DriverEvent>,
    ordinary: mpsc::Receiver<DriverEvent>,
    /// Events of the ordinary lane that were moved here at one time and are not handled yet.
    moved: VecDeque<DriverEvent>,
    /// Reused to move events; empty in between.
    buffer: Vec<DriverEvent>,
}

/// An empty queue, and where events are sent.
pub fn event_queue() -> (EventSender, EventQueue) {
    let (consensus_sender, consensus) = mpsc::channel(MAX_WAITING_EVENTS);
    let (ordinary_sender, ordinary) = mpsc::channel(MAX_WAITING_EVENTS);
    let sender = EventSender { consensus: consensus_sender, ordinary: ordinary_sender };
    (sender, EventQueue { consensus, ordinary, moved: VecDeque::new(), buffer: Vec::new() })
}

impl EventQueue {
    /// Returns once an event waits, with that event if it is of consensus.
    pub async fn wait(&mut self) -> Option<DriverEvent> {
        if !self.moved.is_empty() {
            return self.next_consensus();
        }
        select! {
            biased;
            Some(event) = self.consensus.recv() => Some(event),
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

    /// The next other event that waits, of those that `wait` or `move_waiting` made available.
    pub fn next_ordinary(&mut self) -> Option<DriverEvent> {
        self.moved.pop_front()
    }

    /// Whether ordinary events were made available that are not handled yet.
    pub fn has_ordinary(&self) -> bool {
        !self.moved.is_empty()
    }

    /// The next event, a message of consensus before all others; `None` once no sender is left.
    pub async fn next(&mut self) -> Option<DriverEvent> {
        if let Some(event) = self.next_consensus() {
            return Some(event);
        }
        if let Some(event) = self.next_ordinary() {
            return Some(event);
        }
        select! {
            biased;
            Some(event) = self.consensus.recv() => Some(event),
            event = self.ordinary.recv() => event,
        }
    }
}
