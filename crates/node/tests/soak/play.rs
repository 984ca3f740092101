//! The course of a play: series of faults, with a time of service after each.

use crate::clients::{knows_job, read_member_status, read_version, run_client, run_operator};
use crate::clients::{Ledger, MemberStatus, Observations};
use crate::process::{Process, SignalName};
use crate::site::{Role, Site, MEMORY_LIMIT_MB};
use fastrand::Rng;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Series of faults in a play.
const SERIES: usize = 5;
/// Faults of a series, which follow one another at once.
const FAULTS_OF_A_SERIES: std::ops::RangeInclusive<usize> = 3..=9;
const CLIENTS: usize = 6;
/// Every this many seeds, a play has as many processes as a small machine bears.
const LARGE_EVERY: u64 = 5;
const EDGES: usize = 4;
const EDGES_OF_A_LARGE_PLAY: usize = 40;
/// Longest time until service after a series.
const PATIENCE: Duration = Duration::from_secs(60);
/// Answers with success that show that the system serves.
const SERVED_AFTER_A_SERIES: u64 = 40;
/// Share of a core that a process may use while clients are served and nothing else happens.
const MAX_PROCESSOR_SHARE: f64 = 0.9;
/// Longest time for one attempt to ask an edge.
const ATTEMPT_PATIENCE: Duration = Duration::from_secs(1);
/// A client notices within this time that the other process was killed.
const KILL_NOTICED: Duration = Duration::from_secs(5);
/// Accepted jobs that are asked for at the end.
const JOBS_ASKED_FOR: usize = 60;

struct Play {
    seed: u64,
    rng: Rng,
    site: Site,
    /// Disks were lost at the first start.
    has_lost_disks: bool,
}

/// Plays a seed; panics with all that was wrong.
pub fn play(seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let cores = if rng.bool() { 3 } else { 5 };
    let is_large = seed % LARGE_EVERY == 0;
    let edges = if is_large { EDGES_OF_A_LARGE_PLAY } else { EDGES };
    let mut play = Play { seed, site: Site::new(seed, cores, edges), rng, has_lost_disks: false };
    let observations = Observations::default();
    let (controls, fronts) = (play.site.controls(), play.site.fronts());
    let began = Instant::now();
    std::thread::scope(|scope| {
        play.start();
        for _ in 0..CLIENTS {
            let (rng, fronts, observations) = (play.rng.fork(), &fronts, &observations);
            scope.spawn(move || run_client(observations, fronts, rng));
        }
        let (rng, operator, observations) = (play.rng.fork(), &controls, &observations);
        scope.spawn(move || run_operator(observations, operator, rng));
        let outcome = play.run(observations);
        observations.finish();
        outcome.unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
    });
    let ledger = observations.ledger();
    assert!(ledger.violations.is_empty(), "seed {seed}: {:?}", ledger.violations);
    play.check_state(&ledger).unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
    play.stop_all().unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
    println!(
        "seed {seed}: {cores} core machines, {edges} edges, {} served, {} refused, {} cut, {} changes, {:.1} s",
        ledger.served,
        ledger.refused,
        ledger.cut,
        ledger.changes,
        began.elapsed().as_secs_f64(),
    );
}

impl Play {
    /// Starts all machines. Some core machines are struck before they can have founded anything, and as many
    /// disks as may be lost at one time are lost at most.
    fn start(&mut self) {
        self.site.start_all();
        let mut lost = 0;
        for machine in 0..self.site.cores {
            match self.rng.u8(0..5) {
                0 => self.site.kill(machine),
                1 => self.site.signal(machine, SignalName::Hangup),
                2 if lost < self.site.tolerated_losses() => {
                    lost += 1;
                    self.site.lose_disk(machine);
                }
                _ => {}
            }
        }
        self.has_lost_disks = lost > 0;
        self.site.start_all();
    }

    fn run(&mut self, observations: &Observations) -> Result<(), String> {
        self.wait_for_service(observations)?;
        for _ in 0..SERIES {
            let faults = self.rng.usize(FAULTS_OF_A_SERIES);
            for _ in 0..faults {
                self.strike()?;
            }
            self.wait_for_service(observations)?;
        }
        if self.has_lost_disks {
            self.wait_for_all_voters()?;
        }
        self.lose_disks();
        self.wait_for_service(observations)?;
        self.check_processors(observations)
    }

    /// Waits until each core machine is a voter under the identity on its disk: a machine that has lost its
    /// disk counts as lost until then.
    fn wait_for_all_voters(&mut self) -> Result<(), String> {
        let deadline = Instant::now() + PATIENCE;
        while Instant::now() < deadline {
            self.check_ends()?;
            self.site.start_all();
            let is_whole = |status: &MemberStatus| status.is_voter && status.members == self.site.cores;
            let statuses: Vec<_> = self.site.controls().into_iter().map(read_member_status).collect();
            if statuses.iter().all(|status| status.as_ref().is_some_and(is_whole)) {
                return Ok(());
            }
        }
        Err(format!("some core machine does not become a voter\n{}", self.logs()))
    }

    /// As many disks as may be lost at one time are gone, and all other machines, edges too, end at the same
    /// moment. The system serves, so it has the voters that this takes, whether all of them answer at the
    /// moment or not.
    fn lose_disks(&mut self) {
        let mut cores: Vec<usize> = (0..self.site.cores).collect();
        self.rng.shuffle(&mut cores);
        let lost = self.site.tolerated_losses();
        cores[..lost].iter().for_each(|machine| self.site.lose_disk(*machine));
        let others = cores[lost..].iter().copied().chain(self.site.cores..self.site.machines.len());
        others.collect::<Vec<_>>().into_iter().for_each(|machine| self.site.kill(machine));
    }

    /// One fault, at a machine of either class.
    fn strike(&mut self) -> Result<(), String> {
        self.check_ends()?;
        let cores = self.site.cores;
        let machine = if self.rng.bool() {
            self.rng.usize(0..cores)
        } else {
            self.rng.usize(cores..self.site.machines.len())
        };
        match self.rng.u8(0..10) {
            0 | 1 => self.site.kill(machine),
            2 => {
                self.site.kill(machine);
                self.site.start(machine);
                self.site.signal(machine, SignalName::Hangup);
            }
            3 | 4 => self.site.signal(machine, SignalName::Terminate),
            5 => (0..self.site.machines.len()).for_each(|one| self.site.signal(one, SignalName::Hangup)),
            6 => {
                self.site.turn_seeds_over();
                self.site.signal(machine, SignalName::Hangup);
            }
            7 => {
                self.site.signal(machine, SignalName::Pause);
                self.site.signal(machine, SignalName::Hangup);
                self.site.signal(machine, SignalName::Continue);
            }
            8 => (0..cores).for_each(|core| self.site.kill(core)),
            _ => self.site.start_all(),
        }
        Ok(())
    }

    /// Starts what has ended until the clients are served again.
    fn wait_for_service(&mut self, observations: &Observations) -> Result<(), String> {
        let deadline = Instant::now() + PATIENCE;
        let (served, changes) = {
            let ledger = observations.ledger();
            (ledger.served + SERVED_AFTER_A_SERIES, ledger.changes + 1)
        };
        loop {
            self.check_ends()?;
            self.site.start_all();
            let step = Duration::from_millis(100);
            if observations.wait_until(step, |ledger| ledger.served >= served && ledger.changes >= changes) {
                return Ok(());
            }
            let violations = observations.ledger().violations.clone();
            if !violations.is_empty() {
                return Err(violations.join("; "));
            }
            if Instant::now() > deadline {
                return Err(format!("nothing is served any more\n{}", self.logs()));
            }
        }
    }

    fn check_ends(&mut self) -> Result<(), String> {
        let faults = self.site.reap();
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults.join("\n"))
        }
    }

    /// Memory of all processes, and the processor time that they use while clients are served.
    fn check_processors(&mut self, observations: &Observations) -> Result<(), String> {
        let seconds = |site: &Site| -> Vec<f64> {
            let processes = site.machines.iter().map(|machine| machine.process.as_ref());
            processes.map(|process| process.map_or(0.0, Process::processor_seconds)).collect()
        };
        let (before, began) = (seconds(&self.site), Instant::now());
        self.wait_for_service(observations)?;
        let (after, span) = (seconds(&self.site), began.elapsed().as_secs_f64().max(1.0));
        for (machine, (before, after)) in self.site.machines.iter().zip(before.iter().zip(after)) {
            let share = (after - before) / span;
            if share > MAX_PROCESSOR_SHARE {
                return Err(format!(
                    "{} does not hand back the processor: {share:.2} of a core",
                    machine.name
                ));
            }
            let memory = machine.process.as_ref().map_or(0, Process::peak_memory_mb);
            if memory > MEMORY_LIMIT_MB {
                return Err(format!("{} has used {memory} MB", machine.name));
            }
        }
        Ok(())
    }

    /// What was acknowledged is there: the newest configuration, and jobs at every edge.
    fn check_state(&mut self, ledger: &Ledger) -> Result<(), String> {
        let version = read_version(&self.site.controls(), PATIENCE).ok_or("no configuration is read back")?;
        if version < ledger.version {
            return Err(format!("version {version} is read back after {} was acknowledged", ledger.version));
        }
        let fronts = self.site.fronts();
        for number in 0..JOBS_ASKED_FOR.min(ledger.accepted.len()) {
            let job = &ledger.accepted[self.rng.usize(0..ledger.accepted.len())];
            match self.ask_for_job(fronts[number % fronts.len()], job)? {
                Some(true) => {}
                Some(false) => return Err(format!("job {job} was accepted and is not known")),
                None => return Err(format!("nobody tells of job {job}\n{}", self.logs())),
            }
        }
        self.check_torn_answers(ledger)?;
        self.check_ends()
    }

    /// Asks an edge whether it knows a job. An edge that was asked to stop ends meanwhile, and is started
    /// again.
    fn ask_for_job(&mut self, edge: SocketAddr, job: &str) -> Result<Option<bool>, String> {
        let deadline = Instant::now() + PATIENCE;
        while Instant::now() < deadline {
            self.check_ends()?;
            self.site.start_all();
            if let Some(knows) = knows_job(edge, job, ATTEMPT_PATIENCE) {
                return Ok(Some(knows));
            }
        }
        Ok(None)
    }

    /// Only a process that is killed leaves half an answer behind.
    fn check_torn_answers(&self, ledger: &Ledger) -> Result<(), String> {
        let fronts = self.site.fronts();
        for (when, address) in &ledger.torn {
            let number = fronts.iter().position(|front| front == address).ok_or("an unknown edge")?;
            let edge = &self.site.machines[self.site.cores + number];
            let is_of_kill = |kill: &Instant| *kill <= *when && when.duration_since(*kill) < KILL_NOTICED;
            if !edge.kills.iter().any(is_of_kill) {
                return Err(format!("{} broke off an answer and was not killed", edge.name));
            }
        }
        Ok(())
    }

    fn stop_all(&mut self) -> Result<(), String> {
        (0..self.site.machines.len()).for_each(|machine| self.site.signal(machine, SignalName::Terminate));
        for machine in &mut self.site.machines {
            let Some(process) = &mut machine.process else { continue };
            process.wait_for_stop().map_err(|fault| format!("{} {fault}", machine.name))?;
        }
        Ok(())
    }

    /// The ends of the logs of all core machines.
    fn logs(&self) -> String {
        let cores = self.site.machines.iter().filter(|machine| machine.role == Role::Control);
        let lines = cores.map(|machine| {
            let log = machine.process.as_ref().map_or_else(String::new, Process::last_lines);
            format!("{} (seed {}):\n{log}\n", machine.name, self.seed)
        });
        lines.collect()
    }
}
