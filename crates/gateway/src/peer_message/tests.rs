//! Golden test: every message between two processes of a gateway is parsed, and serialized to the same bytes.
//!
//! `tests/golden/peer_messages.jsonl` holds one message of each kind, with every field. The other process may
//! be of another version, so the file must not change; a new kind gets a new line.

use super::*;

const GOLDEN: &str = include_str!("../../tests/golden/peer_messages.jsonl");

/// Returns the name of a message's kind on the wire. All kinds are listed, so that a new kind must be added
/// here.
fn kind(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Hello => "Hello",
        PeerMessage::State(_) => "State",
        PeerMessage::Ready => "Ready",
        PeerMessage::Share(_) => "Share",
        PeerMessage::Disable { .. } => "Disable",
        PeerMessage::Enable { .. } => "Enable",
        PeerMessage::Away { .. } => "Away",
    }
}

#[test]
fn peer_messages_keep_their_encoding() {
    let mut kinds = Vec::new();
    for line in GOLDEN.lines() {
        let message: PeerMessage = serde_json::from_str(line).unwrap_or_else(|e| panic!("{e}: {line}"));
        assert_eq!(serde_json::to_string(&message).unwrap(), line);
        assert!(line.trim_start_matches('{').starts_with(&format!("\"{}\"", kind(&message))), "{line}");
        kinds.push(kind(&message));
    }
    assert_eq!(kinds, ["Hello", "State", "Ready", "Share", "Disable", "Enable", "Away"]);
}

/// A message is one line, so that a process of any version finds its end.
#[test]
fn messages_contain_no_line_breaks() {
    let server: Name = "a\nb".into();
    let line = serde_json::to_string(&PeerMessage::Disable { server }).unwrap();
    assert_eq!(line, r#"{"Disable":{"server":"a\nb"}}"#);
}
