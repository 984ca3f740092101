//! Handling of the signals that the platform sends to a process: SIGTERM, SIGINT and SIGHUP.
//!
//! The default action of each of these signals ends the process. A program therefore registers for them
//! before it does anything else, such as reading its settings, and passes the registration to the role that
//! it runs.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::io;
use tokio::runtime::{Builder, Runtime};
use tokio::select;
use tokio::signal::unix::{self, SignalKind};

/// Request that the platform sends to a process by a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Shut down gracefully (SIGTERM, SIGINT).
    Stop,
    /// Reload the settings file (SIGHUP).
    Reload,
}

/// Receiver of the signals of this process.
///
/// A signal that arrives before [`ProcessSignals::recv`] is called is kept. Several signals of the same kind
/// may be reported as one.
#[derive(Debug)]
pub struct ProcessSignals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

impl ProcessSignals {
    /// Registers for the signals of this process. The registration replaces their default actions.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses the registration.
    ///
    /// # Panics
    ///
    /// Panics if called outside a Tokio runtime, or in a runtime whose I/O driver is not enabled.
    pub fn register() -> io::Result<Self> {
        Ok(ProcessSignals {
            terminate: unix::signal(SignalKind::terminate())?,
            interrupt: unix::signal(SignalKind::interrupt())?,
            hangup: unix::signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal. Returns `None` once no more signals can arrive.
    pub async fn recv(&mut self) -> Option<Signal> {
        select! {
            Some(()) = self.terminate.recv() => Some(Signal::Stop),
            Some(()) = self.interrupt.recv() => Some(Signal::Stop),
            Some(()) = self.hangup.recv() => Some(Signal::Reload),
            else => None,
        }
    }
}

/// Single-threaded runtime of a process, with its signal registration.
#[derive(Debug)]
pub struct ProcessRuntime {
    /// The single-threaded runtime.
    pub runtime: Runtime,
    /// Signals, registered in `runtime`.
    pub signals: ProcessSignals,
}

impl ProcessRuntime {
    /// Starts the runtime and registers for the signals. A process calls this before anything else.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses the file descriptors of the runtime or the registration.
    pub fn start() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let signals = {
            let _context = runtime.enter();
            ProcessSignals::register()?
        };
        Ok(ProcessRuntime { runtime, signals })
    }
}
