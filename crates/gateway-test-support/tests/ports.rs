//! Reserved addresses are distinct, and outside the range from which the kernel assigns ports.

use gateway_test_support::reserved_address;
use std::collections::BTreeSet;
use std::net::TcpListener;

const ADDRESSES: usize = 200;

/// The lowest port that the kernel assigns to sockets that bind port 0.
fn first_ephemeral_port() -> u16 {
    let text = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap();
    text.split_whitespace().next().unwrap().parse().unwrap()
}

#[test]
fn reserves_no_address_twice() {
    let handles: Vec<_> = (0..4)
        .map(|_| std::thread::spawn(|| (0..ADDRESSES).map(|_| reserved_address()).collect::<Vec<_>>()))
        .collect();
    let addresses: Vec<_> = handles.into_iter().flat_map(|handle| handle.join().unwrap()).collect();
    let distinct: BTreeSet<_> = addresses.iter().collect();
    assert_eq!(distinct.len(), addresses.len());
}

#[test]
fn reserved_ports_are_free_and_below_the_ephemeral_range() {
    let ephemeral = first_ephemeral_port();
    for _ in 0..ADDRESSES {
        let address = reserved_address();
        assert!(
            address.port() < ephemeral,
            "{address} is in the ephemeral range, which starts at {ephemeral}"
        );
        TcpListener::bind(address).expect("the address is free");
    }
}
