//! The machines of a soak run: addresses, settings, disks and processes.

use crate::process::{Process, SignalName};
use demo::StandIns;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Instant;

const CONTROL_PORT: u16 = 8_146;
const FRONT_PORT: u16 = 8_144;
const READINESS_PORT: u16 = 8_140;
const FIRST_PEER_PORT: u16 = 7_660;
const LAST_PEER_PORT: u16 = 7_675;
const SEEDS: usize = 3;
/// Number of workers of the only service that has any.
const WORKERS: usize = 4;
/// The last byte of the first edge's address.
const FIRST_EDGE: usize = 101;
/// Memory limit of a process, in MB.
pub const MEMORY_LIMIT_MB: u64 = 160;

/// The role that a machine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Control,
    DataPlane,
}

/// A simulated machine: a loopback address, a disk folder, and a process that is restarted after it has
/// ended.
pub struct Machine {
    pub role: Role,
    pub name: String,
    pub ip: Ipv4Addr,
    pub process: Option<Process>,
    /// The times at which its process was killed.
    pub kills: Vec<Instant>,
    has_started: bool,
}

/// All machines of a soak run.
pub struct Site {
    folder: PathBuf,
    pub machines: Vec<Machine>,
    /// Number of core machines, which come first in `machines`.
    pub cores: usize,
    /// Number of the first core machine that is a seed.
    first_seed: usize,
    stand_ins: StandIns,
}

impl Site {
    pub fn new(seed: u64, cores: usize, edges: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let [second, third] = [fastrand::u8(1..=254), fastrand::u8(1..=254)];
        let machine = |role: Role, last: usize, name: String| Machine {
            role,
            name,
            ip: Ipv4Addr::new(127, second, third, last as u8),
            process: None,
            kills: Vec::new(),
            has_started: false,
        };
        let core = |number: usize| machine(Role::Control, number + 1, format!("core-{number}"));
        let edge = |number: usize| machine(Role::DataPlane, FIRST_EDGE + number, format!("edge-{number}"));
        let machines = (0..cores).map(core).chain((0..edges).map(edge)).collect();
        let stand_ins = StandIns::start(WORKERS).expect("a platform and workers");
        Site { folder, machines, cores, first_seed: 0, stand_ins }
    }

    /// Number of disks that may be lost at the same time.
    pub fn tolerated_losses(&self) -> usize {
        (self.cores - 1) / 2
    }

    pub fn control(&self, machine: usize) -> SocketAddr {
        (self.machines[machine].ip, CONTROL_PORT).into()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.cores).map(|machine| self.control(machine)).collect()
    }

    pub fn client_addresses(&self) -> Vec<SocketAddr> {
        self.machines[self.cores..].iter().map(|machine| (machine.ip, FRONT_PORT).into()).collect()
    }

    /// Makes other core machines the seeds, in all settings files.
    pub fn rotate_seeds(&mut self) {
        self.first_seed = (self.first_seed + 1) % self.cores;
        (0..self.machines.len()).for_each(|machine| self.write_settings(machine));
    }

    /// Starts the process of a machine unless it is running.
    pub fn start(&mut self, machine: usize) {
        if self.machines[machine].process.is_some() {
            return;
        }
        self.write_settings(machine);
        let (settings, log) = (self.file(machine, "json"), self.file(machine, "log"));
        let machine = &mut self.machines[machine];
        machine.has_started = true;
        let role = match machine.role {
            Role::Control => "control",
            Role::DataPlane => "data-plane",
        };
        machine.process = Some(Process::start(role, &settings, log));
    }

    pub fn start_all(&mut self) {
        (0..self.machines.len()).for_each(|machine| self.start(machine));
    }

    pub fn signal(&mut self, machine: usize, signal: SignalName) {
        if let Some(process) = &mut self.machines[machine].process {
            process.signal(signal);
        }
    }

    pub fn kill(&mut self, machine: usize) {
        let machine = &mut self.machines[machine];
        machine.kills.push(Instant::now());
        // Dropping the process kills it.
        machine.process = None;
    }

    /// Kills the process of a core machine and removes all files from its disk.
    pub fn lose_disk(&mut self, machine: usize) {
        self.kill(machine);
        let _ = fs::remove_dir_all(self.file(machine, "disk"));
    }

    /// Removes the processes that have ended; returns a description of each that was not stopped or failed.
    pub fn reap(&mut self) -> Vec<String> {
        let mut faults = Vec::new();
        for machine in &mut self.machines {
            let Some(process) = &mut machine.process else { continue };
            let Some(status) = process.ended() else { continue };
            if !process.is_stop_requested() || !status.success() {
                faults.push(format!(
                    "{} ended by itself with {status}\n{}",
                    machine.name,
                    process.last_lines()
                ));
            }
            machine.process = None;
        }
        faults
    }

    fn file(&self, machine: usize, suffix: &str) -> PathBuf {
        self.folder.join(format!("{}.{suffix}", self.machines[machine].name))
    }

    fn write_settings(&self, machine: usize) {
        let seed = |number: usize| format!("\"{}\"", self.control((self.first_seed + number) % self.cores));
        let seeds: Vec<String> = (0..SEEDS).map(seed).collect();
        let Machine { role, name, ip, has_started, .. } = &self.machines[machine];
        let listen = match role {
            Role::Control => format!(r#""Control":"{ip}:{CONTROL_PORT}""#),
            Role::DataPlane => {
                format!(r#""Front":"{ip}:{FRONT_PORT}","Readiness":"{ip}:{READINESS_PORT}""#)
            }
        };
        let disk = self.file(machine, "disk");
        if *role == Role::Control {
            fs::create_dir_all(&disk).expect("a disk");
        }
        let text = format!(
            r#"{{"NodeId":"{name}","Ip":"{ip}","Zone":"z","ListenAddrs":{{{listen}}},"PortRange":[{FIRST_PEER_PORT},{LAST_PEER_PORT}],
            "SeedNodes":[{}],"Bootstrap":{},"CountsForQuorum":true,"DataDir":{disk:?},"Discovery":"cloud_api",
            "FaultTolerance":{{"Machines":{}}},"CloudApi":{{"Address":"{}","RatePerS":30}},"Bounds":{{"GraceS":6}},"Limits":{{"MemoryMb":{MEMORY_LIMIT_MB}}}}}"#,
            seeds.join(","),
            !has_started,
            self.tolerated_losses(),
            self.stand_ins.platform(),
        );
        // Replaced atomically, as a platform does.
        let path = self.file(machine, "json");
        let new = path.with_extension("new");
        fs::write(&new, text).and_then(|()| fs::rename(&new, &path)).expect("a settings file");
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.machines.clear();
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
