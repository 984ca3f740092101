//! Addresses for programs that cannot listen on port 0.
//!
//! A port that is free at one moment may be taken at the next, by a socket that binds port 0 or as the source
//! port of an outgoing connection. The kernel takes both from its ephemeral range. This module therefore
//! hands out ports below that range, each at most once per process.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, PoisonError};

/// The lowest port that may be handed out.
const FIRST_PORT: u16 = 12_000;
/// The number of ports that may be handed out. All are below the ephemeral range of Linux, which starts at
/// 32,768.
const PORT_COUNT: u16 = 20_000;
/// The distance between the first ports of processes with consecutive ids.
const PORTS_PER_PROCESS: u32 = 61;

/// How many ports have been tried so far.
static HANDED_OUT: AtomicU16 = AtomicU16::new(0);
/// Held while an address is tested, and while a process is started. A process that is being started holds a
/// copy of every open socket until its program runs, and a copied test socket would keep the address in use.
static PROCESS_START: Mutex<()> = Mutex::new(());

/// Starts a process so that it does not keep an address in use that is being reserved.
///
/// # Errors
///
/// The operating system's error, if the process cannot be started.
pub fn start_process(command: &mut Command) -> io::Result<Child> {
    // The lock protects no data, so a poisoned lock can be used.
    let _guard = PROCESS_START.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

/// A loopback address that is free, and that the kernel does not give to other sockets.
///
/// # Panics
///
/// If every port of the range is in use.
pub fn reserved_address() -> SocketAddr {
    let start = std::process::id().wrapping_mul(PORTS_PER_PROCESS) % u32::from(PORT_COUNT);
    loop {
        let number = HANDED_OUT.fetch_add(1, Ordering::Relaxed);
        assert!(
            number < PORT_COUNT,
            "no port from {FIRST_PORT} on is free: stop the programs that listen there"
        );
        let offset = (start + u32::from(number)) % u32::from(PORT_COUNT);
        let port = FIRST_PORT + u16::try_from(offset).expect("an offset within the range");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let _guard = PROCESS_START.lock().unwrap_or_else(PoisonError::into_inner);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
