//! The data plane role under test.

use super::client::send_request;
use super::core::ScriptedCore;
use data_plane::upstream::UpstreamOptions;
use data_plane::{ClientLimits, DataPlane, DataPlaneOptions, DrainTimes, Signal};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{channel, Sender};
use tokio::task::{spawn_local, yield_now, JoinHandle};

/// Options for listening on free loopback ports.
pub fn options(seeds: Vec<SocketAddr>) -> DataPlaneOptions {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    DataPlaneOptions {
        client_address: any,
        readiness_address: any,
        seeds,
        upstream: UpstreamOptions {
            node_name: "edge-1".to_owned(),
            max_requests: 100,
            max_bytes: 16 * 1024 * 1024,
        },
        clients: ClientLimits {
            max_connections: 100,
            idle_timeout: Duration::from_secs(15),
            header_timeout: Duration::from_secs(3),
        },
        drain: DrainTimes { min_duration: Duration::from_millis(50), max_duration: Duration::from_secs(5) },
    }
}

/// A running data plane role.
pub struct Plane {
    pub client_address: SocketAddr,
    pub readiness: SocketAddr,
    pub signals: Sender<Signal>,
    pub running: JoinHandle<()>,
}

impl Plane {
    pub fn start(options: DataPlaneOptions) -> Self {
        Plane::start_with_settings(options, PathBuf::new())
    }

    pub fn start_with_settings(options: DataPlaneOptions, settings: PathBuf) -> Self {
        let plane = Rc::new(DataPlane::start(options).unwrap());
        let (signals, received) = channel(4);
        let (client_address, readiness) = (plane.client_address(), plane.readiness_address());
        let running = spawn_local(async move { plane.run(settings, received).await });
        Plane { client_address, readiness, signals, running }
    }

    /// The HTTP status of a readiness check.
    pub async fn ready_status(&self) -> u16 {
        send_request(self.readiness, "GET", "/v1/readyz", "").await.status
    }

    /// Waits until readiness checks are answered with `status`.
    pub async fn wait_for_status(&self, status: u16) {
        while self.ready_status().await != status {
            yield_now().await;
        }
    }
}

/// Starts a core of one member, which leads, and a role that is connected to it.
pub async fn with_leader() -> (Plane, ScriptedCore) {
    let core = ScriptedCore::start().await;
    core.announce(1, Some(core.address), &[core.address]);
    let plane = Plane::start(options(vec![core.address]));
    plane.wait_for_status(200).await;
    (plane, core)
}

/// Starts a core of two members, of which the first leads, and a role that is connected to both.
pub async fn with_two_members() -> (Plane, ScriptedCore, ScriptedCore) {
    let (first, second) = (ScriptedCore::start().await, ScriptedCore::start().await);
    let members = [first.address, second.address];
    first.announce(1, Some(first.address), &members);
    second.announce(1, Some(first.address), &members);
    let plane = Plane::start(options(members.to_vec()));
    plane.wait_for_status(200).await;
    first.wait_for_hellos(1).await;
    second.wait_for_hellos(1).await;
    (plane, first, second)
}
