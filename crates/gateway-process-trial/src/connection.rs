//! A gateway's connection through a relay: its observed state, and the interface to the services behind the
//! relay.

use crate::addresses::Target;
use crate::list_responses::ListResponses;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use tokio::io::DuplexStream;
use tokio::net::TcpStream;

/// The observed state of a connection between a gateway and a target.
pub struct Connection {
    pub gateway: usize,
    /// The time at which the gateway's last byte arrived, and the time at which it closed its sending side.
    pub last_read_ns: Cell<u64>,
    pub closed_at_ns: Cell<Option<u64>>,
    /// The request in flight on the connection, and the time at which its last byte arrived.
    pub in_flight: Cell<Option<(u64, u64)>>,
    /// Whether no request has arrived on the connection yet.
    pub unused: Cell<bool>,
    /// Parses the list service's responses on the connection.
    pub list_responses: RefCell<ListResponses>,
}

/// The services behind the relays.
pub trait LinkHandler {
    /// Connects to a target. Returns the far end of the connection, or `None` if the target is down.
    fn connect(
        self: Rc<Self>,
        target: Target,
        connection: Rc<Connection>,
    ) -> impl Future<Output = Option<FarEnd>>;
    /// The gateway closed its sending side, or the connection was reset (`reset`) with a request possibly in
    /// flight.
    fn gateway_closed(&self, connection: &Connection, reset: bool);
    /// These bytes of a list response were sent to the gateway.
    fn list_bytes_sent(&self, connection: &Connection, bytes: &[u8]);
    /// A relay failed and can accept no more connections.
    fn relay_failed(&self, error: String);
}

/// The far end of a connection, towards the target.
pub enum FarEnd {
    InProcess(DuplexStream),
    Tcp(TcpStream),
}
