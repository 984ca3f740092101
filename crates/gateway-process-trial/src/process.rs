//! Runs the project's programs as child processes, which are stopped when their handles are dropped, in a
//! temporary folder.

use program_support::config::Errors;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, File};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a program may take to log its address, or to stop.
pub const PROCESS_TIMEOUT: Duration = Duration::from_secs(5);

/// Environment variables that configure other gateways and are not passed on.
const GATEWAY_VARIABLES: [&str; 7] =
    ["LB_CONFIG", "LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_OPS", "LB_INHERITED_FD", "TMPDIR"];

/// Turns an I/O error into an error with context.
pub(crate) fn failed(what: &str) -> impl Fn(std::io::Error) -> Errors + '_ {
    move |e| Errors::single(format!("{what}: {e}"))
}

/// A running program. It is stopped when this value is dropped.
pub struct Program {
    child: Child,
    log: PathBuf,
    name: String,
}

impl Program {
    /// Starts the program `name` from the folder `programs`. Its standard error is appended to the file
    /// `log`.
    pub fn start(programs: &Path, name: &str, arguments: &[&str], log: PathBuf) -> Result<Self, Errors> {
        let path = programs.join(name);
        let shown = |e: std::io::Error, path: &Path| Errors::single(format!("{}: {e}", path.display()));
        let file = File::options().create(true).append(true).open(&log).map_err(|e| shown(e, &log))?;
        let mut command = Command::new(&path);
        for variable in GATEWAY_VARIABLES {
            command.env_remove(variable);
        }
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::null()).stderr(file);
        let child = command.spawn().map_err(|e| shown(e, &path))?;
        Ok(Program { child, log, name: name.to_string() })
    }

    /// The folder of the running executable, which holds the other programs too.
    pub fn own_folder() -> Result<PathBuf, Errors> {
        let own = std::env::current_exe().map_err(failed("the path of the running executable"))?;
        Ok(own.parent().map(Path::to_path_buf).unwrap_or_default())
    }

    /// The lines of the log; none if it cannot be read.
    fn log_lines(&self) -> Vec<String> {
        let file = File::open(&self.log).map(BufReader::new);
        file.map(|file| file.lines().map_while(Result::ok).collect()).unwrap_or_default()
    }

    /// The address that follows `prefix` in the program's log. Blocks the thread until it is logged: only for
    /// use before other work starts.
    pub fn logged_address(&mut self, prefix: &str) -> Result<SocketAddr, Errors> {
        let end = Instant::now() + PROCESS_TIMEOUT;
        loop {
            let lines = self.log_lines();
            let found = lines.iter().find_map(|line| line.split_once(prefix));
            if let Some((_, address)) = found {
                let bad = |e| Errors::single(format!("{}: {address}: {e}", self.name));
                return address.trim().parse().map_err(bad);
            }
            if Instant::now() > end || self.ended().is_some() {
                return Err(Errors::single(format!(
                    "{} did not log an address after {prefix:?}{}",
                    self.name,
                    self.last_log_line()
                )));
            }
            sleep(Duration::from_millis(5));
        }
    }

    /// The last line of the log, worded as the end of an error message.
    pub fn last_log_line(&self) -> String {
        match self.log_lines().pop() {
            Some(line) => format!("; its last log line is {line:?}"),
            None => "; its log is empty".to_string(),
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The exit status, if the program has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Sends a signal, unless the program has ended: its process id may have been reused.
    pub fn signal(&mut self, signal: Signal) {
        if self.ended().is_none() {
            // The process may end between the check and the signal.
            let _ = Pid::from_raw(self.child.id() as i32).map(|pid| kill_process(pid, signal));
        }
    }

    /// Kills the program and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The resources that the process uses now; `None` if they cannot be read.
    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        let of = |file: &str| fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).ok();
        let stat = of("stat")?;
        // In the fields after the name in brackets, the 12th and 13th are user and system time in clock
        // ticks.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let status = of("status")?;
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let descriptors = fs::read_dir(format!("/proc/{}/fd", self.child.id())).ok()?.count();
        Some(ResourceUsage {
            processor_ms: ticks * 1000 / rustix::param::clock_ticks_per_second().max(1),
            memory_kb: memory.split_whitespace().next()?.parse().ok()?,
            descriptors: descriptors as u64,
        })
    }
}

/// The resource usage of a process: processor time in ms since its start, resident memory in kB, open
/// descriptors.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUsage {
    pub processor_ms: u64,
    pub memory_kb: u64,
    pub descriptors: u64,
}

impl Drop for Program {
    fn drop(&mut self) {
        let end = Instant::now() + PROCESS_TIMEOUT;
        // A stopped process would not handle SIGTERM until it continues.
        self.signal(Signal::CONT);
        self.signal(Signal::TERM);
        while self.ended().is_none() && Instant::now() < end {
            sleep(Duration::from_millis(5));
        }
        self.kill();
    }
}

/// Asks all programs to terminate at once, so that stopping them takes only as long as the slowest one.
pub fn end_all<'a>(programs: impl IntoIterator<Item = &'a mut Program>) {
    for program in programs {
        program.signal(Signal::CONT);
        program.signal(Signal::TERM);
    }
}

/// A temporary folder that is removed when dropped.
pub struct Folder(PathBuf);

impl Folder {
    /// Creates the folder; `purpose` is part of its name.
    pub fn new(purpose: &str) -> Result<Self, Errors> {
        let path = std::env::temp_dir().join(format!("sprucehatch-{purpose}-{}", std::process::id()));
        fs::create_dir(&path).map_err(|e| Errors::single(format!("{}: {e}", path.display())))?;
        Ok(Folder(path))
    }

    /// The path of a file in the folder.
    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Writes a file into the folder and returns its path.
    pub fn file(&self, name: &str, text: &str) -> Result<PathBuf, Errors> {
        let path = self.path(name);
        fs::write(&path, text).map_err(|e| Errors::single(format!("{}: {e}", path.display())))?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A path as a command-line argument; empty if it is not UTF-8.
pub fn path_text(path: &Path) -> &str {
    path.to_str().unwrap_or_default()
}
