//! One process of the program, and what the system tells of it.

use std::fs::{self, File};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::yield_now;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_sprucehatch-node");
/// A process takes over its signals within this time of its start.
const REGISTRATION_TIME: Duration = Duration::from_secs(10);
/// A process that is asked to stop ends within this time: `GraceS` of the settings.
pub const GRACE: Duration = Duration::from_secs(6);
/// Beyond the grace period, for a machine that runs many processes.
const GRACE_MARGIN: Duration = Duration::from_secs(4);
/// Bit of SIGHUP in the mask of caught signals.
const HANGUP_BIT: u64 = 1;
/// Clock ticks a second in which the system counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// A signal by its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalName {
    Hangup,
    Terminate,
    Pause,
    Continue,
}

impl SignalName {
    fn argument(self) -> &'static str {
        match self {
            SignalName::Hangup => "-HUP",
            SignalName::Terminate => "-TERM",
            SignalName::Pause => "-STOP",
            SignalName::Continue => "-CONT",
        }
    }
}

/// A process that runs.
pub struct Process {
    child: Child,
    log: PathBuf,
    asked_to_stop: Option<Instant>,
}

impl Process {
    /// Starts a role. Its log is kept in a file.
    pub fn start(role: &str, settings: &PathBuf, log: PathBuf) -> Self {
        let file = File::options().create(true).append(true).open(&log).expect("a log");
        let child = Command::new(PROGRAM)
            .args([role, "--log", "info"])
            .env("SPRUCEHATCH_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn();
        Process { child: child.expect("the program starts"), log, asked_to_stop: None }
    }

    /// Sends a signal as soon as the process takes its signals over, which is before it listens. Before that
    /// the system's default action ends it, whatever the program does.
    pub fn signal(&mut self, signal: SignalName) {
        if signal != SignalName::Continue {
            self.wait_for_registration();
        }
        if signal == SignalName::Terminate {
            self.asked_to_stop.get_or_insert_with(Instant::now);
        }
        let id = self.child.id().to_string();
        // It may have ended meanwhile, which `ended` finds.
        let _ = Command::new("kill").args([signal.argument(), &id]).stderr(Stdio::null()).status();
    }

    fn wait_for_registration(&mut self) {
        let deadline = Instant::now() + REGISTRATION_TIME;
        while !self.catches_hangup() && self.child.try_wait().expect("a child").is_none() {
            assert!(Instant::now() < deadline, "a process does not take over its signals");
            yield_now();
        }
    }

    fn catches_hangup(&self) -> bool {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        mask.is_some_and(|mask| u64::from_str_radix(mask.trim(), 16).is_ok_and(|mask| mask & HANGUP_BIT != 0))
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// How it has ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("a child")
    }

    pub fn is_asked_to_stop(&self) -> bool {
        self.asked_to_stop.is_some()
    }

    /// Waits until it has ended after it was asked to stop.
    pub fn wait_for_stop(&mut self) -> Result<(), String> {
        let asked_at = self.asked_to_stop.expect("it was asked to stop");
        loop {
            match self.ended() {
                Some(status) if status.success() => return Ok(()),
                Some(status) => {
                    return Err(format!("ended with {status} when asked to stop\n{}", self.last_lines()))
                }
                None if asked_at.elapsed() > GRACE + GRACE_MARGIN => {
                    return Err(format!("did not end within the grace period\n{}", self.last_lines()));
                }
                None => yield_now(),
            }
        }
    }

    /// Processor time so far, in seconds.
    pub fn processor_seconds(&self) -> f64 {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        // The name of the program, in parentheses, may hold spaces.
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |field: usize| fields.get(field).and_then(|ticks| ticks.parse().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / TICKS_PER_SECOND
    }

    /// Its largest resident memory so far, in MB.
    pub fn peak_memory_mb(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or("0 kB");
        line.split_whitespace().next().and_then(|kilobytes| kilobytes.parse::<u64>().ok()).unwrap_or(0)
            / 1_024
    }

    /// The end of its log.
    pub fn last_lines(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(20)..].join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
