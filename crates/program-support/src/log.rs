//! The log: lines of text or JSON on standard error.
//!
//! Lines go through a queue of fixed length to a thread of their own, so that a reader that is slow, gone or full
//! holds up nobody: lines that find the queue full, or cannot be written, are lost and counted. Lines of one kind
//! (one place in the source) at level `info` and above are limited to a rate, and how many were suppressed is logged
//! with the next one; `debug` and `trace` are asked for and are not limited.

mod counts;
mod former_modules;
mod level;
mod output;
mod rate_limit;

pub use level::{Level, LevelError};

use counts::Counts;
use former_modules::RenamedModule;
use output::LineQueue;
use quick_error::quick_error;
use rate_limit::{RateLimit, TARGET};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use tracing::subscriber::SetGlobalDefaultError;
use tracing_appender::non_blocking::ErrorCounter;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::{reload, Registry};

/// Modules that may have a level of their own by an operator's call.
const MAX_MODULES: usize = 32;
/// The longest path of such a module, in bytes.
const MAX_MODULE_LENGTH: usize = 128;
/// How long the last lines may take to get out at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The options under `log`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// The least level that is written.
    pub level: Level,
    /// Levels of single modules, by their path as the lines show it, for instance `sprucehatch_gateway::pool`.
    pub modules: BTreeMap<String, Level>,
    /// How a line looks.
    pub format: Format,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)] // A comment would change the schema that programs print.
pub enum Format {
    #[default]
    Text,
    Json,
}

impl Options {
    fn filter(&self) -> Targets {
        let modules = self.modules.iter().map(|(module, level)| (module.clone(), LevelFilter::from(*level)));
        Targets::new().with_default(LevelFilter::from(self.level)).with_targets(modules)
    }

    /// The same options with present module paths, and which former paths they held.
    fn with_current_modules(mut self) -> (Self, Vec<RenamedModule>) {
        let renamed = former_modules::rename(&mut self.modules);
        (self, renamed)
    }
}

quick_error! {
    /// Why the log does not begin or change.
    #[derive(Debug)]
    pub enum LogError {
        /// The process has a subscriber for log lines already.
        Install(error: SetGlobalDefaultError) {
            display("cannot begin the log: {error}")
            source(error)
        }
        /// [`start`] was called before.
        AlreadyStarted {
            display("the log has begun already")
        }
        /// The filter of the levels is gone.
        Reload(error: reload::Error) {
            display("cannot change the level: {error}")
            source(error)
        }
        /// A level that is none.
        Level(error: LevelError) {
            from()
            display("{error}")
            source(error)
        }
        /// A module path that no line can show, or one too many.
        Module(module: String) {
            display("module is {module:?}: a path as the lines show it is wanted, {MAX_MODULES} of them at most")
        }
    }
}

/// Counts of lines since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LineCounts {
    /// Handed to whoever reads the log.
    pub written: u64,
    /// Lost: nobody read, or the write failed.
    pub lost: u64,
    /// Suppressed by the rate limit, as one of too many of a kind.
    #[serde(rename = "left_out")]
    pub suppressed: u64,
}

/// The log's options and counts, as operators are shown them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Status {
    /// The options in force.
    #[serde(flatten)]
    pub options: Options,
    /// The lines so far.
    pub lines: LineCounts,
}

/// The log of this process.
pub struct Log {
    filter: reload::Handle<Targets, Registry>,
    options: Mutex<Options>,
    counts: Arc<Counts>,
    dropped: ErrorCounter,
}

static LOG: OnceLock<Log> = OnceLock::new();

/// Begins the log on standard error. To be called once, by a program.
///
/// # Errors
///
/// The process has a log already.
pub fn start(options: &Options) -> Result<&'static Log, LogError> {
    begin(options, io::stderr())
}

fn begin(options: &Options, to: impl Write + Send + 'static) -> Result<&'static Log, LogError> {
    let (options, renamed) = options.clone().with_current_modules();
    let counts = Arc::new(Counts::default());
    let queue = LineQueue::new(to, counts.clone());
    let dropped = queue.dropped();
    let (filter, handle) = reload::Layer::new(options.filter());
    let lines = tracing_subscriber::fmt::layer().with_writer(queue).with_ansi(false);
    let registry = Registry::default().with(filter).with(RateLimit::new(counts.clone()));
    let installed = match options.format {
        Format::Text => tracing::subscriber::set_global_default(registry.with(lines)),
        Format::Json => {
            let lines = lines.json().flatten_event(true);
            tracing::subscriber::set_global_default(registry.with(lines))
        }
    };
    installed.map_err(LogError::Install)?;
    let log = Log { filter: handle, options: Mutex::new(options), counts, dropped };
    if LOG.set(log).is_err() {
        return Err(LogError::AlreadyStarted);
    }
    renamed.iter().for_each(RenamedModule::warn);
    get().ok_or(LogError::AlreadyStarted)
}

/// The log of this process, if it has one.
pub fn get() -> Option<&'static Log> {
    LOG.get()
}

impl Log {
    /// The options in force. Modules have their present paths, whatever the settings said.
    pub fn options(&self) -> Options {
        self.options.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Takes other levels; the format is fixed at the start.
    ///
    /// # Errors
    ///
    /// The filter is gone; the options in force stay.
    pub fn set_options(&self, to: Options) -> Result<(), LogError> {
        let (to, renamed) = to.with_current_modules();
        self.replace(to)?;
        renamed.iter().for_each(RenamedModule::warn);
        Ok(())
    }

    fn replace(&self, to: Options) -> Result<(), LogError> {
        let mut options = self.options.lock().unwrap_or_else(PoisonError::into_inner);
        let to = Options { format: options.format, ..to };
        self.filter.reload(to.filter()).map_err(LogError::Reload)?;
        *options = to;
        Ok(())
    }

    /// Takes a level, of one module or of all others, as an operator words it.
    ///
    /// # Errors
    ///
    /// The level or the module is none, or too many modules have a level of their own.
    pub fn set_level(&self, level: Option<&str>, module: Option<&str>) -> Result<(), LogError> {
        let level: Level = level.unwrap_or_default().parse()?;
        let mut options = self.options();
        let renamed = module.and_then(former_modules::current_paths);
        match (module, &renamed) {
            (None, _) => options.level = level,
            (Some(module), None) => options.set_modules(module, &[module.to_string()], level)?,
            (Some(module), Some(renamed)) => options.set_modules(module, &renamed.current, level)?,
        }
        self.replace(options)?;
        renamed.iter().for_each(RenamedModule::warn);
        tracing::warn!(target: TARGET, %level, module, "the level of the log was changed");
        Ok(())
    }

    /// The options in force and the lines so far.
    pub fn status(&self) -> Status {
        Status { options: self.options(), lines: self.lines() }
    }

    /// The lines so far.
    pub fn lines(&self) -> LineCounts {
        let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
        LineCounts {
            written: get(&self.counts.written),
            lost: get(&self.counts.failed) + self.dropped.dropped_lines() as u64,
            suppressed: get(&self.counts.suppressed),
        }
    }

    /// Waits a moment for the last lines to get out: a reader that is stuck does not hold up the end.
    pub fn flush(&self) {
        let end = Instant::now() + FLUSH_TIMEOUT;
        let out = || {
            let lines = self.lines();
            lines.written + lines.lost >= self.counts.made.load(Ordering::Relaxed)
        };
        while !out() && Instant::now() < end {
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

impl Options {
    /// Gives the modules at `paths` this level, if `module`, as the operator named them, can be meant.
    fn set_modules(&mut self, module: &str, paths: &[String], level: Level) -> Result<(), LogError> {
        let added = paths.iter().filter(|path| !self.modules.contains_key(*path)).count();
        let fits = added == 0 || self.modules.len() + added <= MAX_MODULES;
        let plain = module.bytes().all(|b| b.is_ascii_alphanumeric() || b"_:".contains(&b));
        if !fits || !plain || !(1..=MAX_MODULE_LENGTH).contains(&module.len()) {
            return Err(LogError::Module(module.to_string()));
        }
        self.modules.extend(paths.iter().map(|path| (path.clone(), level)));
        Ok(())
    }
}

#[cfg(test)]
mod tests;
