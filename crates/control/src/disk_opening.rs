//! Opens the disk of a process, and waits while the disk refuses that for now.
//!
//! A disk that is full, or fails, may do so for a moment only. A process that ended by that error would be started
//! again at once, and end again. It stays instead, answers that it does not lead, and tries again.

use crate::clients::Clients;
use crate::error::ControlError;
use crate::event_queue::EventQueue;
use crate::events::{ConnectionId, DriverEvent};
use crate::identity::{self, OpenedDisk};
use configuration::ProcessSettings;
use consensus::{Membership, NodeId};
use messages::peer::{mod_PeerFrame::OneOfbody, LeaderNotice, Pong};
use process_signals::Signal;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// What is done with the disk before it is opened.
#[derive(Debug, Clone)]
pub enum DiskPreparation {
    /// Nothing: it belongs to this process's identity.
    None,
    /// It is cleared, since the group has removed the identity.
    Clear,
    /// It is cleared, and the first log of a new group is written.
    Found {
        /// The identity of this process as a member.
        id: NodeId,
        /// The members.
        membership: Membership,
    },
}

/// Prepares and opens the disk, as soon as it lets itself be written to. `None` if the platform asks the process to stop
/// before that.
///
/// # Errors
///
/// Fails if the settings lack what is needed, or in a way that a retry does not repair.
pub async fn open(
    settings: &ProcessSettings,
    preparation: &DiskPreparation,
    clients: &mut Clients,
    events: &mut EventQueue,
) -> Result<Option<OpenedDisk>, ControlError> {
    loop {
        match prepare_and_open(settings, preparation) {
            Ok(opened) => return Ok(Some(opened)),
            Err(error) if error.may_pass() => log::error!("{error}; waiting for the disk"),
            Err(error) => return Err(error),
        }
        let retry_at = Instant::now() + RETRY_INTERVAL;
        while let Ok(event) = timeout_at(retry_at, events.next()).await {
            match event {
                Some(DriverEvent::Signal(Signal::Stop)) | None => return Ok(None),
                Some(event) => handle_without_disk(clients, event),
            }
        }
    }
}

fn prepare_and_open(
    settings: &ProcessSettings,
    preparation: &DiskPreparation,
) -> Result<OpenedDisk, ControlError> {
    match preparation {
        DiskPreparation::None => {}
        DiskPreparation::Clear => identity::clear(settings)?,
        DiskPreparation::Found { id, membership } => {
            identity::found_group(settings, *id, membership.clone())?;
        }
    }
    identity::open(settings)
}

/// Keeps the list of clients, and tells them that this process does not lead. Calls of operators and administrators are
/// dropped, which answers them as unavailable.
fn handle_without_disk(clients: &mut Clients, event: DriverEvent) {
    match event {
        DriverEvent::Accepted { connection, outbox } => clients.add(connection, outbox),
        DriverEvent::Closed { connection } => drop(clients.closed(connection)),
        DriverEvent::Frame { connection, body } => answer_without_disk(clients, connection, body),
        _ => {}
    }
}

fn answer_without_disk(clients: &mut Clients, connection: ConnectionId, body: OneOfbody) {
    match body {
        OneOfbody::hello(hello) => clients.greeted(connection, &hello, &LeaderNotice::default()),
        OneOfbody::request(request) => clients.reject(connection, &request),
        OneOfbody::ping(ping) => clients.push(connection, OneOfbody::pong(Pong { number: ping.number })),
        _ => {}
    }
}
