//! Addresses on loopback: each gateway has its own for each server and the list, where a relay stands.

use program_support::config::Errors;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener as Reserved};

/// The servers whose addresses fit.
pub const MOST_SERVERS: u32 = 140;

/// Addresses on loopback of all that takes part, at one port.
pub struct Addresses {
    port: u16,
    /// Nobody else gets the port meanwhile.
    _held: Reserved,
}

impl Addresses {
    pub fn new() -> Result<Self, Errors> {
        let failed = |e: io::Error| Errors::single(format!("no port on loopback: {e}"));
        let held = Reserved::bind("127.0.0.1:0").map_err(failed)?;
        Ok(Addresses { port: held.local_addr().map_err(failed)?.port(), _held: held })
    }

    fn at(&self, ip: [u8; 4]) -> SocketAddr {
        (Ipv4Addr::from(ip), self.port).into()
    }

    /// Where clients reach a gateway.
    pub fn gateway(&self, n: usize) -> SocketAddr {
        self.at([127, 99, (n / 200) as u8, (n % 200) as u8 + 1])
    }

    /// Where its operators do.
    pub fn operators(&self, n: usize) -> SocketAddr {
        self.at([127, 98, (n / 200) as u8, (n % 200) as u8 + 1])
    }

    /// Where a gateway finds what it calls. The second and third part say who calls.
    pub fn of(&self, gateway: usize, target: Target) -> SocketAddr {
        let last = match target {
            Target::Server(n) => 100 + n as u8,
            Target::List => 250,
        };
        self.at([127, 100 + (gateway / 100) as u8, 100 + (gateway % 100) as u8, last])
    }

    /// Where a server is for anybody: readers of the list get [`Addresses::seen`] of it.
    pub fn anybody(&self, server: usize) -> SocketAddr {
        self.at([127, 199, 199, 100 + server as u8])
    }

    /// The list as a gateway is to see it: no byte longer or shorter.
    pub fn seen(gateway: usize) -> [u8; 12] {
        let text = format!("127.{}.{}.", 100 + gateway / 100, 100 + gateway % 100);
        text.as_bytes().try_into().unwrap_or(*ANYBODY)
    }
}

/// What stands in lists for [`Addresses::seen`].
pub const ANYBODY: &[u8; 12] = b"127.199.199.";

/// What gateways call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Server(usize),
    List,
}
