//! The identity of a core process, taken from its disk in the same way as in the control role.

use consensus::{Member, Membership, Node, NodeId, Restored};
use fastrand::Rng;
use log_records::{restored_from_stored, write_batch};
use messages::FrameError;
use storage::model::ModelDirectory;
use storage::{Identity, Recovered, StorageError, Store, StoreOptions};

/// Number of low bits of an identity that hold the machine's address.
const ADDRESS_BITS: u32 = 32;
/// Size at which a new log segment begins. The small size makes simulated days reach it.
const SEGMENT_BYTES: u64 = 64 * 1024;
/// Port for peers.
const PEER_PORT: u16 = 7_660;
/// Port of the operator's API.
const CONTROL_PORT: u16 = 8_146;
/// IPv4 address of the first core machine.
const FIRST_ADDRESS: u32 = 0x0a01_0001;

/// Result of opening a disk.
pub struct Opened {
    /// The store on the disk.
    pub store: Store<ModelDirectory>,
    /// The process's identity.
    pub id: NodeId,
    /// The consensus state that was restored from the disk.
    pub restored: Restored,
}

/// The address of a core machine for peers.
pub fn peer_address(machine: usize) -> String {
    format!("{}:{PEER_PORT}", ip(machine))
}

/// The address of a core machine for the operator.
pub fn control_address(machine: usize) -> String {
    format!("{}:{CONTROL_PORT}", ip(machine))
}

fn ip(machine: usize) -> std::net::Ipv4Addr {
    std::net::Ipv4Addr::from(FIRST_ADDRESS + machine as u32)
}

/// The core machine at an address, for peers or for the operator.
pub fn machine_at(address: &str) -> Option<usize> {
    let address: std::net::SocketAddrV4 = address.parse().ok()?;
    u32::from(*address.ip()).checked_sub(FIRST_ADDRESS).map(|machine| machine as usize)
}

fn founder_id(machine: usize) -> NodeId {
    u64::from(FIRST_ADDRESS + machine as u32)
}

/// The membership entry of a machine's process.
pub fn member(machine: usize, id: NodeId, voter: bool) -> Member {
    Member { id, address: peer_address(machine), control: control_address(machine), voter }
}

/// Opens a disk. `founders` are the machines of the first start; the list is empty on later starts.
pub fn open(
    directory: &ModelDirectory,
    machine: usize,
    founders: &[usize],
    rng: &mut Rng,
) -> Result<Opened, StorageError> {
    let options = StoreOptions { segment_bytes: SEGMENT_BYTES };
    let (mut store, mut recovered) = Store::open(directory.clone(), options)?;
    if let Some(identity) = recovered.identity {
        let restored = restored_from_stored(recovered).map_err(unreadable)?;
        return Ok(Opened { store, id: identity.node_id, restored });
    }
    if recovered != Recovered::default() {
        // An interrupted creation of the first log; nothing was acknowledged on its basis.
        directory.erase();
        (store, recovered) = Store::open(directory.clone(), options)?;
    }
    debug_assert_eq!(recovered, Recovered::default());
    if founders.contains(&machine) {
        let members = founders.iter().map(|founder| member(*founder, founder_id(*founder), true));
        let restored = Node::bootstrap(Membership { members: members.collect() });
        let id = founder_id(machine);
        write_first_log(&mut store, id, &restored)?;
        return Ok(Opened { store, id, restored });
    }
    let id = (u64::from(rng.u32(1..)) << ADDRESS_BITS) | founder_id(machine);
    store.write_identity(&Identity { node_id: id })?;
    Ok(Opened { store, id, restored: Restored::default() })
}

/// The error for a record that has a valid checksum but cannot be decoded.
fn unreadable(_: FrameError) -> StorageError {
    StorageError::Corrupt { file: "log".to_owned(), offset: 0, reason: "a record is no whole message" }
}

/// Writes the first log. The identity is written last: without it the disk still counts as empty.
fn write_first_log(
    store: &mut Store<ModelDirectory>,
    id: NodeId,
    restored: &Restored,
) -> Result<(), StorageError> {
    let first = restored.entries.first().map(|entry| entry.index);
    let batch = write_batch(Some(&restored.hard_state), first, restored.entries.clone());
    store.write(&batch)?;
    store.write_identity(&Identity { node_id: id })
}
