//! sprucehatch-registry: the list of roll servers as a service of its own. Servers announce themselves under a
//! lease; gateways read the list and watch it.

mod disk;
mod follow;
mod http;
mod options;
mod service;
mod store;

use clap::Parser;
use disk::Disk;
use http::Side;
use options::{Arguments, Command, Options, Settings, Source};
use program_support::config::{self, Errors};
use program_support::log;
use program_support::program::{finish, print};
use service::Registry;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::timeout;

/// How long callers may take that are being answered when the registry ends.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

fn main() -> ExitCode {
    let Arguments { config, settings, command } = Arguments::parse();
    let done = match command.unwrap_or(Command::Run) {
        Command::Run => options::read(config, settings).and_then(start),
        Command::CheckConfig => options::read(config, settings).and_then(|_| print("ok\n")),
        Command::PrintSchema => print(format!("{:#}\n", config::schema::<Settings>().to_value())),
    };
    finish("sprucehatch-registry", done.map(|()| ExitCode::SUCCESS))
}

fn start(options: Options) -> Result<(), Errors> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(Default::default())
        .map_err(|e| Errors::single(format!("cannot start the event loop: {e}")))?;
    log::start(&options.log).map_err(Errors::single)?;
    runtime.block_on(run(options))
}

fn listen_for(kind: SignalKind) -> Result<Signal, Errors> {
    signal(kind).map_err(|e| Errors::single(format!("cannot listen for signals: {e}")))
}

async fn run(options: Options) -> Result<(), Errors> {
    let (mut term, mut int) = (listen_for(SignalKind::terminate())?, listen_for(SignalKind::interrupt())?);
    let mut rng = fastrand::Rng::new();
    let id = format!("{:016x}", rng.u64(..));
    let (close, closing) = watch::channel(false);
    let mut sides = vec![(options.readers, Side::Readers)];
    let (registry, followed) = match options.list {
        Source::Own { dir, registrars, grace } => {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let first = disk::first_version(now.as_millis() as u64);
            let (disk, list) = Disk::open(&dir, first).map_err(Errors::single)?;
            tracing::info!("version {}, {} entries", list.rev, list.entries.len());
            sides.push((registrars, Side::Registrars));
            (Registry::new(disk, list, grace, id), None)
        }
        Source::Another(address) => (Registry::follower(id), Some(address)),
    };
    if let Some(calls) = options.calls_per_s {
        registry.limit_calls(f64::from(calls));
    }
    sides.extend(options.operators.map(|address| (address, Side::Operators)));
    let serving = serve(sides, &registry, &closing).await?;
    spawn_local(registry.clone().publish_changes());
    match followed {
        Some(address) => drop(spawn_local(follow::follow(address, registry.clone(), rng.u64(..)))),
        None => drop(spawn_local(registry.clone().expire())),
    }
    tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
    tracing::info!("ends: watchers are let go");
    close.send_replace(true);
    registry.close();
    let ended = async {
        for side in serving {
            let _ = side.await;
        }
    };
    if timeout(SHUTDOWN_TIMEOUT, ended).await.is_err() {
        tracing::warn!("some callers did not take their answer");
    }
    Ok(())
}

/// Listens at all addresses, in their order, and serves them until `closing`.
async fn serve(
    sides: Vec<(SocketAddr, Side)>,
    registry: &Rc<Registry>,
    closing: &watch::Receiver<bool>,
) -> Result<Vec<JoinHandle<()>>, Errors> {
    let mut serving = Vec::new();
    for (address, side) in sides {
        let failed = |e: std::io::Error| Errors::single(format!("{address}: {e}"));
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let at = listener.local_addr().map_err(failed)?;
        tracing::info!("{side:?} call at {at}");
        serving.push(spawn_local(http::serve(listener, registry.clone(), side, closing.clone())));
    }
    Ok(serving)
}
