//! Output, error reports and exit code of a program.

use crate::config::Errors;
use crate::log;
use std::io::{self, Write};
use std::process::ExitCode;

/// Writes to standard output.
///
/// # Errors
///
/// Standard output cannot be written, for example because its reader has closed the pipe.
pub fn print(text: impl AsRef<[u8]>) -> Result<(), Errors> {
    let mut out = io::stdout().lock();
    let written = out.write_all(text.as_ref()).and_then(|()| out.flush());
    written.map_err(|e| Errors::single(format!("standard output: {e}")))
}

/// Prints the errors on standard error, one line each, flushes the log and returns the exit code: that of
/// `done`, or 1.
pub fn finish(name: &str, done: Result<ExitCode, Errors>) -> ExitCode {
    let code = done.unwrap_or_else(|wrong| {
        for what in wrong.0 {
            // A failed write is ignored: the reader of standard error may have closed the pipe.
            let _ = writeln!(io::stderr(), "{name}: {what}");
        }
        ExitCode::FAILURE
    });
    log::get().inspect(|log| log.flush());
    code
}
