//! The whole system on this machine, to be watched: the real registry and gateways as processes of their own, stand-ins
//! for roll servers and clients in this one, all on loopback at ports that the system chooses.

mod clients;
mod random;
mod servers;

use crate::gateways::{page, statuses, Counts};
use crate::outcome::Outcome;
use crate::setup::Setup;
use clap::Args;
use clients::{load, Tally};
use gateway_process_trial::process::{end_all, text, Folder, Program, PATIENCE};
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

const CONFIGURATION: &str = r#"
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

/// Runs the demo. The caller ends it on a signal.
pub async fn run(setup: &Setup, demo: &Demo) -> Result<Outcome, Errors> {
    let mut system = System::start(setup, demo).await?;
    print(format!(
        "registry at {}, {} roll servers, gateways at {}, {} requests a second\n\n",
        system.readers,
        demo.servers,
        system.clients.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(", "),
        demo.rate
    ))?;
    let Totals { served, refused, failed } = system.play(demo).await?;
    let lost = system.end();
    print(format!("in all {served} served, {refused} refused, {failed} failed; everything is ended\n"))?;
    if lost > 0 {
        return Err(Errors::single(format!("{lost} programs had ended before")));
    }
    Ok(if served > 0 { Outcome::All } else { Outcome::None })
}

/// How requests ended over all of the demo.
#[derive(Default)]
struct Totals {
    served: u64,
    refused: u64,
    failed: u64,
}

/// The programs and stand-ins that run. Dropped, they are ended, the folder of their files last.
struct System {
    gateways: Vec<Program>,
    servers: Vec<Option<RollServer>>,
    registry: Program,
    /// Where the registry serves readers and registrars.
    readers: SocketAddr,
    registrars: SocketAddr,
    /// Where the gateways serve clients.
    clients: Vec<SocketAddr>,
    /// How the gateways are called as an operator.
    setup: Setup,
    folder: Folder,
}

impl System {
    async fn start(setup: &Setup, demo: &Demo) -> Result<Self, Errors> {
        let folder = Folder::new("demo")?;
        let (list, programs) = (folder.path("list"), Program::beside()?);
        let arguments = [
            "--dir",
            text(&list),
            "--readers",
            "127.0.0.1:0",
            "--registrars",
            "127.0.0.1:0",
            "--grace-ms",
            "0",
        ];
        let log = folder.path("registry.log");
        let mut registry = Program::start(&programs, "sprucehatch-registry", &arguments, log)?;
        let readers = registry.told("Readers call at ")?;
        let registrars = registry.told("Registrars call at ")?;
        let mut servers = Vec::new();
        for n in 1..=demo.servers {
            servers.push(Some(RollServer::start(format!("s-{n}"), registrars, n).await?));
        }
        let (mut gateways, mut clients, mut operators) = (Vec::new(), Vec::new(), Vec::new());
        for n in 0..demo.gateways {
            let mut gateway = start_gateway(&folder, &programs, readers, demo.gateways, n)?;
            clients.push(gateway.told("listening on ")?);
            operators.push(gateway.told("operators call at ")?);
            gateways.push(gateway);
        }
        let setup =
            Setup { gateways: operators, registrars: Some(registrars), limit: setup.limit, json: false };
        wait_until_ready(&setup).await?;
        Ok(System { gateways, servers, registry, readers, registrars, clients, setup, folder })
    }

    /// Sends requests and shows each second, while a roll server dies and starts again.
    async fn play(&mut self, demo: &Demo) -> Result<Totals, Errors> {
        let tally = Rc::new(RefCell::new(Rc::new(Tally::default())));
        let mut tasks = JoinSet::new();
        tasks.spawn_local(load(self.clients.clone(), demo.rate, tally.clone()));
        let (mut totals, mut before) = (Totals::default(), Counts::default());
        let mut every = interval(Duration::from_secs(1));
        every.tick().await;
        for second in 1..=demo.seconds {
            every.tick().await;
            let past = tally.replace(Rc::default());
            let event = self.event(demo, second).await?;
            let answers = statuses(&self.setup).await?;
            let clear = if std::io::stdout().is_terminal() { "\x1b[H\x1b[2J" } else { "" };
            print(format!("{clear}{}{}\n", past.line(second, event), page(&answers, &before)))?;
            before = Counts::of(&answers);
            totals.served += past.served.get();
            totals.refused += past.refused.get();
            totals.failed += past.failed.get();
        }
        Ok(totals)
    }

    /// What happens to the first roll server in this second, and how it is shown.
    async fn event(&mut self, demo: &Demo, second: u64) -> Result<&'static str, Errors> {
        if second == (demo.seconds / 3).max(1) {
            self.servers[0] = None;
            return Ok("  <- s-1 is killed");
        }
        if second == (demo.seconds * 2 / 3).max(2) {
            self.servers[0] = Some(RollServer::start("s-1".to_string(), self.registrars, 1).await?);
            return Ok("  <- s-1 starts again, cold");
        }
        Ok("")
    }

    /// Ends all programs. How many had ended before.
    fn end(self) -> usize {
        let System { gateways: mut programs, registry, folder, .. } = self;
        programs.push(registry);
        let mut lost = 0;
        for program in &mut programs {
            lost += usize::from(program.ended().is_some());
        }
        // All at once, so that the end takes as long as the slowest.
        end_all(&mut programs);
        drop((programs, folder));
        lost
    }
}

/// Starts the gateway of this number among so many.
fn start_gateway(
    folder: &Folder,
    programs: &Path,
    readers: SocketAddr,
    count: u64,
    n: u64,
) -> Result<Program, Errors> {
    let configuration = CONFIGURATION
        .replace("DISCOVERY", &readers.to_string())
        .replace("COUNT", &count.to_string())
        .replace("NUMBER", &n.to_string());
    let configuration = format!("name = \"n{n}\"\n{configuration}");
    let file = folder.file(&format!("n{n}.toml"), &configuration)?;
    let log = folder.path(&format!("n{n}.log"));
    Program::start(programs, "sprucehatch-gateway", &["--config", text(&file)], log)
}

/// Waits until each gateway can serve.
async fn wait_until_ready(gateways: &Setup) -> Result<(), Errors> {
    let end = Instant::now() + PATIENCE;
    loop {
        let answers = statuses(gateways).await?;
        if answers.iter().all(|(_, status)| status.as_ref().is_ok_and(|s| s.ready)) {
            return Ok(());
        }
        if Instant::now() > end {
            return Err(Errors::single(format!(
                "not all gateways are ready:\n{}",
                page(&answers, &Counts::default())
            )));
        }
        sleep(Duration::from_millis(50)).await;
    }
}
