//! granitehub-registry: the list of roll servers as a service of its own. Servers announce themselves under a
//! lease; gateways read the list and watch it.

/// A line of the log. Unlike `eprintln!` it survives whoever reads the log.
macro_rules! log {
    ($($part:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stderr(), $($part)*);
    }};
}
pub(crate) use log;

mod disk;
mod follow;
mod http;
mod service;
mod store;

use disk::Disk;
use http::Side;
use lexopt::{Arg, Parser, ValueExt};
use service::Registry;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// What those may take who are answered at the end.
const LEAVE: Duration = Duration::from_secs(2);
const MOST_GRACE: u64 = 600_000;
const HELP: &str = "\
granitehub-registry --dir FOLDER [--readers ADDRESS] [--registrars ADDRESS] [--operators ADDRESS] [--grace-ms N]
granitehub-registry --follow ADDRESS [--readers ADDRESS] [--operators ADDRESS]

  --follow ADDRESS      serve the list of the registry whose readers call there; nobody registers here
  --dir FOLDER          where the list is kept; made if it is not there
  --readers ADDRESS     where gateways read the list (127.0.0.1:8500)
  --registrars ADDRESS  where servers announce themselves (127.0.0.1:8501)
  --operators ADDRESS   where staff read figures; without it nobody does
  --grace-ms N          no lease ends so soon after a start: 0 to 600000 (30000)
";

struct Options {
    list: Source,
    readers: SocketAddr,
    operators: Option<SocketAddr>,
}

/// Where the list comes from.
enum Source {
    Own { dir: PathBuf, registrars: SocketAddr, grace: Duration },
    Another(SocketAddr),
}

fn main() -> ExitCode {
    let options = match options(std::env::args_os()) {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(why) => {
            log!("granitehub-registry: {why}");
            return ExitCode::from(2);
        }
    };
    match start(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            log!("granitehub-registry: {why}");
            ExitCode::FAILURE
        }
    }
}

/// None if help is asked for.
fn options(args: impl IntoIterator<Item = OsString>) -> Result<Option<Options>, String> {
    let mut parser = Parser::from_iter(args);
    let mut readers = ([127, 0, 0, 1], 8500).into();
    let (mut operators, mut follow) = (None, None);
    let (mut dir, mut registrars, mut grace) = (None, None, None);
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        let name = match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(None),
            Arg::Long(name) => name.to_string(),
            other => return Err(other.unexpected().to_string()),
        };
        let value = |parser: &mut Parser| parser.value().map_err(|e| e.to_string());
        let address = |parser: &mut Parser| {
            let told = value(parser)?;
            let parsed = told.to_str().and_then(|text| text.parse::<SocketAddr>().ok());
            parsed.ok_or_else(|| format!("--{name} is {told:?}: an address and port are wanted"))
        };
        match name.as_str() {
            "dir" => dir = Some(PathBuf::from(value(&mut parser)?)),
            "readers" => readers = address(&mut parser)?,
            "registrars" => registrars = Some(address(&mut parser)?),
            "follow" => follow = Some(address(&mut parser)?),
            "operators" => operators = Some(address(&mut parser)?),
            "grace-ms" => {
                let told = value(&mut parser)?;
                let number = told.parse::<u64>().ok().filter(|n| *n <= MOST_GRACE);
                let wrong = || format!("--grace-ms is {told:?}: 0 to {MOST_GRACE} is wanted");
                grace = Some(number.ok_or_else(wrong)?);
            }
            _ => return Err(format!("--{name} is no option")),
        }
    }
    let list = match (follow, dir) {
        (Some(address), None) if registrars.is_none() && grace.is_none() => Source::Another(address),
        (Some(_), _) => return Err("--follow goes without --dir, --registrars and --grace-ms".to_string()),
        (None, Some(dir)) => Source::Own {
            dir,
            registrars: registrars.unwrap_or(([127, 0, 0, 1], 8501).into()),
            grace: Duration::from_millis(grace.unwrap_or(30_000)),
        },
        (None, None) => {
            return Err("--dir, the folder that keeps the list, or --follow is wanted".to_string())
        }
    };
    Ok(Some(Options { list, readers, operators }))
}

fn start(options: Options) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(Default::default())
        .map_err(|e| format!("cannot start the event loop: {e}"))?;
    runtime.block_on(run(options))
}

async fn run(options: Options) -> Result<(), String> {
    let signals = |kind| signal(kind).map_err(|e| format!("cannot listen for signals: {e}"));
    let (mut term, mut int) = (signals(SignalKind::terminate())?, signals(SignalKind::interrupt())?);
    let mut rng = fastrand::Rng::new();
    let id = format!("{:016x}", rng.u64(..));
    let (close, closing) = watch::channel(false);
    let mut sides = vec![(options.readers, Side::Readers)];
    let (registry, followed) = match options.list {
        Source::Own { dir, registrars, grace } => {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let (disk, kept) = Disk::open(&dir, disk::first_version(now.as_millis() as u64))?;
            log!("version {}, {} entries", kept.rev, kept.entries.len());
            sides.push((registrars, Side::Registrars));
            (Registry::new(disk, kept, grace, id), None)
        }
        Source::Another(address) => (Registry::follower(id), Some(address)),
    };
    sides.extend(options.operators.map(|address| (address, Side::Operators)));
    let mut serving = Vec::new();
    for (address, side) in sides {
        let named = |e: std::io::Error| format!("{address}: {e}");
        let listener = TcpListener::bind(address).await.map_err(named)?;
        let at = listener.local_addr().map_err(named)?;
        log!("{side:?} call at {at}");
        serving.push(spawn_local(http::serve(listener, registry.clone(), side, closing.clone())));
    }
    spawn_local(registry.clone().tell());
    match followed {
        Some(address) => drop(spawn_local(follow::follow(address, registry.clone(), rng.u64(..)))),
        None => drop(spawn_local(registry.clone().expire())),
    }
    tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
    log!("ends: watchers are let go");
    close.send_replace(true);
    registry.close();
    let ended = async {
        for side in serving {
            let _ = side.await;
        }
    };
    if timeout(LEAVE, ended).await.is_err() {
        log!("some callers did not take their answer");
    }
    Ok(())
}
