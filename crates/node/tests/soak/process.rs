//! A process of the program: starts, signals and kills it, and reads its resource use from `/proc`.

use std::fs::{self, File};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::yield_now;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_sprucehatch-node");
/// Timeout for a process to install its signal handlers.
const HANDLERS_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a process has to end after SIGTERM: `GraceS` of the settings.
pub const GRACE: Duration = Duration::from_secs(6);
/// Tolerance beyond the grace period, because one machine runs all processes.
const GRACE_MARGIN: Duration = Duration::from_secs(4);
/// Bit of SIGHUP in the mask of caught signals.
const HANGUP_BIT: u64 = 1;
/// Clock ticks per second of the processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// A signal that the test sends.
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

/// A running process, killed when dropped.
pub struct Process {
    child: Child,
    log: PathBuf,
    stop_requested_at: Option<Instant>,
}

impl Process {
    /// Starts a role and appends its log to the file `log`.
    pub fn start(role: &str, settings: &PathBuf, log: PathBuf) -> Self {
        let file = File::options().create(true).append(true).open(&log).expect("a log");
        let child = Command::new(PROGRAM)
            .args([role, "--log", "info"])
            .env("SPRUCEHATCH_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn();
        Process { child: child.expect("the program starts"), log, stop_requested_at: None }
    }

    /// Sends a signal once the process has installed its signal handlers, which it does before it listens.
    /// Until then the default action of the signal would end the process.
    pub fn signal(&mut self, signal: SignalName) {
        if signal != SignalName::Continue {
            self.wait_for_signal_handlers();
        }
        if signal == SignalName::Terminate {
            self.stop_requested_at.get_or_insert_with(Instant::now);
        }
        let id = self.child.id().to_string();
        // Fails if the process has ended in the meantime, which `ended` detects.
        let _ = Command::new("kill").args([signal.argument(), &id]).stderr(Stdio::null()).status();
    }

    fn wait_for_signal_handlers(&mut self) {
        let deadline = Instant::now() + HANDLERS_TIMEOUT;
        while !self.catches_hangup() && self.child.try_wait().expect("a child").is_none() {
            assert!(Instant::now() < deadline, "a process does not install its signal handlers");
            yield_now();
        }
    }

    fn catches_hangup(&self) -> bool {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        mask.is_some_and(|mask| u64::from_str_radix(mask.trim(), 16).is_ok_and(|mask| mask & HANGUP_BIT != 0))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("a child")
    }

    pub fn is_stop_requested(&self) -> bool {
        self.stop_requested_at.is_some()
    }

    /// Waits for the end of the process after SIGTERM; an error if it fails or exceeds the grace period.
    pub fn wait_for_stop(&mut self) -> Result<(), String> {
        let requested_at = self.stop_requested_at.expect("a stop was requested");
        loop {
            match self.ended() {
                Some(status) if status.success() => return Ok(()),
                Some(status) => {
                    return Err(format!("ended with {status} after SIGTERM\n{}", self.last_lines()))
                }
                None if requested_at.elapsed() > GRACE + GRACE_MARGIN => {
                    return Err(format!("did not end within the grace period\n{}", self.last_lines()));
                }
                None => yield_now(),
            }
        }
    }

    /// Processor time used so far, in seconds.
    pub fn processor_seconds(&self) -> f64 {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        // The name of the program, in parentheses, may contain spaces.
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |field: usize| fields.get(field).and_then(|ticks| ticks.parse().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / TICKS_PER_SECOND
    }

    /// Peak resident memory so far, in MB.
    pub fn peak_memory_mb(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or("0 kB");
        line.split_whitespace().next().and_then(|kilobytes| kilobytes.parse::<u64>().ok()).unwrap_or(0)
            / 1_024
    }

    /// The last lines of the log.
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
