//! Where the signals of the platform come from.

use process_signals::{ProcessSignals, Signal};
use tokio::sync::mpsc;

/// Where signals come from.
#[derive(Debug)]
pub enum SignalSource {
    /// The signals of this process.
    Process(ProcessSignals),
    /// A channel.
    Channel(mpsc::Receiver<Signal>),
}

impl SignalSource {
    /// The next signal; `None` once no more can arrive.
    pub async fn recv(&mut self) -> Option<Signal> {
        match self {
            SignalSource::Process(signals) => signals.recv().await,
            SignalSource::Channel(signals) => signals.recv().await,
        }
    }
}
