//! The source of the platform's signals.

use process_signals::{ProcessSignals, Signal};
use tokio::sync::mpsc;

/// The source of signals.
#[derive(Debug)]
pub enum SignalSource {
    /// Signals that the operating system sends to this process.
    Process(ProcessSignals),
    /// Signals from a channel.
    Channel(mpsc::Receiver<Signal>),
}

impl SignalSource {
    /// Waits for the next signal; `None` once no more can arrive.
    pub async fn recv(&mut self) -> Option<Signal> {
        match self {
            SignalSource::Process(signals) => signals.recv().await,
            SignalSource::Channel(signals) => signals.recv().await,
        }
    }
}
