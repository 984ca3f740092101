//! A reserved address is free also while other threads start processes, which hold copies of all open sockets until the
//! system has begun to run their programs.

use gateway_test_support::{reserved_address, start_process};
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

const ADDRESSES: usize = 2_000;
const STARTERS: usize = 8;

#[test]
fn a_reserved_address_is_free_while_processes_are_started() {
    let is_over = AtomicBool::new(false);
    let taken = std::thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let mut child = start_process(&mut Command::new("true")).expect("true runs");
                    child.wait().expect("it ends");
                }
            });
        }
        let taken = (0..ADDRESSES).filter(|_| TcpListener::bind(reserved_address()).is_err()).count();
        is_over.store(true, Ordering::Relaxed);
        taken
    });
    assert_eq!(taken, 0, "of {ADDRESSES} reserved addresses");
}
