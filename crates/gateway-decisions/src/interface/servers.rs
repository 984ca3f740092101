//! The server list as discovery reports it.

use crate::interface::names::{Name, Time};
use serde::{Deserialize, Serialize};

/// State of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    /// The server takes requests.
    Up,
    /// The server finishes its requests and takes no new ones.
    Draining,
    /// The server is no longer listed.
    Removed,
}

/// One entry of the server list.
#[derive(Clone, Debug)]
pub struct Node {
    /// Name of the server.
    pub name: Name,
    /// Zone of the server.
    pub zone: u32,
    /// Cell of the server, a part of the zone.
    pub cell: u32,
    /// State of the server.
    pub health: Health,
    /// Capacity relative to a standard server (1.0).
    pub rating: f64,
    /// Time of the latest start; 0 if the server started long ago.
    pub since: Time,
}

impl Node {
    /// A standard server in zone 0 and cell 0 that started long ago.
    pub fn new(name: &str, health: Health) -> Self {
        Node { name: name.into(), zone: 0, cell: 0, health, rating: 1.0, since: 0 }
    }
}

/// How the entries of an update relate to the whole list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The entries that changed.
    Changes,
    /// The complete list.
    Full,
    /// The complete list as last known, possibly outdated.
    Cached,
    /// No entries: a call to discovery failed, or the subscription broke.
    Failed,
}
