//! sprucehatch-registry: the service registry of the roll servers. Servers register themselves under a lease;
//! gateways read the list of servers and watch it.

mod disk;
mod follow;
mod http;
mod options;
mod service;
mod store;

use clap::Parser;
use disk::Disk;
use http::Api;
use options::{Arguments, Command, ListSource, Options, Settings};
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

/// The longest wait at shutdown for calls that are being answered.
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

fn listen_for_signal(kind: SignalKind) -> Result<Signal, Errors> {
    signal(kind).map_err(|e| Errors::single(format!("cannot listen for signals: {e}")))
}

async fn run(options: Options) -> Result<(), Errors> {
    let (mut term, mut int) =
        (listen_for_signal(SignalKind::terminate())?, listen_for_signal(SignalKind::interrupt())?);
    let mut rng = fastrand::Rng::new();
    let id = format!("{:016x}", rng.u64(..));
    let (close, closing) = watch::channel(false);
    let mut apis = vec![(options.readers, Api::Readers)];
    let (registry, followed) = match options.list {
        ListSource::Own { dir, registrars, grace } => {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let first = disk::first_version(now.as_millis() as u64);
            let (disk, list) = Disk::open(&dir, first).map_err(Errors::single)?;
            tracing::info!("version {}, {} entries", list.rev, list.entries.len());
            apis.push((registrars, Api::Registrars));
            (Registry::new(disk, list, grace, id), None)
        }
        ListSource::Follow(address) => (Registry::follower(id), Some(address)),
    };
    if let Some(calls) = options.calls_per_s {
        registry.set_rate_limit(f64::from(calls));
    }
    apis.extend(options.operators.map(|address| (address, Api::Operators)));
    let serving = serve(apis, &registry, &closing).await?;
    spawn_local(registry.clone().publish_changes());
    match followed {
        Some(address) => drop(spawn_local(follow::follow(address, registry.clone(), rng.u64(..)))),
        None => drop(spawn_local(registry.clone().run_expiry())),
    }
    tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
    tracing::info!("shutting down; answering pending watches");
    close.send_replace(true);
    registry.close();
    let ended = async {
        for api in serving {
            let _ = api.await;
        }
    };
    if timeout(SHUTDOWN_TIMEOUT, ended).await.is_err() {
        tracing::warn!("shutdown timeout: some callers did not read their response");
    }
    Ok(())
}

/// Listens at all addresses, in order, and serves their APIs until `closing` is set.
async fn serve(
    apis: Vec<(SocketAddr, Api)>,
    registry: &Rc<Registry>,
    closing: &watch::Receiver<bool>,
) -> Result<Vec<JoinHandle<()>>, Errors> {
    let mut serving = Vec::new();
    for (address, api) in apis {
        let failed = |e: std::io::Error| Errors::single(format!("{address}: {e}"));
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let at = listener.local_addr().map_err(failed)?;
        tracing::info!("{api:?} call at {at}");
        serving.push(spawn_local(http::serve(listener, registry.clone(), api, closing.clone())));
    }
    Ok(serving)
}
