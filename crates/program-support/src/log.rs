//! The log: lines of text or JSON on standard error.
//!
//! Lines pass through a bounded queue to a separate thread, so that a slow, stuck or closed standard error
//! does not block the program. Lines that do not fit into the queue or cannot be written are lost and
//! counted. Lines of one kind (one place in the source) at level `info` and above are rate limited, and the
//! number of suppressed lines is logged before the next line of the kind. Lines at `debug` and `trace` are
//! enabled on purpose and are not limited.

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

/// The largest number of modules that can have their own level after an operator's call.
const MAX_MODULES: usize = 32;
/// The longest path of such a module.
const MAX_MODULE_BYTES: usize = 128;
/// The longest wait for the last lines to be written at the end of the process.
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

    /// Returns the options with current module paths, and the former paths that were replaced.
    fn with_current_modules(mut self) -> (Self, Vec<RenamedModule>) {
        let renamed = former_modules::replace_former_paths(&mut self.modules);
        (self, renamed)
    }
}

quick_error! {
    /// Why the log cannot be started or changed.
    #[derive(Debug)]
    pub enum LogError {
        /// The process already has a tracing subscriber.
        Install(error: SetGlobalDefaultError) {
            display("cannot start the log: {error}")
            source(error)
        }
        /// [`start`] was called before.
        AlreadyStarted {
            display("the log has already been started")
        }
        /// The level filter no longer exists.
        Reload(error: reload::Error) {
            display("cannot change the level: {error}")
            source(error)
        }
        /// The text is not a log level.
        Level(error: LevelError) {
            from()
            display("{error}")
            source(error)
        }
        /// The module path is invalid, or too many modules have their own level.
        Module(module: String) {
            display("module is {module:?}: a path as the lines show it is wanted, {MAX_MODULES} of them at most")
        }
    }
}

/// The number of lines since the start, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LineCounts {
    /// Written to the output.
    pub written: u64,
    /// Lost because the queue was full or the write failed.
    pub lost: u64,
    /// Suppressed by the rate limit.
    #[serde(rename = "left_out")]
    pub suppressed: u64,
}

/// The options and line counts of the log, as shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Status {
    /// The current options.
    #[serde(flatten)]
    pub options: Options,
    /// The number of lines so far.
    pub lines: LineCounts,
}

/// The log of this process.
pub struct Log {
    filter: reload::Handle<Targets, Registry>,
    options: Mutex<Options>,
    counts: Arc<Counts>,
    dropped_lines: ErrorCounter,
}

static LOG: OnceLock<Log> = OnceLock::new();

/// Starts the log on standard error. A program calls this once.
///
/// # Errors
///
/// The process already has a log.
pub fn start(options: &Options) -> Result<&'static Log, LogError> {
    install(options, io::stderr())
}

fn install(options: &Options, to: impl Write + Send + 'static) -> Result<&'static Log, LogError> {
    let (options, renamed) = options.clone().with_current_modules();
    let counts = Arc::new(Counts::default());
    let queue = LineQueue::new(to, counts.clone());
    let dropped_lines = queue.dropped_lines();
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
    let log = Log { filter: handle, options: Mutex::new(options), counts, dropped_lines };
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
    /// The current options. Former module paths of the settings are replaced by current ones.
    pub fn options(&self) -> Options {
        self.options.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets the levels from other options. The format is fixed at the start and does not change.
    ///
    /// # Errors
    ///
    /// The level filter no longer exists; the options stay unchanged.
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

    /// Sets the level of one module, or the default level without a module, as text from an operator.
    ///
    /// # Errors
    ///
    /// The level or the module path is invalid, or too many modules have their own level.
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
        tracing::warn!(target: TARGET, %level, module, "log level changed");
        Ok(())
    }

    /// The current options and the number of lines so far.
    pub fn status(&self) -> Status {
        Status { options: self.options(), lines: self.lines() }
    }

    /// The number of lines so far.
    pub fn lines(&self) -> LineCounts {
        let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
        LineCounts {
            written: get(&self.counts.written),
            lost: get(&self.counts.failed) + self.dropped_lines.dropped_lines() as u64,
            suppressed: get(&self.counts.suppressed),
        }
    }

    /// Waits until all lines are written, at most 300 ms so that a stuck reader does not delay the end of the
    /// process.
    pub fn flush(&self) {
        let end = Instant::now() + FLUSH_TIMEOUT;
        let out = || {
            let lines = self.lines();
            lines.written + lines.lost >= self.counts.queued.load(Ordering::Relaxed)
        };
        while !out() && Instant::now() < end {
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

impl Options {
    /// Sets the level of the modules at `paths`. `module` is the path that the operator gave, which is
    /// validated.
    fn set_modules(&mut self, module: &str, paths: &[String], level: Level) -> Result<(), LogError> {
        let added = paths.iter().filter(|path| !self.modules.contains_key(*path)).count();
        let fits = added == 0 || self.modules.len() + added <= MAX_MODULES;
        let is_path = module.bytes().all(|b| b.is_ascii_alphanumeric() || b"_:".contains(&b));
        if !fits || !is_path || !(1..=MAX_MODULE_BYTES).contains(&module.len()) {
            return Err(LogError::Module(module.to_string()));
        }
        self.modules.extend(paths.iter().map(|path| (path.clone(), level)));
        Ok(())
    }
}

#[cfg(test)]
mod tests;
