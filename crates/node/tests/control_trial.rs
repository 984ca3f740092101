//! Real control processes under kills, pauses and restarts, while an operator changes the configuration and
//! others read it. The history is linearizable, and of two changes to the same version at most one is
//! confirmed.

use fastrand::Rng;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread::yield_now;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_sprucehatch-node");
const MACHINES: usize = 3;
const CONTROL_PORT: u16 = 8_146;
const PEER_PORT: u16 = 7_660;
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for a clear answer, and for progress between two faults.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of faults in one trial.
const FAULTS: usize = 6;
/// Minimum number of reads between two faults, of which at least one must be answered.
const READS_BETWEEN_FAULTS: u64 = 12;

struct Machine {
    ip: Ipv4Addr,
    disk: PathBuf,
    settings: PathBuf,
    process: Option<Child>,
}

impl Machine {
    fn control(&self) -> SocketAddr {
        (self.ip, CONTROL_PORT).into()
    }

    fn start(&mut self, others: &[Ipv4Addr], bootstrap: bool) {
        std::fs::create_dir_all(&self.disk).expect("a disk");
        let seeds: Vec<String> = others.iter().map(|ip| format!("\"{ip}:{CONTROL_PORT}\"")).collect();
        let text = format!(
            r#"{{"NodeId":"core-{ip}","Ip":"{ip}","Zone":"z","ListenAddrs":{{"Control":"{control}"}},
            "PortRange":[{PEER_PORT},{}],"SeedNodes":[{}],"Bootstrap":{bootstrap},"CountsForQuorum":true,
            "DataDir":{:?},"Discovery":"cloud_api","FaultTolerance":{{"Machines":1}}}}"#,
            PEER_PORT + 15,
            seeds.join(","),
            self.disk.display().to_string(),
            ip = self.ip,
            control = self.control(),
        );
        std::fs::write(&self.settings, text).expect("a settings file");
        let process = Command::new(PROGRAM)
            .args(["control", "--log", "off"])
            .env("SPRUCEHATCH_CONFIG", &self.settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        self.process = Some(process.expect("the program starts"));
    }

    fn signal(&self, name: &str) {
        let id = self.process.as_ref().expect("it runs").id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
    }

    fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().expect("it runs");
            process.wait().expect("it ends");
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
        // Failures are ignored: remaining files are in the folder for temporary files.
        let _ = std::fs::remove_dir_all(&self.disk);
        let _ = std::fs::remove_file(&self.settings);
    }
}

struct Reply {
    status: u16,
    location: Option<SocketAddr>,
    body: String,
}

/// Sends one request; `None` without a complete answer in time.
fn exchange(address: SocketAddr, method: &str, header: &str, body: &str) -> Option<Reply> {
    let mut stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
    let text = format!(
        "{method} /v1/config HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\nContent-Length: {}\r\n{header}\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    let text = String::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let location = head
        .lines()
        .find_map(|line| line.to_lowercase().strip_prefix("location: http://").map(str::to_owned));
    let location = location.and_then(|rest| rest.split('/').next()?.parse().ok());
    Some(Reply { status, location, body: body.to_owned() })
}

/// Makes a call like an operator: follows up to two redirects.
fn call(address: SocketAddr, method: &str, header: &str, body: &str) -> Option<Reply> {
    let mut address = address;
    for _ in 0..3 {
        let reply = exchange(address, method, header, body)?;
        match reply.location.filter(|_| reply.status == 307) {
            Some(next) => address = next,
            None => return Some(reply),
        }
    }
    None
}

fn configuration(version: u64, route_name: &str) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"{route_name}","Host":"h.example","PathPrefix":"/a/","RouteType":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":1,"Backend":"s","MaxRetries":3,"Stretch":2.2}}],"Backends":[{{"Name":"s","HealthCheck":"/healthz","MaxConnections":64,"Protocol":"h1","Tls":false,"Guards":true}}]}}"#
    )
}

fn version_of(body: &str) -> u64 {
    let digits = body.split("\"Version\":").nth(1).expect("a version");
    digits.split(',').next().and_then(|digits| digits.parse().ok()).expect("a number")
}

/// The versions that any caller has seen in force, by the time of the answer. A read that is sent later must
/// return the same version or a newer one.
#[derive(Default)]
struct SeenVersions(Mutex<BTreeMap<Instant, u64>>);

impl SeenVersions {
    fn record(&self, version: u64) {
        self.0.lock().expect("no thread failed").insert(Instant::now(), version);
    }

    fn newest_before(&self, moment: Instant) -> u64 {
        let seen = self.0.lock().expect("no thread failed");
        seen.range(..moment).map(|(_, version)| *version).max().unwrap_or(0)
    }
}

struct Trial {
    addresses: Vec<SocketAddr>,
    seen_versions: SeenVersions,
    /// Number of reads that were sent.
    reads: AtomicU64,
    /// Number of reads that returned a configuration.
    answered: AtomicU64,
    is_finished: AtomicBool,
}

impl Trial {
    /// Reads the configuration from random machines until the trial is finished.
    fn read(&self, mut rng: Rng) {
        while !self.is_finished.load(Ordering::Relaxed) {
            let address = self.addresses[rng.usize(0..MACHINES)];
            let sent = Instant::now();
            let reply = call(address, "GET", "", "");
            self.reads.fetch_add(1, Ordering::Relaxed);
            let Some(reply) = reply.filter(|reply| reply.status == 200) else { continue };
            let version = version_of(&reply.body);
            let least = self.seen_versions.newest_before(sent);
            assert!(version >= least, "version {version} is read after version {least} was in force");
            self.seen_versions.record(version);
            self.answered.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sends a change repeatedly until it gets a clear answer; returns the status.
    fn send_until_answered(&self, rng: &mut Rng, header: &str, body: &str) -> u16 {
        let deadline = Instant::now() + PROGRESS_TIMEOUT;
        loop {
            let address = self.addresses[rng.usize(0..MACHINES)];
            match call(address, "PUT", header, body) {
                Some(reply) if reply.status != 503 => return reply.status,
                _ => assert!(Instant::now() < deadline, "no clear answer"),
            }
        }
    }

    /// Changes the configuration until the trial is finished. Each time sends two different configurations
    /// with the same version concurrently.
    fn change(&self, mut rng: Rng) {
        let mut version = 0;
        while !self.is_finished.load(Ordering::Relaxed) {
            let header = format!("If-Match: {version}\r\n");
            let next = version + rng.u64(1..4);
            let rivals = [configuration(next, "one"), configuration(next, "two")];
            let answers: Vec<u16> = std::thread::scope(|scope| {
                let send = |body: &String, mut rng: Rng| {
                    let (header, body) = (header.clone(), body.clone());
                    scope.spawn(move || self.send_until_answered(&mut rng, &header, &body))
                };
                let sent: Vec<_> = rivals.iter().map(|body| send(body, rng.fork())).collect();
                sent.into_iter().map(|sent| sent.join().expect("an answer")).collect()
            });
            self.seen_versions.record(next);
            let mut sorted = answers.clone();
            sorted.sort_unstable();
            assert!(sorted[0] == 200 && sorted[1] >= 400, "rivals on {version} got {answers:?}");
            let winner = &rivals[usize::from(answers[1] == 200)];
            assert_eq!(
                self.send_until_answered(&mut rng, &header, winner),
                200,
                "a repeat of the accepted change succeeds"
            );
            version = next;
        }
    }

    /// Waits until `READS_BETWEEN_FAULTS` more reads have been sent and, unless a fault is present, one was
    /// answered.
    fn wait_for_reads(&self, fault_present: bool) {
        let deadline = Instant::now() + PROGRESS_TIMEOUT;
        let (reads, answered) = (self.reads.load(Ordering::Relaxed), self.answered.load(Ordering::Relaxed));
        loop {
            let enough_reads = self.reads.load(Ordering::Relaxed) >= reads + READS_BETWEEN_FAULTS;
            let served = self.answered.load(Ordering::Relaxed) > answered;
            if enough_reads && (served || fault_present) {
                return;
            }
            assert!(Instant::now() < deadline, "no read is answered any more");
            yield_now();
        }
    }
}

/// Injects a random fault, ends it, and waits until reads are answered again.
fn inject_fault(trial: &Trial, machines: &mut [Machine], ips: &[Ipv4Addr], rng: &mut Rng) {
    let target = rng.usize(0..MACHINES);
    match rng.u8(0..4) {
        0 => {
            machines[target].kill();
            trial.wait_for_reads(true);
            machines[target].start(ips, false);
        }
        1 => {
            machines[target].signal("-STOP");
            trial.wait_for_reads(true);
            machines[target].signal("-CONT");
        }
        2 => {
            // Isolates one machine: it must not answer reads with an outdated version.
            let others: Vec<usize> = (0..MACHINES).filter(|machine| *machine != target).collect();
            others.iter().for_each(|other| machines[*other].signal("-STOP"));
            trial.wait_for_reads(true);
            others.iter().for_each(|other| machines[*other].signal("-CONT"));
        }
        _ => {
            machines.iter_mut().for_each(Machine::kill);
            machines.iter_mut().for_each(|machine| machine.start(ips, false));
        }
    }
    trial.wait_for_reads(false);
}

fn run_trial(seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let [second, third] = [fastrand::u8(1..=254), fastrand::u8(1..=254)];
    let ips: Vec<Ipv4Addr> =
        (1..=MACHINES as u8).map(|last| Ipv4Addr::new(127, second, third, last)).collect();
    let folder = std::env::temp_dir();
    let machine = |ip: &Ipv4Addr| {
        let name = format!("control-trial-{}-{seed}-{ip}", std::process::id());
        Machine { ip: *ip, disk: folder.join(&name), settings: folder.join(name + ".json"), process: None }
    };
    let mut machines: Vec<Machine> = ips.iter().map(machine).collect();
    machines.iter_mut().for_each(|machine| machine.start(&ips, true));
    let trial = Trial {
        addresses: machines.iter().map(Machine::control).collect(),
        seen_versions: SeenVersions::default(),
        reads: AtomicU64::new(0),
        answered: AtomicU64::new(0),
        is_finished: AtomicBool::new(false),
    };
    std::thread::scope(|scope| {
        let trial = &trial;
        let (writer, readers) = (rng.fork(), [rng.fork(), rng.fork()]);
        scope.spawn(move || trial.change(writer));
        readers.into_iter().for_each(|reader| drop(scope.spawn(move || trial.read(reader))));
        let faults = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            trial.wait_for_reads(false);
            (0..FAULTS).for_each(|_| inject_fault(trial, &mut machines, &ips, &mut rng));
        }));
        trial.is_finished.store(true, Ordering::Relaxed);
        if let Err(failure) = faults {
            std::panic::resume_unwind(failure);
        }
    });
    println!("seed {seed}: {} reads answered", trial.answered.load(Ordering::Relaxed));
}

#[test]
fn configuration_is_linearizable_under_faults_with_seeds_1_to_5() {
    (1..=5).for_each(run_trial);
}

#[test]
fn configuration_is_linearizable_under_faults_with_seeds_6_to_10() {
    (6..=10).for_each(run_trial);
}
