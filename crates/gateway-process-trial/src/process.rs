//! Programs of the project as processes of their own, which end with this one, and the folder that they live in.

use program_support::config::Errors;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, File};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// What a program may take to say where it listens, or to end.
pub const PROCESS_TIMEOUT: Duration = Duration::from_secs(5);

/// What the environment says is meant for other gateways.
const VARIABLES: [&str; 7] =
    ["LB_CONFIG", "LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_OPS", "LB_INHERITED_FD", "TMPDIR"];

pub(crate) fn failed(what: &str) -> impl Fn(std::io::Error) -> Errors + '_ {
    move |e| Errors::single(format!("{what}: {e}"))
}

/// A program that runs. It ends with its value.
pub struct Program {
    child: Child,
    log: PathBuf,
    name: String,
}

impl Program {
    /// Starts the program of this name in `programs`; its log goes to `log`, after what stands there.
    pub fn start(programs: &Path, name: &str, arguments: &[&str], log: PathBuf) -> Result<Self, Errors> {
        let path = programs.join(name);
        let shown = |e: std::io::Error, path: &Path| Errors::single(format!("{}: {e}", path.display()));
        let file = File::options().create(true).append(true).open(&log).map_err(|e| shown(e, &log))?;
        let mut command = Command::new(&path);
        for variable in VARIABLES {
            command.env_remove(variable);
        }
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::null()).stderr(file);
        let child = command.spawn().map_err(|e| shown(e, &path))?;
        Ok(Program { child, log, name: name.to_string() })
    }

    /// The folder that this program lies in, with the others beside it.
    pub fn own_folder() -> Result<PathBuf, Errors> {
        let own = std::env::current_exe().map_err(failed("this program's own file"))?;
        Ok(own.parent().map(Path::to_path_buf).unwrap_or_default())
    }

    fn lines(&self) -> Vec<String> {
        let file = File::open(&self.log).map(BufReader::new);
        file.map(|file| file.lines().map_while(Result::ok).collect()).unwrap_or_default()
    }

    /// The address that its log tells after these words. Waits for it: only for what starts before all else.
    pub fn logged_address(&mut self, words: &str) -> Result<SocketAddr, Errors> {
        let end = Instant::now() + PROCESS_TIMEOUT;
        loop {
            let lines = self.lines();
            let found = lines.iter().find_map(|line| line.split_once(words));
            if let Some((_, address)) = found {
                let bad = |e| Errors::single(format!("{}: {address}: {e}", self.name));
                return address.trim().parse().map_err(bad);
            }
            if Instant::now() > end || self.ended().is_some() {
                return Err(Errors::single(format!(
                    "{} does not say {words:?}{}",
                    self.name,
                    self.last_log_line()
                )));
            }
            sleep(Duration::from_millis(5));
        }
    }

    /// What it said last, to be told with its failure.
    pub fn last_log_line(&self) -> String {
        match self.lines().pop() {
            Some(line) => format!("; its last word was {line:?}"),
            None => "; it said nothing".to_string(),
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// One that has ended gets none: its number may be another's.
    pub fn signal(&mut self, signal: Signal) {
        if self.ended().is_none() {
            // It may end just now.
            let _ = Pid::from_raw(self.child.id() as i32).map(|pid| kill_process(pid, signal));
        }
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Processor time in milliseconds, resident memory in kB and open descriptors.
    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        let of = |file: &str| fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).ok();
        let stat = of("stat")?;
        // After the name in brackets: the 12th and 13th field are the times in user and system mode, in ticks.
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

/// What a process uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUsage {
    pub processor_ms: u64,
    pub memory_kb: u64,
    pub descriptors: u64,
}

impl Drop for Program {
    fn drop(&mut self) {
        let end = Instant::now() + PROCESS_TIMEOUT;
        // One that stands still would not hear the other.
        self.signal(Signal::CONT);
        self.signal(Signal::TERM);
        while self.ended().is_none() && Instant::now() < end {
            sleep(Duration::from_millis(5));
        }
        self.kill();
    }
}

/// Has all of them end at once, so that the end takes as long as the slowest.
pub fn end_all<'a>(programs: impl IntoIterator<Item = &'a mut Program>) {
    for program in programs {
        program.signal(Signal::CONT);
        program.signal(Signal::TERM);
    }
}

/// A folder that is gone at the end.
pub struct Folder(PathBuf);

impl Folder {
    /// A new one; `purpose` is part of its name.
    pub fn new(purpose: &str) -> Result<Self, Errors> {
        let path = std::env::temp_dir().join(format!("sprucehatch-{purpose}-{}", std::process::id()));
        fs::create_dir(&path).map_err(|e| Errors::single(format!("{}: {e}", path.display())))?;
        Ok(Folder(path))
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

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

/// A path as an argument.
pub fn path_text(path: &Path) -> &str {
    path.to_str().unwrap_or_default()
}
