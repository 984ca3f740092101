//! The simulated platform and workers on a thread of their own, for tests of the whole system.

use crate::error::DemoError;
use crate::{platform, worker};
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::JoinHandle;
use tokio::runtime::Builder;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

/// A running platform with its workers. They end when the value is dropped.
pub struct StandIns {
    platform: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl StandIns {
    /// Starts `workers` workers of [`crate::SERVICE`] and a platform that lists them.
    ///
    /// # Errors
    ///
    /// A [`DemoError`] if the runtime or a server cannot start.
    pub fn start(workers: usize) -> Result<Self, DemoError> {
        let (started, start) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || run(workers, &started, stopped));
        let platform = start.recv().unwrap_or(Err(DemoError::StandInsEnded))?;
        Ok(StandIns { platform, stop: Some(stop), thread: Some(thread) })
    }

    /// The address of the platform, for `CloudApi` in the settings.
    pub fn platform(&self) -> SocketAddr {
        self.platform
    }
}

impl Drop for StandIns {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Serves until `stopped` ends. Sends the address of the platform, or why there is none.
fn run(
    workers: usize,
    started: &mpsc::Sender<Result<SocketAddr, DemoError>>,
    stopped: oneshot::Receiver<()>,
) {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return drop(started.send(Err(DemoError::Runtime(error)))),
    };
    LocalSet::new().block_on(&runtime, async {
        let platform = start_all(workers).await;
        let is_running = platform.is_ok();
        if started.send(platform).is_ok() && is_running {
            let _ = stopped.await;
        }
    });
}

async fn start_all(workers: usize) -> Result<SocketAddr, DemoError> {
    let mut listed = Vec::with_capacity(workers);
    for number in 0..workers {
        listed.push(worker::start(&format!("worker-{}", number + 1)).await?);
    }
    platform::start(&listed).await
}
