//! A client that writes and parses raw HTTP/1.1 bytes.

use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A parsed HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    /// Status line and headers, converted to lower case.
    pub head: String,
    pub body: String,
}

impl Answer {
    /// The value of a header; `name` must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let start = format!("{name}: ");
        self.head.lines().find_map(|line| line.strip_prefix(start.as_str()))
    }
}

/// A connection of a client.
pub struct Client {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Client {
    pub async fn connect(address: SocketAddr) -> Self {
        Client { stream: TcpStream::connect(address).await.unwrap(), unread: Vec::new() }
    }

    /// Sends a request with a timeout of three seconds.
    pub async fn send(&mut self, method: &str, path: &str, body: &str) {
        self.send_with_deadline(method, path, body, 3_000).await;
    }

    pub async fn send_with_deadline(&mut self, method: &str, path: &str, body: &str, deadline_ms: u32) {
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n\
             Content-Length: {length}\r\nX-Deadline-Ms: {deadline_ms}\r\n\r\n"
        );
        self.send_bytes(format!("{head}{body}").as_bytes()).await;
    }

    pub async fn send_bytes(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.unwrap();
    }

    /// Waits for the next answer; none if the connection ended before the answer was complete.
    pub async fn answer(&mut self) -> Option<Answer> {
        loop {
            if let Some(answer) = self.take_answer() {
                return Some(answer);
            }
            if self.stream.read_buf(&mut self.unread).await.unwrap_or(0) == 0 {
                return None;
            }
        }
    }

    /// Waits until the server sends bytes or closes the connection; returns whether it closed without sending
    /// any.
    pub async fn is_closed(&mut self) -> bool {
        self.unread.is_empty() && self.stream.read_buf(&mut self.unread).await.unwrap_or(0) == 0
    }

    fn take_answer(&mut self) -> Option<Answer> {
        let end = self.unread.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.unread[..end]).to_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.map_or(0, |length| length.trim().parse().unwrap());
        if self.unread.len() < end + length {
            return None;
        }
        let body = String::from_utf8_lossy(&self.unread[end..end + length]).into_owned();
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        self.unread.drain(..end + length);
        Some(Answer { status, head, body })
    }
}

/// Sends one request on a new connection and returns its answer.
pub async fn send_request(address: SocketAddr, method: &str, path: &str, body: &str) -> Answer {
    let mut client = Client::connect(address).await;
    client.send(method, path, body).await;
    client.answer().await.expect("an answer")
}
