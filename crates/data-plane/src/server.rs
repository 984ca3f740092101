//! Starts the servers and the forwarder of the data plane role, and handles signals.

use crate::client_server::ClientServer;
use crate::clients::ClientRegistry;
use crate::drain::{drain, Draining};
use crate::error::DataPlaneError;
use crate::listener::listen;
use crate::options::{peer_addresses, DataPlaneOptions, DrainTimes};
use crate::readiness::Readiness;
use crate::upstream::Forwarder;
use configuration::ProcessSettings;
use process_signals::{ProcessSignals, Signal};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, AbortHandle};

/// Capacity of the channel for signals.
const SIGNAL_CHANNEL_CAPACITY: usize = 4;

/// The running data plane role. Must be used on one thread, within a `LocalSet`.
pub struct DataPlane {
    forwarder: Rc<Forwarder>,
    clients: Rc<ClientRegistry>,
    draining: Rc<Draining>,
    drain_times: DrainTimes,
    accept_task: AbortHandle,
    client_address: SocketAddr,
    readiness_address: SocketAddr,
}

impl DataPlane {
    /// Opens the listening sockets and starts to serve.
    ///
    /// # Errors
    ///
    /// An address cannot be listened on.
    pub fn start(options: DataPlaneOptions) -> Result<Self, DataPlaneError> {
        let client_listener = listen(options.client_address)?;
        let readiness_listener = listen(options.readiness_address)?;
        let client_address = client_listener.local_addr()?;
        let readiness_address = readiness_listener.local_addr()?;
        log::info!("data plane {} serves at {client_address}", options.upstream.node_name);
        let forwarder = Forwarder::start(options.upstream, options.seeds);
        let body_timeout = options.clients.header_timeout;
        let clients = ClientRegistry::new(options.clients);
        let draining = Rc::new(Draining::default());
        let client_server =
            ClientServer::new(forwarder.clone(), clients.clone(), draining.clone(), body_timeout);
        let readiness = Readiness::new(forwarder.clone(), draining.clone());
        let accept_task = spawn_local(client_server.clone().accept_clients(client_listener)).abort_handle();
        spawn_local(client_server.sweep_clients());
        spawn_local(readiness.accept_checks(readiness_listener));
        Ok(DataPlane {
            forwarder,
            clients,
            draining,
            drain_times: options.drain,
            accept_task,
            client_address,
            readiness_address,
        })
    }

    /// The listening address for clients.
    pub fn client_address(&self) -> SocketAddr {
        self.client_address
    }

    /// The listening address for readiness checks.
    pub fn readiness_address(&self) -> SocketAddr {
        self.readiness_address
    }

    /// Serves until a stop signal is received, then shuts down gracefully.
    pub async fn run(&self, settings_path: PathBuf, mut signals: mpsc::Receiver<Signal>) {
        loop {
            tokio::select! {
                received = signals.recv() => match received {
                    Some(Signal::Reload) => self.reload(&settings_path),
                    Some(Signal::Stop) | None => break,
                },
                () = self.forwarder.seed_refresh_needed() => self.reload(&settings_path),
            }
        }
        drain(&self.draining, &self.drain_times, &self.accept_task, &self.clients, &self.forwarder).await;
    }

    /// Reads the seed nodes from the settings file again; after an error the previous seeds stay in use.
    fn reload(&self, settings_path: &Path) {
        match read_seeds(settings_path) {
            Ok(seeds) => self.forwarder.set_seeds(seeds),
            Err(reason) => log::warn!("cannot reload the settings, the previous ones stay in use: {reason}"),
        }
    }
}

fn read_seeds(settings_path: &Path) -> Result<Vec<SocketAddr>, String> {
    let text = std::fs::read_to_string(settings_path)
        .map_err(|error| format!("{} cannot be read ({error})", settings_path.display()))?;
    let settings = ProcessSettings::read(&text).map_err(|error| error.to_string())?;
    Ok(peer_addresses(&settings))
}

/// Forwards the signals of the process to a channel, as [`DataPlane::run`] expects them.
pub fn forward_signals(mut signals: ProcessSignals) -> mpsc::Receiver<Signal> {
    let (sender, receiver) = mpsc::channel(SIGNAL_CHANNEL_CAPACITY);
    spawn_local(async move {
        while let Some(signal) = signals.recv().await {
            if sender.send(signal).await.is_err() {
                return;
            }
        }
    });
    receiver
}
