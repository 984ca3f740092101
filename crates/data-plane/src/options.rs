//! Options of the data plane role, derived from the settings of the process.

use crate::error::DataPlaneError;
use crate::upstream::UpstreamOptions;
use configuration::ProcessSettings;
use std::net::SocketAddr;
use std::time::Duration;

/// File descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;
/// File descriptors reserved for listening sockets, connections to the core, readiness checks and the
/// runtime.
const RESERVED_DESCRIPTORS: usize = 64;
/// Lower bound of the limit of client connections.
const MIN_CONNECTIONS: usize = 64;
/// Limit of client connections if the settings give no limit of file descriptors.
const DEFAULT_CONNECTIONS: usize = 4_000;
/// Maximum number of pending requests.
const MAX_REQUESTS: usize = 2_000;
/// Maximum total size of pending requests, in bytes.
const MAX_REQUEST_BYTES: usize = 24 * 1024 * 1024;
/// Time after which an idle client connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout of a request's head, counted from its first byte, and of its body, counted from the end of the
/// head.
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long new clients are accepted after SIGTERM. The platform checks readiness every second and stops
/// sending clients after two failed checks.
const MIN_DRAIN: Duration = Duration::from_millis(2_500);
/// Time between the end of the drain and the platform's SIGKILL.
const EXIT_MARGIN: Duration = Duration::from_millis(700);

/// Options of the data plane role.
#[derive(Debug, Clone)]
pub struct DataPlaneOptions {
    /// Listening address for clients.
    pub client_address: SocketAddr,
    /// Listening address for the platform's readiness checks.
    pub readiness_address: SocketAddr,
    /// Peer addresses of the seed nodes.
    pub seeds: Vec<SocketAddr>,
    /// Name of this process and limits of pending requests.
    pub upstream: UpstreamOptions,
    /// Limits of client connections.
    pub clients: ClientLimits,
    /// Durations of the graceful shutdown.
    pub drain: DrainTimes,
}

/// Limits of client connections.
#[derive(Debug, Clone)]
pub struct ClientLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Timeout of a request's head, and again of its body.
    pub header_timeout: Duration,
}

/// Durations of the graceful shutdown, counted from SIGTERM.
#[derive(Debug, Clone)]
pub struct DrainTimes {
    /// How long new connections are accepted.
    pub min_duration: Duration,
    /// When all requests that are still pending get their final answers.
    pub max_duration: Duration,
}

impl DataPlaneOptions {
    /// Derives the options from the settings.
    ///
    /// # Errors
    ///
    /// The settings lack a listening address.
    pub fn from_settings(settings: &ProcessSettings) -> Result<Self, DataPlaneError> {
        let client_address = settings.listen.clients.ok_or(DataPlaneError::NoListenAddress("Front"))?;
        let readiness_address =
            settings.listen.readiness.ok_or(DataPlaneError::NoListenAddress("Readiness"))?;
        let upstream = UpstreamOptions {
            node_name: settings.node_id.clone(),
            max_requests: MAX_REQUESTS,
            max_bytes: MAX_REQUEST_BYTES,
        };
        let clients = ClientLimits {
            max_connections: max_connections(settings.limits.max_file_descriptors),
            idle_timeout: IDLE_TIMEOUT,
            header_timeout: HEADER_TIMEOUT,
        };
        let grace = Duration::from_millis(settings.bounds.grace_ms);
        let max_duration = grace.saturating_sub(EXIT_MARGIN);
        Ok(DataPlaneOptions {
            client_address: client_address.into(),
            readiness_address: readiness_address.into(),
            seeds: peer_addresses(settings),
            upstream,
            clients,
            drain: DrainTimes { min_duration: MIN_DRAIN.min(max_duration), max_duration },
        })
    }
}

/// Returns the peer addresses of the seed nodes: their IP addresses with the first port of the port range.
pub fn peer_addresses(settings: &ProcessSettings) -> Vec<SocketAddr> {
    let port = *settings.port_range.start();
    settings.seed_nodes.iter().map(|seed| SocketAddr::new((*seed.ip()).into(), port)).collect()
}

fn max_connections(descriptors: u64) -> usize {
    let descriptors = usize::try_from(descriptors).unwrap_or(usize::MAX);
    if descriptors == 0 {
        return DEFAULT_CONNECTIONS;
    }
    descriptors.saturating_sub(FILE_DESCRIPTORS + RESERVED_DESCRIPTORS).max(MIN_CONNECTIONS)
}
