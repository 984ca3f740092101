//! The identity of this process as stored on its disk, and how the process gets one.

use crate::error::ControlError;
use configuration::ProcessSettings;
use consensus::{Founding, Member, Membership, Node, NodeId, Restored};
use log_records::{restored_from_stored, snapshot_to_stored, write_batch};
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use storage::{FileDirectory, Identity, Recovered, Store, StoreOptions};

/// Number of low bits of an identity that hold the machine's IPv4 address.
const ADDRESS_BITS: u32 = 32;
/// Name of the file that marks a data directory as being cleared.
const CLEARING_MARKER: &str = "clearing";

/// An opened disk with its recovered contents.
pub struct OpenedDisk {
    /// The store with the log.
    pub store: Store<FileDirectory>,
    /// The identity of this process.
    pub id: NodeId,
    /// The recovered consensus state.
    pub restored: Restored,
}

/// This process as a member: its identity, and its addresses as other members use them.
pub fn own_member(settings: &ProcessSettings, id: NodeId) -> Result<Member, ControlError> {
    let control = settings.listen.control.ok_or(ControlError::NoControlAddress)?;
    Ok(Member {
        id,
        address: peer_address(settings, settings.ip).to_string(),
        control: control.to_string(),
        voter: false,
    })
}

/// The address at which the control process on machine `ip` listens for peers. All machines use the same
/// port.
pub fn peer_address(settings: &ProcessSettings, ip: Ipv4Addr) -> SocketAddr {
    SocketAddrV4::new(ip, *settings.port_range.start()).into()
}

/// The peer addresses of the seeds, except this process.
pub fn seed_addresses(settings: &ProcessSettings) -> Vec<SocketAddr> {
    let seeds = settings.seed_nodes.iter().filter(|seed| *seed.ip() != settings.ip);
    seeds.map(|seed| peer_address(settings, *seed.ip())).collect()
}

/// The peer addresses of all seeds, in the text form of members' addresses.
pub fn founding_addresses(settings: &ProcessSettings) -> BTreeSet<String> {
    settings.seed_nodes.iter().map(|seed| peer_address(settings, *seed.ip()).to_string()).collect()
}

/// Creates the founding state machine for this process, which would be member `id` of a group founded by
/// agreement of the seeds.
///
/// # Errors
///
/// Fails if the settings have no `Control` address.
pub fn founding(settings: &ProcessSettings, id: NodeId) -> Result<Founding, ControlError> {
    let candidate = own_member(settings, id)?;
    let tolerated_losses = settings.fault_tolerance.machines as usize;
    Ok(Founding::new(candidate, founding_addresses(settings), tolerated_losses))
}

/// Opens the disk. An empty disk first gets an identity. On the very first start of the system, that is the
/// identity of a founder. Otherwise the identity is one that was never used before, because the votes of an
/// earlier identity were lost with its disk.
pub fn open(settings: &ProcessSettings) -> Result<OpenedDisk, ControlError> {
    let path = settings.data_directory.as_deref().ok_or(ControlError::NoDataDirectory)?;
    finish_clearing(path).map_err(ControlError::DataDirectory)?;
    let (mut store, mut recovered) = open_store(path)?;
    if let Some(identity) = recovered.identity {
        let restored = restored_from_stored(recovered).map_err(ControlError::Stored)?;
        return Ok(OpenedDisk { store, id: identity.node_id, restored });
    }
    if recovered != Recovered::default() {
        // Founding the group was interrupted before the identity was written: no vote was given under that
        // identity.
        drop(store);
        clear(settings)?;
        (store, recovered) = open_store(path)?;
    }
    debug_assert_eq!(recovered, Recovered::default());
    if let Some(membership) = founders(settings) {
        let id = founder_id(settings.ip);
        let restored = Node::bootstrap(membership);
        write_first_log(&mut store, id, &restored)?;
        return Ok(OpenedDisk { store, id, restored });
    }
    let id = unused_id(settings.ip);
    store.write_identity(&Identity { node_id: id })?;
    Ok(OpenedDisk { store, id, restored: Restored::default() })
}

fn open_store(path: &Path) -> Result<(Store<FileDirectory>, Recovered), ControlError> {
    let directory = FileDirectory::new(path).map_err(ControlError::DataDirectory)?;
    Ok(Store::open(directory, StoreOptions::default())?)
}

/// The members of the group at the first start of the system, if this process is one of them.
fn founders(settings: &ProcessSettings) -> Option<Membership> {
    let own = settings.listen.control?;
    if !settings.bootstrap || !settings.seed_nodes.contains(&own) {
        return None;
    }
    let mut seeds = settings.seed_nodes.clone();
    seeds.sort_unstable();
    seeds.dedup();
    let members = seeds.iter().map(|seed| Member {
        id: founder_id(*seed.ip()),
        address: peer_address(settings, *seed.ip()).to_string(),
        control: seed.to_string(),
        voter: true,
    });
    Some(Membership { members: members.collect() })
}

fn founder_id(ip: Ipv4Addr) -> NodeId {
    u64::from(u32::from(ip))
}

/// Draws a random identity that this machine has not used before.
pub fn unused_id(ip: Ipv4Addr) -> NodeId {
    (u64::from(fastrand::u32(1..)) << ADDRESS_BITS) | founder_id(ip)
}

/// Clears the disk and writes the first log of a group with these members. This process is member `id`.
///
/// # Errors
///
/// Fails if the disk fails. The disk then either counts as empty or holds the complete first log.
pub fn found_group(
    settings: &ProcessSettings,
    id: NodeId,
    membership: Membership,
) -> Result<(), ControlError> {
    clear(settings)?;
    let path = settings.data_directory.as_deref().ok_or(ControlError::NoDataDirectory)?;
    let (mut store, _) = open_store(path)?;
    write_first_log(&mut store, id, &Node::bootstrap_again(membership))
}

/// Writes the first log. The identity is written last: a disk without an identity still counts as empty, so
/// an interrupted write leaves no partial group.
fn write_first_log(
    store: &mut Store<FileDirectory>,
    id: NodeId,
    restored: &Restored,
) -> Result<(), ControlError> {
    if let Some(snapshot) = &restored.snapshot {
        store.save_snapshot(&snapshot_to_stored(snapshot))?;
    }
    let first = restored.entries.first().map(|entry| entry.index);
    let batch = write_batch(Some(&restored.hard_state), first, restored.entries.clone());
    store.write(&batch)?;
    store.write_identity(&Identity { node_id: id })?;
    Ok(())
}

/// Clears the disk of an identity that the group has removed, so that the process joins under a new identity.
pub fn clear(settings: &ProcessSettings) -> Result<(), ControlError> {
    let path = settings.data_directory.as_deref().ok_or(ControlError::NoDataDirectory)?;
    begin_clearing(path).and_then(|()| finish_clearing(path)).map_err(ControlError::DataDirectory)
}

/// Durably marks the directory as being cleared, so that a power failure during clearing leaves no partial
/// log.
fn begin_clearing(path: &Path) -> io::Result<()> {
    File::create(path.join(CLEARING_MARKER))?.sync_all()?;
    File::open(path)?.sync_all()
}

/// Clears the directory if it is marked.
fn finish_clearing(path: &Path) -> io::Result<()> {
    let marker = path.join(CLEARING_MARKER);
    if !marker.exists() {
        return Ok(());
    }
    for entry in fs::read_dir(path)? {
        let entry = entry?;
        if entry.file_type()?.is_file() && entry.path() != marker {
            fs::remove_file(entry.path())?;
        }
    }
    File::open(path)?.sync_all()?;
    fs::remove_file(marker)?;
    File::open(path)?.sync_all()
}
