//! An HTTP/1.1 client on persistent connections.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout for opening a connection, and for the next bytes of an answer.
const IO_TIMEOUT: Duration = Duration::from_secs(4);

/// A parsed HTTP response.
pub struct Answer {
    pub status: u16,
    pub body: String,
    /// Address in the `Location` header of a redirect.
    pub location: Option<SocketAddr>,
    /// Whether the server closes the connection after this answer.
    pub closes: bool,
}

/// Why a call got no answer.
#[derive(Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection cannot be opened.
    NotConnected,
    /// The connection ended before the first byte of an answer.
    ConnectionLost,
    /// The connection ended in the middle of an answer.
    Truncated,
    /// No bytes were received in time.
    Timeout,
}

/// A persistent connection, used until the server closes it.
pub struct Connection {
    address: SocketAddr,
    stream: TcpStream,
}

impl Connection {
    pub fn open(address: SocketAddr) -> Result<Self, Failure> {
        Connection::open_with_timeout(address, IO_TIMEOUT)
    }

    /// Opens a connection; `timeout` limits the opening and the wait for the next bytes of an answer.
    pub fn open_with_timeout(address: SocketAddr, timeout: Duration) -> Result<Self, Failure> {
        let stream = TcpStream::connect_timeout(&address, timeout).map_err(|_| Failure::NotConnected)?;
        stream.set_read_timeout(Some(timeout)).map_err(|_| Failure::NotConnected)?;
        Ok(Connection { address, stream })
    }

    /// Sends a request and reads the answer; `head` holds additional header lines.
    pub fn call(&mut self, method: &str, path: &str, head: &str, body: &str) -> Result<Answer, Failure> {
        let length = body.len();
        let request =
            format!("{method} {path} HTTP/1.1\r\n{head}Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}");
        self.stream.write_all(request.as_bytes()).map_err(|_| Failure::ConnectionLost)?;
        let mut received = Vec::new();
        loop {
            if let Some(answer) = parse(&received) {
                return Ok(answer);
            }
            let mut bytes = [0; 4_096];
            match self.stream.read(&mut bytes) {
                Ok(0) => {
                    return Err(if received.is_empty() {
                        Failure::ConnectionLost
                    } else {
                        Failure::Truncated
                    })
                }
                Ok(count) => received.extend_from_slice(&bytes[..count]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(Failure::Timeout);
                }
                Err(_) if received.is_empty() => return Err(Failure::ConnectionLost),
                Err(_) => return Err(Failure::Truncated),
            }
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Parses an answer; none while it is incomplete.
fn parse(bytes: &[u8]) -> Option<Answer> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let value = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let length: usize = value("content-length:").map_or(0, |length| length.parse().expect("a length"));
    let body = bytes.get(end + 4..end + 4 + length)?;
    let location = value("location: http://").and_then(|target| target.split('/').next()?.parse().ok());
    Some(Answer {
        status: head.split(' ').nth(1)?.parse().ok()?,
        body: String::from_utf8_lossy(body).into_owned(),
        location,
        closes: value("connection:") == Some("close"),
    })
}

/// Makes one call to the operator's configuration API and follows up to two redirects.
pub fn call_operator_api(address: SocketAddr, method: &str, head: &str, body: &str) -> Option<Answer> {
    let mut address = address;
    for _ in 0..3 {
        let head = format!("Host: {address}\r\n{head}");
        let answer = Connection::open(address)
            .and_then(|mut connection| connection.call(method, "/v1/config", &head, body));
        let answer = answer.ok()?;
        match answer.location.filter(|_| answer.status == 307) {
            Some(next) => address = next,
            None => return Some(answer),
        }
    }
    None
}
