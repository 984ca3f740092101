//! Loopback addresses. Each gateway reaches each server and the list service at an address of its own, where
//! a relay listens.

use program_support::config::Errors;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener as Reserved};

/// The largest number of servers that the address scheme has room for.
pub const MAX_SERVERS: u32 = 140;

/// The loopback addresses of all participants of a trial. They share one port number.
pub struct Addresses {
    port: u16,
    /// Holds the port so that no other process is given it during the trial.
    _held: Reserved,
}

impl Addresses {
    /// Reserves a free port.
    pub fn new() -> Result<Self, Errors> {
        let failed = |e: io::Error| Errors::single(format!("reserving a port on loopback: {e}"));
        let held = Reserved::bind("127.0.0.1:0").map_err(failed)?;
        Ok(Addresses { port: held.local_addr().map_err(failed)?.port(), _held: held })
    }

    fn at(&self, ip: [u8; 4]) -> SocketAddr {
        (Ipv4Addr::from(ip), self.port).into()
    }

    /// The address at which clients reach a gateway.
    pub fn gateway(&self, n: usize) -> SocketAddr {
        self.at([127, 99, (n / 200) as u8, (n % 200) as u8 + 1])
    }

    /// The address at which operators reach a gateway.
    pub fn operators(&self, n: usize) -> SocketAddr {
        self.at([127, 98, (n / 200) as u8, (n % 200) as u8 + 1])
    }

    /// The relay address at which a gateway reaches a target. The second and third octet identify the
    /// gateway.
    pub fn relay(&self, gateway: usize, target: Target) -> SocketAddr {
        let last = match target {
            Target::Server(n) => 100 + n as u8,
            Target::List => 250,
        };
        self.at([127, 100 + (gateway / 100) as u8, 100 + (gateway % 100) as u8, last])
    }

    /// A server's address with the placeholder prefix. Each gateway that reads the list gets
    /// [`Addresses::gateway_prefix`] in its place.
    pub fn placeholder(&self, server: usize) -> SocketAddr {
        self.at([127, 199, 199, 100 + server as u8])
    }

    /// The address prefix that replaces [`ADDRESS_PLACEHOLDER`] in the list for a gateway. Both have the same
    /// length, so that the length of an HTTP body does not change.
    pub fn gateway_prefix(gateway: usize) -> [u8; 12] {
        let text = format!("127.{}.{}.", 100 + gateway / 100, 100 + gateway % 100);
        text.as_bytes().try_into().unwrap_or(*ADDRESS_PLACEHOLDER)
    }
}

/// The address prefix in lists before it is replaced by [`Addresses::gateway_prefix`].
pub const ADDRESS_PLACEHOLDER: &[u8; 12] = b"127.199.199.";

/// What a gateway connects to through a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Server(usize),
    List,
}
