//! Reserved addresses must stay free while other threads start processes. A process that is being started
//! holds copies of all open sockets until its program runs.

use gateway_test_support::{reserved_address, start_process};
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

const ADDRESSES: usize = 2_000;
const STARTERS: usize = 8;

#[test]
fn reserved_addresses_are_free_while_processes_start() {
    let is_over = AtomicBool::new(false);
    let taken = std::thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let mut child = start_process(&mut Command::new("true")).expect("true runs");
                    child.wait().expect("true ends");
                }
            });
        }
        let taken = (0..ADDRESSES).filter(|_| TcpListener::bind(reserved_address()).is_err()).count();
        is_over.store(true, Ordering::Relaxed);
        taken
    });
    assert_eq!(taken, 0, "of {ADDRESSES} reserved addresses");
}
