//! Tests of parsing list responses.

use super::*;
use crate::list::entry;
use gateway_protocol::list::State;

#[test]
fn parses_responses_split_into_chunks() {
    let list = List { rev: 4, all: true, targets: vec![entry(0, String::new(), "a", 0, State::Ready, 0)] };
    let body = serde_json::to_string(&list).unwrap();
    let text = format!(
        "HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno\
         HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut list_responses = ListResponses::default();
    let responses: Vec<ListResponse> =
        text.as_bytes().chunks(7).flat_map(|chunk| list_responses.feed(chunk)).collect();
    assert!(
        matches!(&responses[..], [ListResponse::Other, ListResponse::List(received)] if *received == list)
    );
}
