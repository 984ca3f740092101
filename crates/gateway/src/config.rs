//! What a gateway is told at its start: the file that `LB_CONFIG` names.

use granitehub::{settings, Settings};
use granitehub_protocol::list::List;
use serde::Deserialize;
use serde_json::{Map, Value};
use std::env;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Descriptors that are neither clients nor backends: standard streams, the event loop, signals, the
/// listeners, discovery, operators' calls, and a few in passing between accept and close.
const RESERVED: usize = 40;

/// Operators' calls open at once. When there are more, the oldest, which is half a call, makes room.
pub const MOST_CALLS: usize = 16;

const MOST_FALLBACKS: usize = 15;

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// Where the list is read; others are called when the first does not answer.
    pub discovery: Vec<SocketAddr>,
    /// Where operators call; without an address there is no such listener.
    pub ops: Option<SocketAddr>,
    pub seed: u64,
    pub known: Option<List>,
    pub settings: Settings,
    /// Zone names; a zone's number is its place.
    pub zones: Vec<String>,
    /// Memory for bodies that are held, over all requests.
    pub body_memory: usize,
    pub connect_timeout: Duration,
    /// How long a connection to a roll server may idle at most.
    pub idle_time: Duration,
    /// The two halves of the descriptor budget.
    pub client_sockets: usize,
    pub backend_sockets: usize,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: String,
    discovery: String,
    #[serde(default)]
    discovery_fallbacks: Vec<String>,
    #[serde(default)]
    ops: Option<String>,
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: Option<List>,
    #[serde(default)]
    pool: Value,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    #[serde(default = "usual_memory")]
    memory_mb: usize,
    sockets: usize,
}

/// The options under `pool`: the most connections to one roll server, and how long one may idle at most, in
/// milliseconds. Without them the module and the settings decide.
const POOL: [(&str, RangeInclusive<u64>); 2] = [("per_server", 1..=100_000), ("idle_ms", 1..=3_600_000)];

fn pool(told: &Value) -> Result<[Option<u64>; 2], String> {
    let none = Map::new();
    let file = match told {
        Value::Null => &none,
        Value::Object(options) => options,
        other => return Err(format!("pool is {other}: an object with per_server and idle_ms is wanted")),
    };
    if let Some(key) = file.keys().find(|key| POOL.iter().all(|(known, _)| known != key)) {
        return Err(format!("pool.{key} is no option: per_server and idle_ms are"));
    }
    let mut told = [None; 2];
    for ((key, range), told) in POOL.iter().zip(&mut told) {
        let Some(value) = file.get(*key) else { continue };
        *told = value.as_u64().filter(|v| range.contains(v));
        if told.is_none() {
            let (least, most) = (range.start(), range.end());
            return Err(format!("pool.{key} is {value}: a whole number from {least} to {most} is wanted"));
        }
    }
    Ok(told)
}

fn usual_memory() -> usize {
    64
}

/// The settings that only a gateway with real connections needs.
#[derive(Deserialize)]
struct Extra {
    #[serde(default)]
    dcs: Vec<String>,
    limits: ConnectionLimits,
}

#[derive(Deserialize)]
struct ConnectionLimits {
    connect_timeout: u64,
    keepalive: u64,
}

pub fn load() -> Result<Config, String> {
    from_file(|variable| env::var(variable).ok())
}

/// The configuration as the file has it now. The environment is of the start and may be outdated.
pub fn reload() -> Result<Config, String> {
    from_file(|_| None)
}

fn from_file(environment: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let path = env::var("LB_CONFIG").map_err(|_| "LB_CONFIG is not set: it names the configuration file")?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    read(&text, environment).map_err(|e| format!("{path}: {e}"))
}

fn read(text: &[u8], environment: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let file: File = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let mut settings = settings::read(&file.settings).map_err(|e| format!("settings: {e}"))?;
    let extra = Extra::deserialize(&file.settings).map_err(|e| format!("settings: {e}"))?;
    let sockets = file.limits.sockets;
    let ops = match (environment("LB_OPS"), file.ops) {
        (None, None) => None,
        (told, in_file) => Some(address(told, "ops", in_file.unwrap_or_default())?),
    };
    let reserved = RESERVED + ops.map_or(0, |_| MOST_CALLS);
    if sockets < 2 * reserved {
        return Err(format!("limits: sockets is {sockets}: at least {} are wanted", 2 * reserved));
    }
    // A held request needs a client's connection for as long as it waits and a backend's only while an
    // attempt is out, and clients keep idle ones.
    let backend_sockets = (sockets - reserved) * 2 / 5;
    settings.connections = backend_sockets.try_into().unwrap_or(u32::MAX);
    let [each, idle_ms] = pool(&file.pool)?;
    settings.connections_each = each.map_or(u32::MAX, |n| n as u32);
    // A roll server counts idle time from when it wrote its answer and closes at the settings' time at the
    // latest: half of it keeps clear of requests written to a connection on its way out.
    let idle_time = Duration::from_nanos(extra.limits.keepalive) / 2;
    let mut discovery = vec![address(environment("LB_DISCOVERY"), "discovery", file.discovery)?];
    if file.discovery_fallbacks.len() > MOST_FALLBACKS {
        let many = file.discovery_fallbacks.len();
        return Err(format!("discovery_fallbacks has {many} addresses: 0 to {MOST_FALLBACKS} are wanted"));
    }
    for (n, told) in file.discovery_fallbacks.into_iter().enumerate() {
        discovery.push(address(None, &format!("discovery_fallbacks[{n}]"), told)?);
    }
    Ok(Config {
        name: environment("LB_NAME").unwrap_or(file.name),
        listen: address(environment("LB_LISTEN"), "listen", file.listen)?,
        discovery,
        ops,
        seed: u64::from_str_radix(&file.seed, 16)
            .map_err(|_| format!("seed is {:?}: up to 16 hex digits are wanted", file.seed))?,
        known: file.known,
        settings,
        zones: extra.dcs,
        // Twice over a start beside the old process, and with what sockets and heap need, within the limit.
        body_memory: (file.limits.memory_mb << 20) / 5,
        connect_timeout: Duration::from_nanos(extra.limits.connect_timeout),
        idle_time: idle_ms.map_or(idle_time, |ms| idle_time.min(Duration::from_millis(ms))),
        client_sockets: sockets - reserved - backend_sockets,
        backend_sockets,
    })
}

/// The environment's word goes before the file's.
fn address(environment: Option<String>, key: &str, in_file: String) -> Result<SocketAddr, String> {
    let text = environment.unwrap_or(in_file);
    text.parse().map_err(|_| format!("{key} is {text:?}: an address and port are wanted"))
}
