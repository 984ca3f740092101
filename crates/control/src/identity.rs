//! The identity of this process as its disk holds it, and how it gets one.

use crate::error::ControlError;
use configuration::ProcessSettings;
use consensus::{Founding, Member, Membership, Node, NodeId, Restored};
use log_records::{restored, snapshot_to_stored, write_batch};
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use storage::{FileDirectory, Identity, Recovered, Store, StoreOptions};

/// Bits of an identity that hold the machine's IPv4.
const ADDRESS_BITS: u32 = 32;
/// A file of this name marks a folder that is being cleared.
const CLEARING: &str = "clearing";

/// What a process starts with.
pub struct OpenedDisk {
    /// The log on its disk.
    pub store: Store<FileDirectory>,
    /// Its identity.
    pub id: NodeId,
    /// What the disk held.
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

/// Where the control process at `ip` listens for other processes: ports are alike on all machines.
pub fn peer_address(settings: &ProcessSettings, ip: Ipv4Addr) -> SocketAddr {
    SocketAddrV4::new(ip, *settings.port_range.start()).into()
}

/// Where the control processes of the seeds listen for other processes, this one left out.
pub fn seed_addresses(settings: &ProcessSettings) -> Vec<SocketAddr> {
    let seeds = settings.seed_nodes.iter().filter(|seed| *seed.ip() != settings.ip);
    seeds.map(|seed| peer_address(settings, *seed.ip())).collect()
}

/// Where the control processes of all seeds listen for other processes, as members' addresses are written.
pub fn founding_addresses(settings: &ProcessSettings) -> BTreeSet<String> {
    settings.seed_nodes.iter().map(|seed| peer_address(settings, *seed.ip()).to_string()).collect()
}

/// How this process, as a member of this identity, would found a group by agreement of the seeds.
///
/// # Errors
///
/// Fails if the settings give no `Control` address.
pub fn founding(settings: &ProcessSettings, id: NodeId) -> Result<Founding, ControlError> {
    let candidate = own_member(settings, id)?;
    let tolerated_losses = settings.fault_tolerance.machines as usize;
    Ok(Founding::new(candidate, founding_addresses(settings), tolerated_losses))
}

/// Opens the disk. An empty disk gets an identity before anything else: that of a founder on the very first start,
/// otherwise one that was never used before, since the votes of an earlier identity are lost with its disk.
pub fn open(settings: &ProcessSettings) -> Result<OpenedDisk, ControlError> {
    let path = settings.data_directory.as_deref().ok_or(ControlError::NoDataDirectory)?;
    finish_clearing(path).map_err(ControlError::DataDirectory)?;
    let (mut store, mut recovered) = open_store(path)?;
    if let Some(identity) = recovered.identity {
        let restored = restored(recovered).map_err(ControlError::Stored)?;
        return Ok(OpenedDisk { store, id: identity.node_id, restored });
    }
    if recovered != Recovered::default() {
        // A founding that was interrupted: no vote was given under it.
        drop(store);
        clear(settings)?;
        (store, recovered) = open_store(path)?;
    }
    debug_assert_eq!(recovered, Recovered::default());
    if let Some(membership) = founders(settings) {
        let id = founder_id(settings.ip);
        let restored = Node::bootstrap(membership);
        found(&mut store, id, &restored)?;
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

/// The members of the group at its first start, if this process is one of them.
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

/// Draws an identity that this machine has never used.
pub fn unused_id(ip: Ipv4Addr) -> NodeId {
    (u64::from(fastrand::u32(1..)) << ADDRESS_BITS) | founder_id(ip)
}

/// Clears the disk and writes the first log of a group of these members, of whom this process is `id`.
///
/// # Errors
///
/// Fails if the disk does. It is empty then, or holds the complete founding.
pub fn found_group(
    settings: &ProcessSettings,
    id: NodeId,
    membership: Membership,
) -> Result<(), ControlError> {
    clear(settings)?;
    let path = settings.data_directory.as_deref().ok_or(ControlError::NoDataDirectory)?;
    let (mut store, _) = open_store(path)?;
    found(&mut store, id, &Node::bootstrap_again(membership))
}

/// Writes the first log. The identity goes last: without it the disk still counts as empty.
fn found(store: &mut Store<FileDirectory>, id: NodeId, restored: &Restored) -> Result<(), ControlError> {
    if let Some(snapshot) = &restored.snapshot {
        store.save_snapshot(&snapshot_to_stored(snapshot))?;
    }
    let first = restored.entries.first().map(|entry| entry.index);
    let batch = write_batch(Some(&restored.hard_state), first, restored.entries.clone());
    store.write(&batch)?;
    store.write_identity(&Identity { node_id: id })?;
    Ok(())
}

/// Clears the disk of an identity that the group has removed: the process joins as a new one.
pub fn clear(settings: &ProcessSettings) -> Result<(), ControlError> {
    let path = settings.data_directory.as_deref().ok_or(ControlError::NoDataDirectory)?;
    begin_clearing(path).and_then(|()| finish_clearing(path)).map_err(ControlError::DataDirectory)
}

/// Marks the folder durably as being cleared, so that a loss of power in between leaves no part of a log.
fn begin_clearing(path: &Path) -> io::Result<()> {
    File::create(path.join(CLEARING))?.sync_all()?;
    File::open(path)?.sync_all()
}

/// Clears the folder, if it is marked.
fn finish_clearing(path: &Path) -> io::Result<()> {
    let marker = path.join(CLEARING);
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
