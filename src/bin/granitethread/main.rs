//! granitethread: one gateway on real sockets around the decision module.
#![deny(unsafe_code)]

/// A line of the log. Unlike `eprintln!` it survives whoever reads the log.
macro_rules! log {
    ($($part:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stderr(), $($part)*);
    }};
}
pub(crate) use log;

mod backends;
mod bodies;
mod config;
mod discovery;
mod driver;
mod figures;
mod handover;
mod inherited;
mod link;
mod ops;
mod pool;
mod server;
mod staleness;
mod tap;

use backends::Backends;
use driver::Driver;
use handover::{Handover, Note, Place};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::spawn_local;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            log!("granitethread: {what}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    // First of all: the number must not stand for a descriptor of this program's own.
    let inherited = match std::env::var_os("LB_INHERITED_FD") {
        Some(fd) => {
            let listener = inherited::listener(&fd.to_string_lossy());
            Some(listener.map_err(|e| format!("LB_INHERITED_FD: {e}"))?)
        }
        None => None,
    };
    let config = config::load()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(Default::default())
        .map_err(|e| format!("cannot start the event loop: {e}"))?;
    // As a task: what wakes the future of `block_on` itself costs a write to an eventfd each time.
    runtime.block_on(async { spawn_local(run(config, inherited)).await }).map_err(|e| format!("lost: {e}"))?
}

async fn run(config: config::Config, inherited: Option<std::net::TcpListener>) -> Result<(), String> {
    let signals = |kind| signal(kind).map_err(|e| format!("cannot listen for signals: {e}"));
    let (mut term, mut int) = (signals(SignalKind::terminate())?, signals(SignalKind::interrupt())?);
    let mut hangup = signals(SignalKind::hangup())?;
    let backends = Backends::new(&config);
    let driver = Driver::new(&config, backends.clone())?;
    // Where each call is a load on discovery, the known list spares one: a watch tells what has changed since.
    let held = config.known.as_ref().filter(|k| k.all && config.settings.subscribe).map(|k| k.rev);
    let known = config.known.as_ref().map_or(0, |k| k.rev);
    if let Some(known) = config.known {
        driver.cached(known);
    }
    let listener = match inherited {
        Some(listener) => server::adopt(listener)?,
        None => server::listen(config.listen)?,
    };
    if let Ok(address) = listener.local_addr() {
        log!("listening on {address}");
    }
    let server = Rc::new(server::Server::new(driver.clone(), backends.clone(), config.client_sockets));
    if let Some(address) = config.ops {
        let listener = server::listen(address).map_err(|e| format!("ops: {e}"))?;
        if let Ok(address) = listener.local_addr() {
            log!("operators call at {address}");
        }
        let ops = ops::Ops { driver: driver.clone(), backends: backends.clone(), server: server.clone() };
        spawn_local(Rc::new(ops).accept(listener));
    }
    spawn_local(server.clone().keep_away());
    let place = Place::of(&config.name);
    if let Some(place) = &place {
        let handover = Handover { driver: driver.clone(), server: server.clone() };
        if let Some((link, state)) = place.join().await {
            log!("handover: goes on from a predecessor");
            handover.clone().take_over(link, state);
        }
        match place.listen() {
            Ok(listener) => drop(spawn_local(handover.serve(listener))),
            Err(e) => log!("handover: no successor can take over from this process: {e}"),
        }
    }
    let (discovery, address) = watch::channel(config.discovery);
    spawn_local(discovery::watch(address, driver.clone(), held, known, config.seed));
    spawn_local(async move {
        while hangup.recv().await.is_some() {
            reload(&discovery);
        }
    });
    spawn_local(backends.pool.clone().keep());
    let running = driver.clone();
    let running = spawn_local(async move { running.run().await });
    // From the first connection that this process lets in.
    driver.tell(Note::Ready);
    let stop = async {
        tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
    };
    tokio::select! {
        lost = running => Err(format!("the driver ended: {lost:?}")),
        () = server.accept(listener, stop) => Ok(()),
    }
}

/// Takes the addresses of discovery from the file as it is now; the rest holds from the start on. A file that
/// cannot be used changes nothing: whoever replaced it reads why in the log.
fn reload(discovery: &watch::Sender<Vec<SocketAddr>>) {
    match config::reload() {
        Ok(config) => {
            let told: Vec<String> = config.discovery.iter().map(SocketAddr::to_string).collect();
            log!("configuration read again: discovery at {}", told.join(", "));
            discovery.send_if_modified(|at| {
                let other = *at != config.discovery;
                *at = config.discovery;
                other
            });
        }
        Err(what) => log!("configuration not taken, the old one stands: {what}"),
    }
}
