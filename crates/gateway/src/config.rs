//! The configuration of a gateway: the platform's JSON file that `LB_CONFIG` names, or a TOML file with the
//! same keys, written by operators. Keys that a TOML file leaves out have the values of `defaults.toml`.

use gateway_decisions::settings::{self, Wire};
use gateway_decisions::Settings;
use gateway_protocol::list::List;
use program_support::config::{self, Errors, FileFormat, UnknownKeys};
use program_support::log;
use schemars::{JsonSchema, Schema};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Descriptors for neither clients nor backends: standard streams, the event loop, signals, the listeners,
/// discovery, operators' calls, and a few that are open briefly between accept and close.
const RESERVED_DESCRIPTORS: usize = 40;

/// The maximum number of open operators' calls. One more ends the oldest, whose request is incomplete.
pub const MAX_OPERATOR_CALLS: usize = 16;

const MAX_FALLBACKS: usize = 15;

/// A configuration that has been checked, with defaults filled in.
#[derive(Clone)]
pub struct Config {
    /// The name of the gateway, which stays the same after a restart.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The addresses of the list service; the others are called when the first does not answer.
    pub discovery: Vec<SocketAddr>,
    /// The address that operators call; without one there is no such listener.
    pub ops: Option<SocketAddr>,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The last list of an earlier run of this gateway.
    pub cached_list: Option<List>,
    /// The settings of the decision engine.
    pub settings: Settings,
    /// Zone names; a zone's number is its index.
    pub zones: Vec<String>,
    /// Memory for buffered bodies of all requests together, in bytes.
    pub body_memory: usize,
    /// The timeout for opening a connection to a roll server.
    pub connect_timeout: Duration,
    /// The maximum idle time of a connection to a roll server.
    pub idle_timeout: Duration,
    /// The maximum number of client connections.
    pub client_sockets: usize,
    /// The maximum number of connections to roll servers.
    pub backend_sockets: usize,
    /// The options of the log.
    pub log: log::Options,
    /// The document that the configuration was read from, to find what a later one changes.
    pub document: Value,
}

/// The configuration of a gateway.
#[derive(Deserialize, JsonSchema)]
struct File {
    /// Its name, the same after a restart.
    #[serde(default)]
    name: String,
    /// The address and port where clients connect.
    listen: String,
    /// The address and port where the list of roll servers is read.
    discovery: String,
    /// More such addresses, called in turn when the one in use fails. All have to serve one history of the list.
    #[serde(default)]
    #[schemars(length(max = 15))]
    discovery_fallbacks: Vec<String>,
    /// The address and port where operators call. Without it nobody does.
    #[serde(default)]
    ops: Option<String>,
    /// For random numbers: up to 16 hex digits. Without it they differ from start to start.
    #[serde(default)]
    seed: Option<String>,
    limits: Limits,
    /// The list as this gateway last had it.
    #[serde(default)]
    known: Option<List>,
    #[serde(default)]
    pool: Option<Pool>,
    #[serde(default)]
    log: Option<log::Options>,
    settings: Wire,
}

/// What the machine bears.
#[derive(Deserialize, JsonSchema)]
struct Limits {
    /// Memory of the process, in MiB. A fifth of it holds bodies.
    #[serde(default = "usual_memory")]
    #[schemars(range(min = 16, max = 1_048_576))]
    memory_mb: usize,
    /// File descriptors of the process.
    #[schemars(range(min = 80, max = 1_048_576))]
    sockets: usize,
    /// Processor cores. Told by the platform; the gateway uses one.
    #[serde(default)]
    #[schemars(with = "Option<f64>")]
    #[allow(dead_code)]
    cores: Option<Value>,
}

/// Bounds on connections to roll servers, beside those that the gateway finds itself.
#[derive(Clone, Deserialize, Default, JsonSchema)]
#[serde(default, deny_unknown_fields)]
struct Pool {
    /// The most connections to one roll server. Without it the gateway decides.
    #[schemars(range(min = 1, max = 100_000))]
    per_server: Option<u32>,
    /// How long a connection may idle at most, in milliseconds. Without it half of the settings' time.
    #[schemars(range(min = 1, max = 3_600_000))]
    idle_ms: Option<u64>,
}

fn usual_memory() -> usize {
    64
}

/// The default values for keys that a TOML file leaves out.
pub const DEFAULTS: &str = include_str!("defaults.toml");

/// The JSON schema of the configuration.
pub fn schema() -> Value {
    config::schema::<File>().to_value()
}

/// Reads and checks a configuration. `environment` overrides the file for the keys that it provides.
///
/// # Errors
/// The file cannot be read, or values are invalid: all of them are reported, not only the first.
pub fn load(path: &Path, environment: impl Fn(&str) -> Option<String>) -> Result<Config, Errors> {
    let text = config::read(path)?;
    read(&text, FileFormat::of(path), environment).map_err(|wrong| wrong.in_file(path))
}

fn read(
    text: &[u8],
    form: FileFormat,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Config, Errors> {
    match form {
        FileFormat::Toml => {
            let loaded = config::from_text::<File>(text, form, DEFAULTS)?;
            build(loaded.settings, loaded.value, environment)
        }
        FileFormat::Json => {
            let value = form.parse(text)?;
            // The platform's file may have keys that are unknown here, and the platform defines their ranges.
            // This program's own options are also checked for unknown keys.
            let file = File::deserialize(&value).map_err(|e| {
                let schema = config::schema::<File>();
                config::check(&schema, &value, UnknownKeys::Ignored)
                    .err()
                    .unwrap_or_else(|| Errors::single(e.to_string()))
            });
            let mut faults = Vec::new();
            let mut own = |key: &str, schema: fn() -> Schema| {
                let part = value.get(key).filter(|v| !v.is_null());
                let checked =
                    part.map_or(Ok(()), |part| config::check_at(&schema(), part, key, UnknownKeys::Rejected));
                faults.extend(checked.err().into_iter().flat_map(|w| w.0));
            };
            own("pool", config::schema::<Pool>);
            own("log", config::schema::<log::Options>);
            match file {
                Ok(file) if file.seed.is_none() => faults.push(format!("seed is missing: {SEED} are wanted")),
                Ok(file) if faults.is_empty() => return build(file, value, environment),
                Ok(_) => {}
                Err(more) => faults
                    .extend(more.0.into_iter().filter(|fault| !faults.contains(fault)).collect::<Vec<_>>()),
            }
            Err(Errors(faults))
        }
    }
}

/// The format of a seed, in error messages.
const SEED: &str = "up to 16 hex digits";

fn build(
    file: File,
    document: Value,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Config, Errors> {
    let mut faults = Vec::new();
    let Addresses { listen, ops, discovery } = Addresses::read(&file, &environment, &mut faults);
    let reserved = RESERVED_DESCRIPTORS + ops.map_or(0, |_| MAX_OPERATOR_CALLS);
    let sockets = file.limits.sockets;
    if sockets < 2 * reserved {
        faults.push(format!("limits.sockets is {sockets}: at least {} are wanted", 2 * reserved));
    }
    let seed = random_seed(file.seed.as_deref(), &mut faults);
    let zones = file.settings.dcs.clone();
    let connect_timeout = required_time("connect_timeout", file.settings.limits.connect_timeout, &mut faults);
    let keepalive = required_time("keepalive", file.settings.limits.keepalive, &mut faults);
    let mut settings = Settings::from(file.settings);
    if let Err(fault) = settings::check(&settings) {
        faults.push(format!("settings: {fault}"));
    }
    let (Some(listen), true) = (listen, faults.is_empty()) else {
        return Err(Errors(faults));
    };
    let backend_sockets = backend_sockets(sockets - reserved);
    let pool = file.pool.unwrap_or_default();
    let idle_timeout = idle_timeout(keepalive, &pool);
    settings.connections = backend_sockets.try_into().unwrap_or(u32::MAX);
    settings.connections_per_server = pool.per_server.unwrap_or(u32::MAX);
    settings.connection_idle_time =
        idle_timeout.as_nanos().try_into().unwrap_or(gateway_decisions::Time::MAX);
    Ok(Config {
        name: environment("LB_NAME").unwrap_or(file.name),
        listen,
        discovery,
        ops,
        seed,
        cached_list: file.known,
        settings,
        zones,
        // Room for two processes during a restart, with what sockets and heap need, within the limit.
        body_memory: (file.limits.memory_mb << 20) / 5,
        connect_timeout,
        idle_timeout,
        client_sockets: sockets - reserved - backend_sockets,
        backend_sockets,
        log: file.log.unwrap_or_default(),
        document,
    })
}

/// The well-formed addresses of a configuration.
struct Addresses {
    listen: Option<SocketAddr>,
    ops: Option<SocketAddr>,
    discovery: Vec<SocketAddr>,
}

impl Addresses {
    /// Reads the file's addresses; an environment variable replaces the corresponding key of the file.
    fn read(file: &File, environment: impl Fn(&str) -> Option<String>, faults: &mut Vec<String>) -> Self {
        let mut address = |variable: &str, key: &str, in_file: &str| {
            let (text, key) = match environment(variable) {
                Some(text) => (text, variable),
                None => (in_file.to_string(), key),
            };
            let parsed = text.parse::<SocketAddr>();
            if parsed.is_err() {
                faults.push(format!("{key} is {text:?}: an address and port are wanted"));
            }
            parsed.ok()
        };
        let listen = address("LB_LISTEN", "listen", &file.listen);
        let has_ops = file.ops.is_some() || environment("LB_OPS").is_some();
        let ops =
            if has_ops { address("LB_OPS", "ops", file.ops.as_deref().unwrap_or_default()) } else { None };
        let mut discovery = vec![address("LB_DISCOVERY", "discovery", &file.discovery)];
        for (n, in_file) in file.discovery_fallbacks.iter().enumerate() {
            // No environment variable has an empty name.
            discovery.push(address("", &format!("discovery_fallbacks[{n}]"), in_file));
        }
        let count = file.discovery_fallbacks.len();
        if count > MAX_FALLBACKS {
            faults
                .push(format!("discovery_fallbacks has {count} addresses: 0 to {MAX_FALLBACKS} are wanted"));
        }
        Addresses { listen, ops, discovery: discovery.into_iter().flatten().collect() }
    }
}

/// Returns the configured seed, or a random one.
fn random_seed(configured: Option<&str>, faults: &mut Vec<String>) -> u64 {
    match configured {
        Some(text) => u64::from_str_radix(text, 16).unwrap_or_else(|_| {
            faults.push(format!("seed is {text:?}: {SEED} are wanted"));
            0
        }),
        None => fastrand::u64(..),
    }
}

/// Reads a time of `settings.limits` that has no default.
fn required_time(key: &str, nanoseconds: Option<u64>, faults: &mut Vec<String>) -> Duration {
    if nanoseconds.is_none() {
        faults.push(format!("settings.limits.{key} is missing: a time in nanoseconds is wanted"));
    }
    Duration::from_nanos(nanoseconds.unwrap_or_default())
}

/// Returns the number of unreserved descriptors for backends. A pending request needs a client connection for
/// its whole duration and a backend connection only while an attempt is in flight, and clients keep idle
/// connections.
fn backend_sockets(unreserved: usize) -> usize {
    unreserved * 2 / 5
}

/// Returns the idle timeout of connections to roll servers. A roll server measures idle time from when it
/// wrote its answer and closes after the settings' time at the latest: half of that time avoids writing a
/// request to a connection that is being closed.
fn idle_timeout(keepalive: Duration, pool: &Pool) -> Duration {
    let half = keepalive / 2;
    pool.idle_ms.map_or(half, |ms| half.min(Duration::from_millis(ms)))
}

/// Returns the keys that a reloaded configuration changes: those that are applied immediately, and those that
/// need a restart. The cached list and the random seed count only at the start.
pub fn changes(before: &Config, after: &Config) -> (Vec<String>, Vec<String>) {
    let keys = config::differences(&before.document, &after.document);
    let of = |key: &str, part: &str| {
        key.strip_prefix(part).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    };
    let counted = |key: &String| !["known", "seed"].iter().any(|part| of(key, part));
    let applied = |key: &String| APPLIED_AT_ONCE.iter().any(|part| of(key, part));
    keys.into_iter().filter(counted).partition(applied)
}

/// The keys that are applied on a reload.
const APPLIED_AT_ONCE: [&str; 4] = ["discovery", "discovery_fallbacks", "log.level", "log.modules"];
