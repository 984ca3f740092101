//! Writes response bodies, JSON documents, lines and tables to the output of a command.

use crate::client::Answer;
use crate::error::CtlError;
use crate::table::Table;
use serde::Serialize;
use std::io::Write;

/// Writes the body of an answer unchanged.
pub fn body(answer: &Answer, out: &mut dyn Write) -> Result<(), CtlError> {
    out.write_all(&answer.body).and_then(|()| out.write_all(b"\n")).map_err(CtlError::Output)
}

/// Writes a document as JSON.
pub fn json(document: &impl Serialize, out: &mut dyn Write) -> Result<(), CtlError> {
    let bytes = serde_json::to_vec(document).map_err(|error| CtlError::Output(error.into()))?;
    out.write_all(&bytes).and_then(|()| out.write_all(b"\n")).map_err(CtlError::Output)
}

/// Writes one line of text.
pub fn line(text: &str, out: &mut dyn Write) -> Result<(), CtlError> {
    writeln!(out, "{text}").map_err(CtlError::Output)
}

/// Writes a table.
pub fn table(table: &Table, out: &mut dyn Write) -> Result<(), CtlError> {
    table.write(out).map_err(CtlError::Output)
}
