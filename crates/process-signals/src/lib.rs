//! Signals of the platform to a process: SIGTERM, SIGINT and SIGHUP.
//!
//! Until a process has registered for them, each of the three ends it by its default action. So a program registers
//! before it does anything else, such as reading its settings, and hands the registration to the role that it runs.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::io;
use tokio::runtime::{Builder, Runtime};
use tokio::select;
use tokio::signal::unix::{self, SignalKind};

/// What the platform requests of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Shut down gracefully (SIGTERM, SIGINT).
    Stop,
    /// Read the settings file again (SIGHUP).
    Reload,
}

/// The signals of this process. One that arrives before [`ProcessSignals::recv`] is called is kept; several of a kind
/// may be reported as one.
#[derive(Debug)]
pub struct ProcessSignals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

impl ProcessSignals {
    /// Registers for the signals of this process, in place of their default actions.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses the registration.
    ///
    /// # Panics
    ///
    /// Must be called within a runtime that has input and output enabled.
    pub fn register() -> io::Result<Self> {
        Ok(ProcessSignals {
            terminate: unix::signal(SignalKind::terminate())?,
            interrupt: unix::signal(SignalKind::interrupt())?,
            hangup: unix::signal(SignalKind::hangup())?,
        })
    }

    /// The next signal; `None` once no more can arrive.
    pub async fn recv(&mut self) -> Option<Signal> {
        select! {
            Some(()) = self.terminate.recv() => Some(Signal::Stop),
            Some(()) = self.interrupt.recv() => Some(Signal::Stop),
            Some(()) = self.hangup.recv() => Some(Signal::Reload),
            else => None,
        }
    }
}

/// The runtime of a process on one thread, and its signals.
#[derive(Debug)]
pub struct ProcessRuntime {
    /// The runtime.
    pub runtime: Runtime,
    /// The signals, registered in it.
    pub signals: ProcessSignals,
}

impl ProcessRuntime {
    /// Starts the runtime and registers for the signals: the first thing that a process does.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses the runtime's descriptors or the registration.
    pub fn start() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let signals = {
            let _context = runtime.enter();
            ProcessSignals::register()?
        };
        Ok(ProcessRuntime { runtime, signals })
    }
}
