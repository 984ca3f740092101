//! The operators' command line for a running group of core processes.
//!
//! Each command calls the given `Control` addresses, follows redirects to the leader, and prints a table or,
//! with `--json`, the unchanged documents.

#![warn(missing_docs)]

mod arguments;
mod client;
mod commands;
mod configuration_commands;
mod configuration_diff;
mod error;
pub mod inspect;
mod job_text;
mod output;
mod table;

pub use error::CtlError;

use client::Client;
use std::io::Write;

/// Runs one command and writes its output to `out`. `arguments` are the words after `ctl`.
///
/// # Errors
///
/// A [`CtlError`] if the command line is invalid, the group rejects the command or gives no clear answer, or
/// `out` fails.
pub fn run(arguments: &[String], out: &mut dyn Write) -> Result<(), CtlError> {
    let arguments = match arguments::read(arguments)? {
        arguments::Request::Help(text) => return out.write_all(text.as_bytes()).map_err(CtlError::Output),
        arguments::Request::Run(arguments) => arguments,
    };
    let client = Client::new(arguments.control.clone(), arguments.timeout)?;
    commands::run(&arguments, &client, out)
}
