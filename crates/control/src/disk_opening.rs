//! Opens the disk of a process, and retries while the disk fails for a reason that may pass.
//!
//! A full or failing disk may recover after a moment. A process that ended because of that error would be
//! started again at once and would end again. The process therefore keeps running, answers that it does not
//! lead, and retries.

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

/// Delay between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// How the disk is prepared before it is opened.
#[derive(Debug, Clone)]
pub enum DiskPreparation {
    /// Not at all: the disk belongs to this process's identity.
    None,
    /// Clear the disk, because the group has removed the identity.
    Clear,
    /// Clear the disk and write the first log of a new group.
    WriteFirstLog {
        /// The identity of this process as a member.
        id: NodeId,
        /// The members of the group.
        membership: Membership,
    },
}

/// Prepares and opens the disk as soon as it can be written to. Returns `None` if the platform asks the
/// process to stop before that.
///
/// # Errors
///
/// Fails if a required setting is missing, or with an error that a retry does not fix.
pub async fn open(
    settings: &ProcessSettings,
    preparation: &DiskPreparation,
    clients: &mut Clients,
    events: &mut EventQueue,
) -> Result<Option<OpenedDisk>, ControlError> {
    loop {
        match prepare_and_open(settings, preparation) {
            Ok(opened) => return Ok(Some(opened)),
            Err(error) if error.is_transient() => log::error!("{error}; waiting for the disk"),
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
        DiskPreparation::WriteFirstLog { id, membership } => {
            identity::found_group(settings, *id, membership.clone())?;
        }
    }
    identity::open(settings)
}

/// Maintains the list of clients, and answers them that this process does not lead. Calls of operators and
/// administrators are dropped; the API then answers that no leader is available.
fn handle_without_disk(clients: &mut Clients, event: DriverEvent) {
    match event {
        DriverEvent::Accepted { connection, outbox } => clients.add(connection, outbox),
        DriverEvent::Closed { connection } => drop(clients.remove_connection(connection)),
        DriverEvent::Frame { connection, body } => answer_without_disk(clients, connection, body),
        _ => {}
    }
}

fn answer_without_disk(clients: &mut Clients, connection: ConnectionId, body: OneOfbody) {
    match body {
        OneOfbody::hello(hello) => clients.register_hello(connection, &hello, &LeaderNotice::default()),
        OneOfbody::request(request) => clients.reject(connection, &request),
        OneOfbody::ping(ping) => clients.push(connection, OneOfbody::pong(Pong { number: ping.number })),
        _ => {}
    }
}
