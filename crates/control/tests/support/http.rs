//! A client of the operator's API.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (field, value) = line.split_once(':')?;
            field.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// Makes one call to `/v1/config` on a connection of its own.
pub fn call(address: SocketAddr, method: &str, headers: &str, body: &[u8]) -> Reply {
    call_path(address, method, "/v1/config", headers, body)
}

/// Waits until the operator's API listens, which happens after the process listens for peers.
pub fn wait_for_api(address: SocketAddr) {
    let deadline = Instant::now() + super::TEST_TIMEOUT;
    while TcpStream::connect(address).is_err() {
        assert!(Instant::now() < deadline, "the operator's API does not listen on {address}");
    }
}

/// The status document of a process, as text.
pub fn status_text(address: SocketAddr) -> String {
    let reply = call_path(address, "GET", "/v1/admin/status", "", b"");
    String::from_utf8_lossy(&reply.body).into_owned()
}

fn call_path(address: SocketAddr, method: &str, path: &str, headers: &str, body: &[u8]) -> Reply {
    let mut stream = TcpStream::connect(address).expect("the operator's API listens");
    stream.set_read_timeout(Some(super::TEST_TIMEOUT)).expect("a time limit");
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("the API reads");
    stream.write_all(body).expect("the API reads");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).expect("a complete answer");
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n").expect("the end of the head");
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status");
    Reply { status, head, body: bytes[end + 4..].to_vec() }
}

/// Calls as the operator does: follows 307 and repeats the call after a 503.
pub fn call_until_final(first: SocketAddr, method: &str, headers: &str, body: &[u8]) -> Reply {
    let deadline = Instant::now() + super::TEST_TIMEOUT;
    let mut address = first;
    loop {
        let reply = call(address, method, headers, body);
        match reply.status {
            307 => address = target(&reply),
            503 => address = first,
            _ => return reply,
        }
        assert!(Instant::now() < deadline, "no final answer in time: {}", reply.head);
    }
}

/// The address in the location of a 307.
pub fn target(reply: &Reply) -> SocketAddr {
    let location = reply.header("location").expect("a 307 names a location");
    let rest = location.strip_prefix("http://").expect("a location by HTTP");
    let (address, path) = rest.split_once('/').expect("a path");
    assert_eq!(path, "v1/config");
    address.parse().expect("an address")
}
