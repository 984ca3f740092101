//! granitethread: one gateway in a process of its own.

use granitethread::{config, inherited, Config, Host, Tuning};
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::spawn_local;

/// A line of the log. Unlike `eprintln!` it survives whoever reads the log.
macro_rules! log {
    ($($part:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stderr(), $($part)*);
    }};
}

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

async fn run(config: Config, inherited: Option<std::net::TcpListener>) -> Result<(), String> {
    let signals = |kind| signal(kind).map_err(|e| format!("cannot listen for signals: {e}"));
    let (mut term, mut int) = (signals(SignalKind::terminate())?, signals(SignalKind::interrupt())?);
    let mut hangup = signals(SignalKind::hangup())?;
    let host = Host::start(config, inherited).await?;
    let tuning = host.tuning();
    spawn_local(async move {
        while hangup.recv().await.is_some() {
            reload(&tuning);
        }
    });
    host.serve(async {
        tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
    })
    .await
}

/// Takes the addresses of discovery from the file as it is now. A file that cannot be used changes nothing:
/// whoever replaced it reads why in the log.
fn reload(tuning: &Tuning) {
    match config::reload() {
        Ok(config) => {
            let told: Vec<String> = config.discovery.iter().map(ToString::to_string).collect();
            log!("configuration read again: discovery at {}", told.join(", "));
            tuning.take(&config);
        }
        Err(what) => log!("configuration not taken, the old one stands: {what}"),
    }
}
