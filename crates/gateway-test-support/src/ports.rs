//! Addresses for programs that cannot be told to listen on port 0.
//!
//! A port that is merely free at one moment may be taken at the next, by another socket that binds port 0 or
//! as the source port of an outgoing connection. Both draw from the kernel's ephemeral range, so ports
//! below that range are handed out here, each at most once in a process.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, PoisonError};

/// The lowest port that is handed out.
const FIRST_PORT: u16 = 12_000;
/// How many ports there are; all of them are below the ephemeral range of Linux, which starts at 32,768.
const PORT_COUNT: u16 = 20_000;
/// How far apart the first ports of processes with neighbouring ids lie.
const PORTS_PER_PROCESS: u32 = 61;

static HANDED_OUT: AtomicU16 = AtomicU16::new(0);
/// Held while an address is tried out, and while a process is started: a process that is being started holds a copy of
/// every open socket until its program runs, and with it the address.
static PROCESS_START: Mutex<()> = Mutex::new(());

/// Starts a process that holds no address which is being reserved.
///
/// # Errors
///
/// What the operating system reports.
pub fn start_process(command: &mut Command) -> io::Result<Child> {
    // Nothing is left half done by a thread that panics here.
    let _guard = PROCESS_START.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

/// A loopback address on which nobody listens and that no other socket is given by the kernel.
///
/// # Panics
/// When every port of the range is in use.
pub fn reserved_address() -> SocketAddr {
    let start = std::process::id().wrapping_mul(PORTS_PER_PROCESS) % u32::from(PORT_COUNT);
    loop {
        let number = HANDED_OUT.fetch_add(1, Ordering::Relaxed);
        assert!(number < PORT_COUNT, "no port from {FIRST_PORT} on is free: end what listens there");
        let offset = (start + u32::from(number)) % u32::from(PORT_COUNT);
        let port = FIRST_PORT + u16::try_from(offset).expect("an offset within the range");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let _guard = PROCESS_START.lock().unwrap_or_else(PoisonError::into_inner);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
