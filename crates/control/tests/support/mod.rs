//! Control processes on loopback addresses, run as threads of the test.

#![allow(dead_code)]

pub mod http;
pub mod watcher;

use configuration::ProcessSettings;
use control::Mechanisms;
use control::{ControlError, Signal};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use std::{env, fs, process};
use tokio::sync::mpsc;
use watcher::Watcher;

/// Maximum time that a test waits for anything.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

const CONTROL_PORT: u16 = 8_146;
const PEER_PORT: u16 = 7_660;

/// The machines of one test, each with its own address and directory.
pub struct Site {
    network: [u8; 2],
    folder: PathBuf,
    machines: usize,
    platform: Option<SocketAddr>,
}

/// A running control process.
pub struct Process {
    signals: mpsc::Sender<Signal>,
    thread: JoinHandle<Result<(), ControlError>>,
}

impl Process {
    /// Asks the process to stop, as the platform does, and waits for its end.
    pub fn stop(self) {
        self.signals.blocking_send(Signal::Stop).expect("the process listens to signals");
        self.thread.join().expect("the process does not panic").expect("the process ends without an error");
    }
}

impl Site {
    /// Creates machines with empty disks, on random loopback addresses that other tests do not use.
    pub fn new(name: &str, machines: usize) -> Self {
        let folder = env::temp_dir().join(format!("control-{name}-{}", process::id()));
        let network = [fastrand::u8(1..=254), fastrand::u8(1..=254)];
        fs::create_dir_all(&folder).expect("a folder for the test");
        Site { network, folder, machines, platform: None }
    }

    /// Lets the machines read the platform's list at this address.
    pub fn with_platform(mut self, platform: SocketAddr) -> Self {
        self.platform = Some(platform);
        self
    }

    /// The test's directory, which is removed together with the site.
    pub fn folder(&self) -> &PathBuf {
        &self.folder
    }

    pub fn ip(&self, machine: usize) -> Ipv4Addr {
        let [second, third] = self.network;
        Ipv4Addr::new(127, second, third, machine as u8 + 1)
    }

    /// Address of a machine's operator API.
    pub fn control(&self, machine: usize) -> SocketAddr {
        (self.ip(machine), CONTROL_PORT).into()
    }

    /// Address at which a machine listens for peers.
    pub fn peer(&self, machine: usize) -> SocketAddr {
        (self.ip(machine), PEER_PORT).into()
    }

    /// The machine that has this peer address.
    pub fn machine_at(&self, address: &str) -> usize {
        (0..self.machines)
            .find(|machine| self.peer(*machine).to_string() == address)
            .expect("a machine of the site")
    }

    pub fn disk(&self, machine: usize) -> PathBuf {
        self.folder.join(format!("disk-{machine}"))
    }

    /// Removes all files from a machine's disk.
    pub fn wipe(&self, machine: usize) {
        fs::remove_dir_all(self.disk(machine)).expect("the disk can be cleared");
    }

    /// Starts the control process of a machine.
    pub fn start(&self, machine: usize, bootstrap: bool) -> Process {
        fs::create_dir_all(self.disk(machine)).expect("a disk");
        let text = self.settings(machine, bootstrap);
        let path = self.folder.join(format!("settings-{machine}.json"));
        fs::write(&path, &text).expect("a settings file");
        let settings = ProcessSettings::read(&text).expect("proper settings");
        let (signals, received) = mpsc::channel(4);
        let thread = std::thread::spawn(move || {
            control::run_with_signals(settings, path, Mechanisms::default(), received)
        });
        Process { signals, thread }
    }

    /// Starts all machines for the first time.
    pub fn found(&self) -> Vec<Process> {
        (0..self.machines).map(|machine| self.start(machine, true)).collect()
    }

    /// Connects to a machine's process and watches its leader notices.
    pub fn watch(&self, machine: usize) -> Watcher {
        Watcher::connect(self.peer(machine), Instant::now() + TEST_TIMEOUT)
    }

    fn settings(&self, machine: usize, bootstrap: bool) -> String {
        let seeds: Vec<String> =
            (0..self.machines.min(3)).map(|seed| format!("\"{}\"", self.control(seed))).collect();
        let platform = self.platform.map_or_else(String::new, |address| {
            format!(r#""CloudApi":{{"Address":"{address}","RatePerS":30.0,"Duties":[],"LagMs":800}},"#)
        });
        format!(
            r#"{{{platform}"NodeId":"core-{machine}","Ip":"{}","Zone":"z{machine}","ListenAddrs":{{"Control":"{}"}},
            "PortRange":[{PEER_PORT},{}],"SeedNodes":[{}],"Bootstrap":{bootstrap},"CountsForQuorum":true,
            "DataDir":{:?},"Discovery":"cloud_api","FaultTolerance":{{"Machines":1}}}}"#,
            self.ip(machine),
            self.control(machine),
            PEER_PORT + 15,
            seeds.join(","),
            self.disk(machine).display().to_string(),
        )
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        // Only this test uses the directory; a leftover does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}
