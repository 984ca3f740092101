//! The end of a program: what it prints, how errors are reported, and its exit code.

use crate::config::Errors;
use crate::log;
use std::io::{self, Write};
use std::process::ExitCode;

/// Writes to standard output.
///
/// # Errors
///
/// Whoever reads it has left.
pub fn print(text: impl AsRef<[u8]>) -> Result<(), Errors> {
    let mut out = io::stdout().lock();
    let written = out.write_all(text.as_ref()).and_then(|()| out.flush());
    written.map_err(|e| Errors::single(format!("standard output: {e}")))
}

/// Prints what is wrong on standard error, one line each, flushes the log and returns the exit code: that of `done`, or 1.
pub fn finish(name: &str, done: Result<ExitCode, Errors>) -> ExitCode {
    let code = done.unwrap_or_else(|wrong| {
        for what in wrong.0 {
            // Whoever reads errors may be gone.
            let _ = writeln!(io::stderr(), "{name}: {what}");
        }
        ExitCode::FAILURE
    });
    log::get().inspect(|log| log.flush());
    code
}
