//! Writes JSON text directly into a string, for bodies that are sent frequently.

use std::fmt::Write;

/// Appends `text` as a JSON string, including the quotes. Escapes only quotes, backslashes and control
/// characters, so that a reader gets exactly the same text back.
pub(crate) fn push_string(out: &mut String, text: &str) {
    out.push('"');
    let mut copied = 0;
    for (position, byte) in text.bytes().enumerate() {
        if byte != b'"' && byte != b'\\' && byte >= 0x20 {
            continue;
        }
        out.push_str(&text[copied..position]);
        push_escaped(out, byte);
        copied = position + 1;
    }
    out.push_str(&text[copied..]);
    out.push('"');
}

fn push_escaped(out: &mut String, byte: u8) {
    match byte {
        b'"' => out.push_str("\\\""),
        b'\\' => out.push_str("\\\\"),
        b'\n' => out.push_str("\\n"),
        b'\r' => out.push_str("\\r"),
        b'\t' => out.push_str("\\t"),
        _ => write!(out, "\\u{byte:04x}").expect("writing to a string cannot fail"),
    }
}

/// Appends an integer.
pub(crate) fn push_integer(out: &mut String, number: u64) {
    write!(out, "{number}").expect("writing to a string cannot fail");
}
