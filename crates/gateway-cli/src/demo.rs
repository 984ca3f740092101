//! Demonstrates the whole system on this machine. The real registry and gateways run as separate processes,
//! simulated roll servers and clients run in this process, and all use loopback ports that the operating
//! system chooses.

mod clients;
mod random;
mod servers;

use crate::gateways::{status_table, statuses, RequestCounts};
use crate::options::CommonOptions;
use crate::outcome::Outcome;
use clap::Args;
use clients::{generate_load, RequestTally};
use gateway_process_trial::process::{end_all, path_text, Folder, Program, PROCESS_TIMEOUT};
use program_support::config::Errors;
use program_support::program::print;
use servers::RollServer;
use std::cell::RefCell;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, Instant};

#[derive(Args)]
pub struct Demo {
    /// How long requests are sent
    #[arg(long, value_name = "N", default_value_t = 15, value_parser = clap::value_parser!(u64).range(3..=3600))]
    seconds: u64,
    /// Gateways to start
    #[arg(id = "count", long = "gateways", value_name = "N", default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=20))]
    gateways: u64,
    /// Stand-ins for roll servers; one of them dies after a third of the time, and starts again after two thirds
    #[arg(long, value_name = "N", default_value_t = 6, value_parser = clap::value_parser!(u64).range(2..=100))]
    servers: u64,
    /// Requests a second, over all gateways
    #[arg(long, value_name = "N", default_value_t = 300, value_parser = clap::value_parser!(u64).range(1..=5000))]
    rate: u64,
}

/// Configuration of a demo gateway, as a template: `DISCOVERY`, `COUNT` and `NUMBER` are replaced for each
/// gateway.
const GATEWAY_CONFIGURATION: &str = r#"
listen = "127.0.0.1:0"
ops = "127.0.0.1:0"
discovery = "DISCOVERY"
[settings]
dcs = ["hall"]
siblings = COUNT
me = NUMBER
[settings.obligations]
cold = 2_000_000_000
[[settings.plans]]
name = "basic"
quota_rate = 100
depth = 200
value_factor = 1
[[settings.services]]
name = "roll-lookup"
on_time = 400_000_000
deadline = 1_500_000_000
effect = "safe"
points = 1
"#;

/// Runs the demo and prints a table each second. On a signal the caller drops the future, which ends all
/// programs.
pub async fn run(options: &CommonOptions, demo: &Demo) -> Result<Outcome, Errors> {
    let mut system = System::start(options, demo).await?;
    print(format!(
        "registry at {}, {} roll servers, gateways at {}, {} requests a second\n\n",
        system.readers_address,
        demo.servers,
        system.client_addresses.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(", "),
        demo.rate
    ))?;
    let Totals { served, refused, failed } = system.run_load(demo).await?;
    let exited_early = system.shut_down();
    print(format!("in all {served} served, {refused} refused, {failed} failed; everything is ended\n"))?;
    if exited_early > 0 {
        return Err(Errors::single(format!("{exited_early} programs exited before the demo ended")));
    }
    Ok(if served > 0 { Outcome::Success } else { Outcome::Failure })
}

/// Counts of requests by result over the whole demo.
#[derive(Default)]
struct Totals {
    served: u64,
    refused: u64,
    failed: u64,
}

/// The running programs and simulated servers. Dropping a `System` ends all of them; the folder of their
/// files is dropped last.
struct System {
    gateways: Vec<Program>,
    /// The simulated roll servers; `None` while a server is killed.
    servers: Vec<Option<RollServer>>,
    registry: Program,
    /// The registry's address for readers.
    readers_address: SocketAddr,
    /// The registry's address for registrars.
    registrars_address: SocketAddr,
    /// The gateways' addresses for clients.
    client_addresses: Vec<SocketAddr>,
    /// Options for calls to the gateways as an operator.
    options: CommonOptions,
    folder: Folder,
}

impl System {
    /// Starts the registry, the simulated servers and the gateways, and waits until the gateways are ready.
    async fn start(options: &CommonOptions, demo: &Demo) -> Result<Self, Errors> {
        let folder = Folder::new("demo")?;
        let (list, programs) = (folder.path("list"), Program::own_folder()?);
        let arguments = [
            "--dir",
            path_text(&list),
            "--readers",
            "127.0.0.1:0",
            "--registrars",
            "127.0.0.1:0",
            "--grace-ms",
            "0",
        ];
        let log = folder.path("registry.log");
        let mut registry = Program::start(&programs, "sprucehatch-registry", &arguments, log)?;
        let readers_address = registry.logged_address("Readers call at ")?;
        let registrars_address = registry.logged_address("Registrars call at ")?;
        let mut servers = Vec::new();
        for n in 1..=demo.servers {
            servers.push(Some(RollServer::start(format!("s-{n}"), registrars_address, n).await?));
        }
        let (mut gateways, mut client_addresses, mut operator_addresses) =
            (Vec::new(), Vec::new(), Vec::new());
        for n in 0..demo.gateways {
            let mut gateway = start_gateway(&folder, &programs, readers_address, demo.gateways, n)?;
            client_addresses.push(gateway.logged_address("listening on ")?);
            operator_addresses.push(gateway.logged_address("operators call at ")?);
            gateways.push(gateway);
        }
        let options = CommonOptions {
            gateways: operator_addresses,
            registrars: Some(registrars_address),
            timeout: options.timeout,
            json: false,
        };
        wait_until_ready(&options).await?;
        Ok(System {
            gateways,
            servers,
            registry,
            readers_address,
            registrars_address,
            client_addresses,
            options,
            folder,
        })
    }

    /// Sends requests and prints the state each second, while the first roll server is killed and started
    /// again. Returns the counts of requests.
    async fn run_load(&mut self, demo: &Demo) -> Result<Totals, Errors> {
        let tally = Rc::new(RefCell::new(Rc::new(RequestTally::default())));
        let mut tasks = JoinSet::new();
        tasks.spawn_local(generate_load(self.client_addresses.clone(), demo.rate, tally.clone()));
        let (mut totals, mut previous) = (Totals::default(), RequestCounts::default());
        let mut ticks = interval(Duration::from_secs(1));
        ticks.tick().await;
        for second in 1..=demo.seconds {
            ticks.tick().await;
            let finished_tally = tally.replace(Rc::default());
            let event = self.apply_event(demo, second).await?;
            let answers = statuses(&self.options).await?;
            let clear = if std::io::stdout().is_terminal() { "\x1b[H\x1b[2J" } else { "" };
            print(format!(
                "{clear}{}{}\n",
                finished_tally.summary_line(second, event),
                status_table(&answers, &previous)
            ))?;
            previous = RequestCounts::from_answers(&answers);
            totals.served += finished_tally.served.get();
            totals.refused += finished_tally.refused.get();
            totals.failed += finished_tally.failed.get();
        }
        Ok(totals)
    }

    /// Kills or starts the first roll server if that is due in this second. Returns the note for the printed
    /// line.
    async fn apply_event(&mut self, demo: &Demo, second: u64) -> Result<&'static str, Errors> {
        if second == (demo.seconds / 3).max(1) {
            self.servers[0] = None;
            return Ok("  <- s-1 is killed");
        }
        if second == (demo.seconds * 2 / 3).max(2) {
            self.servers[0] = Some(RollServer::start("s-1".to_string(), self.registrars_address, 1).await?);
            return Ok("  <- s-1 starts again, cold");
        }
        Ok("")
    }

    /// Ends all programs. Returns how many of them had already exited by themselves.
    fn shut_down(self) -> usize {
        let System { gateways: mut programs, registry, folder, .. } = self;
        programs.push(registry);
        let mut exited_early = 0;
        for program in &mut programs {
            exited_early += usize::from(program.ended().is_some());
        }
        // All programs are ended concurrently, so that this takes only as long as the slowest one.
        end_all(&mut programs);
        drop((programs, folder));
        exited_early
    }
}

/// Starts gateway `n` (from 0) of `count` gateways.
fn start_gateway(
    folder: &Folder,
    programs: &Path,
    readers_address: SocketAddr,
    count: u64,
    n: u64,
) -> Result<Program, Errors> {
    let configuration = GATEWAY_CONFIGURATION
        .replace("DISCOVERY", &readers_address.to_string())
        .replace("COUNT", &count.to_string())
        .replace("NUMBER", &n.to_string());
    let configuration = format!("name = \"n{n}\"\n{configuration}");
    let file = folder.file(&format!("n{n}.toml"), &configuration)?;
    let log = folder.path(&format!("n{n}.log"));
    Program::start(programs, "sprucehatch-gateway", &["--config", path_text(&file)], log)
}

/// Waits until each gateway reports that it is ready. Fails after `PROCESS_TIMEOUT`.
async fn wait_until_ready(options: &CommonOptions) -> Result<(), Errors> {
    let deadline = Instant::now() + PROCESS_TIMEOUT;
    loop {
        let answers = statuses(options).await?;
        if answers.iter().all(|(_, status)| status.as_ref().is_ok_and(|s| s.ready)) {
            return Ok(());
        }
        if Instant::now() > deadline {
            return Err(Errors::single(format!(
                "not all gateways are ready:\n{}",
                status_table(&answers, &RequestCounts::default())
            )));
        }
        sleep(Duration::from_millis(50)).await;
    }
}
