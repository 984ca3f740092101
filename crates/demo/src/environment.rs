//! Addresses, settings files and configuration of the demonstration.

use crate::error::DemoError;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// Number of core machines.
pub const CORE_MACHINES: u8 = 3;
/// Number of edges.
pub const EDGES: u8 = 3;
/// Host name in the requests of the clients.
pub const HOST: &str = "demo.example";
/// Path prefix of the queue.
pub const PREFIX: &str = "/jobs/";
/// Name of the service whose workers run the jobs.
pub const SERVICE: &str = "demo-service";
const CONTROL_PORT: u16 = 8_146;
const FRONT_PORT: u16 = 8_144;
const READINESS_PORT: u16 = 8_140;
const FIRST_PEER_PORT: u16 = 7_660;
const LAST_PEER_PORT: u16 = 7_675;
/// Last byte of the address of the first edge.
const FIRST_EDGE_HOST: u8 = 101;

/// Loopback network and temporary directory of one demonstration.
#[derive(Debug)]
pub struct Environment {
    network: [u8; 2],
    directory: PathBuf,
}

impl Environment {
    /// Chooses a random loopback network and creates an empty directory.
    pub fn new() -> Result<Self, DemoError> {
        let network = [fastrand::u8(1..=254), fastrand::u8(1..=254)];
        let name = format!("sprucehatch-demo-{}-{:08x}", std::process::id(), fastrand::u32(..));
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).map_err(|error| DemoError::WriteFile(directory.clone(), error))?;
        Ok(Environment { network, directory })
    }

    fn ip(&self, last: u8) -> Ipv4Addr {
        let [second, third] = self.network;
        Ipv4Addr::new(127, second, third, last)
    }

    /// Address of the operator API of a core machine. Machines are counted from 0.
    pub fn control_address(&self, machine: u8) -> SocketAddr {
        (self.ip(machine + 1), CONTROL_PORT).into()
    }

    /// Address of an edge for clients. Edges are counted from 0.
    pub fn front_address(&self, edge: u8) -> SocketAddr {
        (self.ip(FIRST_EDGE_HOST + edge), FRONT_PORT).into()
    }

    /// Writes the settings file of a core machine and returns its path.
    pub fn write_core_settings(&self, machine: u8, platform: SocketAddr) -> Result<PathBuf, DemoError> {
        let disk = self.directory.join(format!("disk-{machine}"));
        fs::create_dir_all(&disk).map_err(|error| DemoError::WriteFile(disk.clone(), error))?;
        let settings = serde_json::json!({
            "NodeId": format!("core-{}", machine + 1),
            "Role": "control",
            "Ip": self.ip(machine + 1).to_string(),
            "Zone": format!("zone-{}", machine + 1),
            "ListenAddrs": {"Control": self.control_address(machine).to_string()},
            "PortRange": [FIRST_PEER_PORT, LAST_PEER_PORT],
            "SeedNodes": self.seeds(),
            "Bootstrap": true,
            "CountsForQuorum": true,
            "DataDir": disk.display().to_string(),
            "Discovery": "cloud_api",
            "FaultTolerance": {"Machines": 1},
            "CloudApi": {"Address": platform.to_string(), "RatePerS": 30.0},
        });
        self.write(&format!("core-{}", machine + 1), &settings)
    }

    /// Writes the settings file of an edge and returns its path.
    pub fn write_edge_settings(&self, edge: u8) -> Result<PathBuf, DemoError> {
        let ip = self.ip(FIRST_EDGE_HOST + edge);
        let settings = serde_json::json!({
            "NodeId": format!("edge-{}", edge + 1),
            "Role": "data-plane",
            "Ip": ip.to_string(),
            "ListenAddrs": {
                "Front": self.front_address(edge).to_string(),
                "Readiness": format!("{ip}:{READINESS_PORT}"),
            },
            "PortRange": [FIRST_PEER_PORT, LAST_PEER_PORT],
            "SeedNodes": self.seeds(),
        });
        self.write(&format!("edge-{}", edge + 1), &settings)
    }

    fn seeds(&self) -> Vec<String> {
        (0..CORE_MACHINES).map(|machine| self.control_address(machine).to_string()).collect()
    }

    fn write(&self, name: &str, settings: &serde_json::Value) -> Result<PathBuf, DemoError> {
        let path = self.directory.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).map_err(|error| DemoError::WriteFile(path.clone(), error))?;
        Ok(path)
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        // No other demonstration uses the directory, so a failed removal does no harm.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Returns the configuration of the demonstration: one queue and one service.
pub fn configuration() -> Vec<u8> {
    let configuration = serde_json::json!({
        "Version": 1,
        "Routes": [{
            "Name": "demo", "Host": HOST, "PathPrefix": PREFIX, "RouteType": "non_idempotent",
            "TimeoutMs": 3_000, "TargetLatencyMs": 1_000, "Priority": 1, "Backend": SERVICE,
            "MaxRetries": 3, "Stretch": 2.0,
        }],
        "Backends": [{"Name": SERVICE, "Protocol": "h1", "Guards": false}],
    });
    configuration.to_string().into_bytes()
}
