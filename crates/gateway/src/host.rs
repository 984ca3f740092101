//! Assembles and runs one gateway.

use crate::backends::Backends;
use crate::config::Config;
use crate::discovery;
use crate::driver::{Driver, DriverError};
use crate::handover::{Handover, HandoverSocket};
use crate::ops::Ops;
use crate::peer_message::PeerMessage;
use crate::server::listener::{self, ListenError};
use crate::server::Server;
use quick_error::quick_error;
use std::convert::Infallible;
use std::future::Future;
use std::net::{SocketAddr, TcpListener as Inherited};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinError, JoinHandle};
use tokio::time::Instant;

quick_error! {
    /// Why a gateway does not start, or ends before it is stopped.
    #[derive(Debug)]
    pub enum HostError {
        /// The settings cannot be used.
        Driver(error: DriverError) {
            display("{error}")
            source(error)
            from()
        }
        /// The listener for clients cannot be opened.
        Clients(error: ListenError) {
            display("{error}")
            source(error)
        }
        /// The listener for operators cannot be opened.
        Operators(error: ListenError) {
            display("ops: {error}")
            source(error)
        }
        /// The driver's task, which runs as long as the process, has ended.
        DriverEnded(ended: Result<Infallible, JoinError>) {
            display("the driver ended: {ended:?}")
        }
    }
}

/// A gateway that listens but does not accept connections yet. It must be used on a local runtime.
pub struct Host {
    clients: TcpListener,
    operators: Option<SocketAddr>,
    driver: Rc<Driver>,
    server: Rc<Server>,
    reload_handle: ReloadHandle,
    driver_task: JoinHandle<Infallible>,
}

/// Applies a changed configuration while the gateway runs.
#[derive(Clone)]
pub struct ReloadHandle {
    discovery: watch::Sender<Vec<SocketAddr>>,
}

impl ReloadHandle {
    /// Applies the settings of a configuration that may change at run time; the others are fixed at the
    /// start.
    pub fn apply(&self, config: &Config) {
        self.discovery.send_if_modified(|at| {
            let changed = *at != config.discovery;
            at.clone_from(&config.discovery);
            changed
        });
    }
}

impl Host {
    /// Opens the listeners, takes over from a predecessor if there is one, and starts to watch the list.
    /// `inherited` is the clients' listening socket if the platform opened it.
    ///
    /// # Errors
    /// The settings are rejected, or an address cannot be listened on.
    pub async fn start(config: Config, inherited: Option<Inherited>) -> Result<Self, HostError> {
        let backends = Backends::new(&config);
        let driver = Driver::new(&config, backends.clone())?;
        // If all gateways call one discovery service, the cached list saves a call for the full list: a watch
        // returns what has changed since.
        let cached = config.cached_list.as_ref();
        let version = cached.filter(|list| list.all && config.settings.subscribe).map(|list| list.rev);
        let newest = cached.map_or(0, |list| list.rev);
        if let Some(list) = config.cached_list {
            driver.use_cached_list(list);
        }
        let clients = match inherited {
            Some(listener) => listener::adopt(listener),
            None => listener::listen(config.listen),
        };
        let clients = clients.map_err(HostError::Clients)?;
        if let Ok(address) = clients.local_addr() {
            tracing::info!("listening on {address}");
        }
        let server = Rc::new(Server::new(driver.clone(), backends.clone(), config.client_sockets));
        let operators = match config.ops {
            Some(address) => {
                let ops = Ops {
                    name: config.name.clone(),
                    started: Instant::now(),
                    driver: driver.clone(),
                    backends: backends.clone(),
                    server: server.clone(),
                };
                serve_operators(ops, address)?
            }
            None => None,
        };
        spawn_local(server.clone().enforce_client_drain());
        if let Some(handover_socket) = HandoverSocket::of(&config.name) {
            let handover = Handover { driver: driver.clone(), server: server.clone() };
            start_handover(&handover_socket, handover).await;
        }
        let (discovery, address) = watch::channel(config.discovery);
        spawn_local(discovery::watch(address, driver.clone(), version, newest, config.seed));
        spawn_local(backends.pool.clone().maintain());
        let driver_task = driver.clone();
        let driver_task = spawn_local(async move { driver_task.run().await });
        Ok(Host {
            clients,
            operators,
            driver,
            server,
            reload_handle: ReloadHandle { discovery },
            driver_task,
        })
    }

    /// Returns the address that clients connect to.
    pub fn clients(&self) -> std::io::Result<SocketAddr> {
        self.clients.local_addr()
    }

    /// Returns the address that operators call, if there is one.
    pub fn operators(&self) -> Option<SocketAddr> {
        self.operators
    }

    /// Returns a handle to apply a changed configuration while the gateway runs.
    pub fn reload_handle(&self) -> ReloadHandle {
        self.reload_handle.clone()
    }

    /// Serves clients until `stop`, then drains.
    ///
    /// # Errors
    /// The driver has ended, which must not happen.
    pub async fn serve(self, stop: impl Future<Output = ()>) -> Result<(), HostError> {
        // From now on this process accepts connections.
        self.driver.send_to_peer(PeerMessage::Ready);
        tokio::select! {
            lost = self.driver_task => Err(HostError::DriverEnded(lost)),
            () = self.server.accept(self.clients, stop) => Ok(()),
        }
    }
}

/// Opens the listener for operators and serves their calls. Returns the address that it listens on.
fn serve_operators(ops: Ops, address: SocketAddr) -> Result<Option<SocketAddr>, HostError> {
    let listener = listener::listen(address).map_err(HostError::Operators)?;
    let address = listener.local_addr().ok();
    if let Some(address) = address {
        tracing::info!("operators call at {address}");
    }
    spawn_local(Rc::new(ops).accept(listener));
    Ok(address)
}

/// Takes over from a predecessor, if there is one, and waits for a successor.
async fn start_handover(handover_socket: &HandoverSocket, handover: Handover) {
    if let Some((connection, state)) = handover_socket.request_state().await {
        tracing::info!("handover: taking over from a predecessor");
        handover.clone().take_over(connection, state);
    }
    match handover_socket.listen() {
        Ok(listener) => drop(spawn_local(handover.serve(listener))),
        Err(e) => tracing::warn!("handover: no successor can take over from this process: {e}"),
    }
}
