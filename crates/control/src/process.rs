//! Runs the control role as a process: its runtime, its listeners, and one driver after the other for its
//! successive identities.

use crate::clients::Clients;
use crate::clock::Clock;
use crate::disk_opening::DiskPreparation;
use crate::driver::{Driver, DriverExit, ProcessContext};
use crate::error::ControlError;
use crate::event_queue::event_queue;
use crate::events::DriverEvent;
use crate::signals::SignalSource;
use crate::{disk_opening, identity, operator_api, transport};
use configuration::ProcessSettings;
use process_signals::{ProcessRuntime, Signal};
use scheduler::leader::Mechanisms;
use std::path::PathBuf;
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::timeout;

/// How long the shutdown waits for callers of the operator's API to read their responses.
const API_CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Runs the control role in this process until the platform asks it to stop.
///
/// # Errors
///
/// Fails if a required setting is missing, if an address cannot be bound, or if the store fails in a way that
/// a retry does not fix. The platform is expected to start the process again.
pub fn run(
    process: ProcessRuntime,
    settings: ProcessSettings,
    settings_path: PathBuf,
    mechanisms: Mechanisms,
) -> Result<(), ControlError> {
    let ProcessRuntime { runtime, signals } = process;
    run_in(runtime, settings, settings_path, mechanisms, SignalSource::Process(signals))
}

/// Like `run`, but receives signals from a channel instead of the operating system.
///
/// # Errors
///
/// As for `run`.
pub fn run_with_signals(
    settings: ProcessSettings,
    settings_path: PathBuf,
    mechanisms: Mechanisms,
    signals: mpsc::Receiver<Signal>,
) -> Result<(), ControlError> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(ControlError::Runtime)?;
    run_in(runtime, settings, settings_path, mechanisms, SignalSource::Channel(signals))
}

fn run_in(
    runtime: Runtime,
    settings: ProcessSettings,
    settings_path: PathBuf,
    mechanisms: Mechanisms,
    signals: SignalSource,
) -> Result<(), ControlError> {
    let local = LocalSet::new();
    let result = local.block_on(&runtime, serve(settings, settings_path, mechanisms, signals));
    runtime.shutdown_background();
    result
}

async fn serve(
    settings: ProcessSettings,
    settings_path: PathBuf,
    mechanisms: Mechanisms,
    signals: SignalSource,
) -> Result<(), ControlError> {
    let (sender, events) = event_queue();
    let mut context = ProcessContext { clock: Clock::start(), settings_path, mechanisms, sender, events };
    let sender = &context.sender;
    spawn_local(forward_signals(signals, sender.urgent().clone()));
    let peer_address = identity::peer_address(&settings, settings.ip);
    let listener =
        transport::listener::bind(peer_address).map_err(|error| ControlError::Listen(peer_address, error))?;
    let control = settings.listen.control.ok_or(ControlError::NoControlAddress)?;
    let api = operator_api::serve(control.into(), sender.clone())?;
    tokio::spawn(transport::listener::accept(listener, sender.clone()));
    run_drivers(settings, &mut context).await?;
    // The last replies may not have been written to their sockets yet.
    if timeout(API_CLOSE_TIMEOUT, api.close()).await.is_err() {
        log::info!("callers of the operator's API were still connected at shutdown");
    }
    Ok(())
}

/// Runs a driver for each successive identity of this process, until the process must stop.
async fn run_drivers(
    mut settings: ProcessSettings,
    context: &mut ProcessContext,
) -> Result<(), ControlError> {
    let mut clients = Clients::default();
    let mut preparation = DiskPreparation::None;
    loop {
        let opened = disk_opening::open(&settings, &preparation, &mut clients, &mut context.events).await?;
        let Some(opened) = opened else { return Ok(()) };
        let mut driver = Driver::start(opened, settings, context, clients)?;
        preparation = match driver.run(&mut context.events).await {
            DriverExit::Stopped => return Ok(()),
            DriverExit::Failed(error) => return Err(error),
            DriverExit::Removed => {
                log::warn!("the group has removed this process: clearing its disk and joining again");
                DiskPreparation::Clear
            }
            DriverExit::FoundGroup { id, membership } => {
                log::warn!("founding a group as {id:#x} by agreement of the seeds: no seed has found an existing one");
                DiskPreparation::WriteFirstLog { id, membership }
            }
        };
        (settings, clients) = driver.into_parts();
        // The group exists now: a process that starts with an empty disk from here on joins it.
        settings.bootstrap = false;
    }
}

/// Forwards signals to the driver until no more can arrive or the driver has ended.
async fn forward_signals(mut signals: SignalSource, events: mpsc::Sender<DriverEvent>) {
    while let Some(signal) = signals.recv().await {
        if events.send(DriverEvent::Signal(signal)).await.is_err() {
            return;
        }
    }
}
