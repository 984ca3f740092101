//! Parses the list service's responses from the bytes that a relay sends to a gateway.

use gateway_protocol::list::List;

#[cfg(test)]
mod tests;

/// The bytes sent over one connection from the list service that do not make a complete response yet.
#[derive(Default)]
pub struct ListResponses {
    bytes: Vec<u8>,
}

/// A complete response.
pub enum ListResponse {
    List(List),
    /// A rejection, or another response that holds no list.
    Other,
}

impl ListResponses {
    /// Adds sent bytes and returns the responses that they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<ListResponse> {
        self.bytes.extend_from_slice(bytes);
        let mut responses = Vec::new();
        while let Some((response, length)) = self.next_response() {
            responses.push(response);
            self.bytes.drain(..length);
        }
        responses
    }

    /// The first complete response and its length in bytes, if there is one.
    fn next_response(&self) -> Option<(ListResponse, usize)> {
        let end = self.bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&self.bytes[..end]).to_ascii_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
        let length: usize = length.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
        let body = self.bytes.get(end + 4..end + 4 + length)?;
        let is_ok = head.split(' ').nth(1) == Some("200");
        let list = List::parse(body).ok().filter(|_| is_ok);
        Some((list.map_or(ListResponse::Other, ListResponse::List), end + 4 + length))
    }
}
