//! The control role: operator's API, discovery of workers, calls to workers, hosting of consensus and scheduler.
//!
//! This crate is a thin driver. All decisions are in `consensus` (who leads, what is committed) and `scheduler` (what
//! jobs and workers are owed); here are their clock, their disk, their links, and the loop that joins them.

mod admin;
mod clients;
mod clock;
pub mod connection_budget;
pub mod convert;
mod core_links;
mod decisions;
mod dispatch;
mod driver;
mod error;
pub mod events;
pub mod hosting;
pub mod http;
mod identity;
pub mod joining;
mod leading;
pub mod metrics;
mod operator_api;
mod operators;
pub mod peers;
pub mod platform;
pub mod platform_pace;
pub mod platform_pages;
mod settings_file;
mod signals;
mod stopping;
pub mod worker_calls;
pub mod worker_client;
pub mod writer;

pub use error::ControlError;
pub use scheduler::leader::{Mechanism, Mechanisms};
pub use signals::Signal;

use clients::Clients;
use clock::Clock;
use configuration::ProcessSettings;
use driver::{Driver, Ending, Surroundings};
use std::path::PathBuf;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::timeout;

/// Events of tasks that may wait for the driver; beyond them the tasks wait, and with them their peers.
const MAX_WAITING_EVENTS: usize = 1_024;
/// How long callers of the operator's API may take to read their answers at the end.
const API_CLOSE_TIME: Duration = Duration::from_millis(300);

/// Runs the control role until the platform asks it to stop.
pub fn run(
    settings: ProcessSettings,
    settings_path: PathBuf,
    mechanisms: Mechanisms,
) -> Result<(), ControlError> {
    run_with_signals(settings, settings_path, mechanisms, None)
}

/// As `run`, but with signals from a channel in place of the process's own.
pub fn run_with_signals(
    settings: ProcessSettings,
    settings_path: PathBuf,
    mechanisms: Mechanisms,
    signals: Option<mpsc::Receiver<Signal>>,
) -> Result<(), ControlError> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(ControlError::Runtime)?;
    let local = LocalSet::new();
    let ended = local.block_on(&runtime, serve(settings, settings_path, mechanisms, signals));
    runtime.shutdown_background();
    ended
}

async fn serve(
    settings: ProcessSettings,
    settings_path: PathBuf,
    mechanisms: Mechanisms,
    signals: Option<mpsc::Receiver<Signal>>,
) -> Result<(), ControlError> {
    let (sender, events) = mpsc::channel(MAX_WAITING_EVENTS);
    let mut surroundings = Surroundings { clock: Clock::start(), settings_path, mechanisms, sender, events };
    let sender = &surroundings.sender;
    match signals {
        Some(signals) => signals::pass_on(signals, sender.clone()),
        None => signals::watch(sender.clone()).map_err(ControlError::Runtime)?,
    }
    let own_address = identity::peer_address(&settings, settings.ip);
    let listener =
        peers::listener::bind(own_address).map_err(|error| ControlError::Listen(own_address, error))?;
    let control = settings.listen.control.ok_or(ControlError::NoControlAddress)?;
    let api = operator_api::serve(control.into(), sender.clone())?;
    spawn_local(peers::listener::accept(listener, sender.clone()));
    let mut settings = settings;
    let mut clients = Clients::default();
    loop {
        let mut driver = Driver::start(settings, &surroundings, clients)?;
        match driver.run(&mut surroundings.events).await {
            Ending::Stopped => break,
            Ending::Failed(error) => return Err(error),
            Ending::Removed => {
                log::warn!("the group has removed this process: it joins anew, with a cleared disk")
            }
        }
        (settings, clients) = driver.into_parts();
        identity::clear(&settings)?;
        // The group exists: whoever begins with an empty disk now joins it.
        settings.bootstrap = false;
    }
    // Answers that were just given still have to be written.
    if timeout(API_CLOSE_TIME, api.close()).await.is_err() {
        log::info!("callers of the operator's API were still connected at the end");
    }
    Ok(())
}
