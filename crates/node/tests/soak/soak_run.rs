//! One run of the soak test: series of faults, after each of which the system has to serve again.

use crate::clients::{check_cancelled_job, knows_job, read_member_status, read_version};
use crate::clients::{run_client, run_departing_client, run_operator};
use crate::clients::{CallRecord, MemberStatus, SharedRecord};
use crate::loads::{is_completed, run_load_client};
use crate::process::{Process, SignalName};
use crate::site::{Role, Site, MEMORY_LIMIT_MB};
use fastrand::Rng;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of series of faults in a run.
const SERIES: usize = 5;
/// Number of faults in a series, which follow one another without a pause.
const FAULTS_PER_SERIES: std::ops::RangeInclusive<usize> = 3..=9;
const CLIENTS: usize = 6;
/// Clients that leave without an answer and cancel their jobs.
const DEPARTING_CLIENTS: usize = 3;
/// Number of cancellations to wait for while an edge is paused, and the longest wait for them.
const CANCELS_DURING_A_PAUSE: usize = 2;
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// Maximum number of cancelled jobs that are checked at the end.
const CANCELLED_JOBS_TO_CHECK: usize = 60;
/// Every seed that is a multiple of this gets a large run, with as many processes as a small machine can run.
const LARGE_RUN_INTERVAL: u64 = 5;
/// Every seed that is a multiple of this gets a run with as many processes as the addresses allow.
const LARGEST_RUN_INTERVAL: u64 = 25;
const EDGES: usize = 4;
const EDGES_OF_A_LARGE_RUN: usize = 40;
const EDGES_OF_THE_LARGEST_RUN: usize = 150;
/// Timeout for the system to serve again after a series.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of successful answers after which the system counts as serving.
const SERVED_AFTER_A_SERIES: u64 = 40;
/// Share of a core that a process may use while clients are served without faults.
const MAX_PROCESSOR_SHARE: f64 = 0.9;
/// Timeout of one attempt to ask an edge for a job.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which a client detects that its edge was killed.
const KILL_DETECTION_TIME: Duration = Duration::from_secs(5);
/// Maximum number of accepted jobs that are checked at the end.
const JOBS_TO_CHECK: usize = 60;

struct SoakRun {
    seed: u64,
    rng: Rng,
    site: Site,
    /// Whether disks were lost at the first start.
    has_lost_disks: bool,
    /// Machines whose processes are paused until the end of the series.
    paused: Vec<usize>,
}

/// Runs a seed; panics with a description of the faults found.
pub fn run_seed(seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let cores = if rng.bool() { 3 } else { 5 };
    let edges = match seed {
        seed if seed % LARGEST_RUN_INTERVAL == 0 => EDGES_OF_THE_LARGEST_RUN,
        seed if seed % LARGE_RUN_INTERVAL == 0 => EDGES_OF_A_LARGE_RUN,
        _ => EDGES,
    };
    let mut run =
        SoakRun { seed, site: Site::new(seed, cores, edges), rng, has_lost_disks: false, paused: Vec::new() };
    let record = SharedRecord::default();
    let (controls, client_addresses) = (run.site.controls(), run.site.client_addresses());
    let began = Instant::now();
    std::thread::scope(|scope| {
        run.start();
        for _ in 0..CLIENTS {
            let (rng, client_addresses, record) = (run.rng.fork(), &client_addresses, &record);
            scope.spawn(move || run_client(record, client_addresses, rng));
        }
        for _ in 0..DEPARTING_CLIENTS {
            let (rng, client_addresses, record) = (run.rng.fork(), &client_addresses, &record);
            scope.spawn(move || run_departing_client(record, client_addresses, rng));
        }
        let (rng, load_addresses, loads) = (run.rng.fork(), &client_addresses, &record);
        scope.spawn(move || run_load_client(loads, load_addresses, rng));
        let (rng, operator, record) = (run.rng.fork(), &controls, &record);
        scope.spawn(move || run_operator(record, operator, rng));
        let outcome = run.run(record);
        record.finish();
        outcome.unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
    });
    let calls = record.calls();
    assert!(calls.violations.is_empty(), "seed {seed}: {:?}", calls.violations);
    run.check_state(&calls).unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
    run.stop_all().unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
    println!(
        "seed {seed}: {cores} core machines, {edges} edges, {} served, {} refused, {} cut, {} changes, {} cancelled after leaving, {} of them unknown, {} rounds of loads, {} urgent jobs and {} counts beside them, {:.1} s",
        calls.served,
        calls.refused,
        calls.cut,
        calls.changes,
        calls.cancelled.len(),
        calls.cancelled.iter().filter(|(_, was_unknown)| *was_unknown).count(),
        calls.load_rounds,
        calls.urgent.len(),
        calls.counts,
        began.elapsed().as_secs_f64(),
    );
}

impl SoakRun {
    /// Starts all machines. Injects faults into some core machines before they can have founded the group;
    /// loses at most as many disks as may be lost at the same time.
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

    fn run(&mut self, record: &SharedRecord) -> Result<(), String> {
        self.wait_for_service(record)?;
        for _ in 0..SERIES {
            let faults = self.rng.usize(FAULTS_PER_SERIES);
            for _ in 0..faults {
                self.inject_fault(record)?;
            }
            self.end_pauses(record);
            self.wait_for_service(record)?;
        }
        if self.has_lost_disks {
            self.wait_for_all_voters()?;
        }
        self.lose_disks();
        self.wait_for_service(record)?;
        self.end_loads(record)?;
        self.check_resource_use(record)
    }

    /// Has the loads taken away, and waits until they are.
    fn end_loads(&mut self, record: &SharedRecord) -> Result<(), String> {
        record.update(|calls| calls.ends_loads = true);
        let deadline = Instant::now() + SERVICE_TIMEOUT;
        while !record.wait_until(Duration::from_millis(100), |calls| calls.has_no_load) {
            self.check_exits()?;
            self.site.start_all();
            if Instant::now() > deadline {
                return Err(format!("the loads cannot be cancelled\n{}", self.logs()));
            }
        }
        Ok(())
    }

    /// Waits until each core machine is a voter under the identity on its disk and knows all members. A
    /// machine that has lost its disk counts as lost until then.
    fn wait_for_all_voters(&mut self) -> Result<(), String> {
        let deadline = Instant::now() + SERVICE_TIMEOUT;
        while Instant::now() < deadline {
            self.check_exits()?;
            self.site.start_all();
            let is_complete = |status: &MemberStatus| status.is_voter && status.members == self.site.cores;
            let statuses: Vec<_> = self.site.controls().into_iter().map(read_member_status).collect();
            if statuses.iter().all(|status| status.as_ref().is_some_and(is_complete)) {
                return Ok(());
            }
        }
        Err(format!("at least one core machine does not become a voter\n{}", self.logs()))
    }

    /// Loses as many disks as may be lost at the same time, and kills all other machines, including the
    /// edges. The system was serving before, so it has enough voters for this, whether or not all of them
    /// answer at the moment.
    fn lose_disks(&mut self) {
        let mut cores: Vec<usize> = (0..self.site.cores).collect();
        self.rng.shuffle(&mut cores);
        let lost = self.site.tolerated_losses();
        cores[..lost].iter().for_each(|machine| self.site.lose_disk(*machine));
        let others = cores[lost..].iter().copied().chain(self.site.cores..self.site.machines.len());
        others.collect::<Vec<_>>().into_iter().for_each(|machine| self.site.kill(machine));
    }

    /// Injects one random fault, at a core machine or at an edge.
    fn inject_fault(&mut self, record: &SharedRecord) -> Result<(), String> {
        self.check_exits()?;
        let cores = self.site.cores;
        let machine = if self.rng.bool() {
            self.rng.usize(0..cores)
        } else {
            self.rng.usize(cores..self.site.machines.len())
        };
        match self.rng.u8(0..12) {
            0 | 1 => self.site.kill(machine),
            2 => {
                self.site.kill(machine);
                self.site.start(machine);
                self.site.signal(machine, SignalName::Hangup);
            }
            3 | 4 => self.site.signal(machine, SignalName::Terminate),
            5 => (0..self.site.machines.len()).for_each(|one| self.site.signal(one, SignalName::Hangup)),
            6 => {
                self.site.rotate_seeds();
                self.site.signal(machine, SignalName::Hangup);
            }
            7 => {
                self.site.signal(machine, SignalName::Pause);
                self.site.signal(machine, SignalName::Hangup);
                self.site.signal(machine, SignalName::Continue);
            }
            8 => (0..cores).for_each(|core| self.site.kill(core)),
            9 | 10 => self.pause_edge_while_clients_leave(record),
            _ => self.site.start_all(),
        }
        Ok(())
    }

    /// Pauses an edge, and sometimes a core machine too, until the end of the series. Waits until clients that
    /// have left have cancelled their jobs elsewhere.
    fn pause_edge_while_clients_leave(&mut self, record: &SharedRecord) {
        if self.rng.u8(0..4) == 0 {
            let core = self.rng.usize(0..self.site.cores);
            self.site.signal(core, SignalName::Pause);
            self.paused.push(core);
        }
        let number = self.rng.usize(self.site.cores..self.site.machines.len());
        self.site.signal(number, SignalName::Pause);
        self.paused.push(number);
        let address = self.site.client_addresses()[number - self.site.cores];
        let wanted = record.calls().cancelled.len() + CANCELS_DURING_A_PAUSE;
        record.update(|calls| calls.paused_edge = Some(address));
        record.wait_until(LONGEST_PAUSE, |calls| calls.cancelled.len() >= wanted);
    }

    fn end_pauses(&mut self, record: &SharedRecord) {
        record.update(|calls| calls.paused_edge = None);
        for machine in std::mem::take(&mut self.paused) {
            self.site.signal(machine, SignalName::Continue);
        }
    }

    /// Restarts ended processes until clients are served and a configuration change is acknowledged.
    fn wait_for_service(&mut self, record: &SharedRecord) -> Result<(), String> {
        let deadline = Instant::now() + SERVICE_TIMEOUT;
        let (served, changes) = {
            let calls = record.calls();
            (calls.served + SERVED_AFTER_A_SERIES, calls.changes + 1)
        };
        loop {
            self.check_exits()?;
            self.site.start_all();
            let step = Duration::from_millis(100);
            if record.wait_until(step, |calls| calls.served >= served && calls.changes >= changes) {
                return Ok(());
            }
            let violations = record.calls().violations.clone();
            if !violations.is_empty() {
                return Err(violations.join("; "));
            }
            if Instant::now() > deadline {
                return Err(format!("the system does not serve any more\n{}", self.logs()));
            }
        }
    }

    /// Checks that no process has ended by itself.
    fn check_exits(&mut self) -> Result<(), String> {
        let faults = self.site.reap();
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults.join("\n"))
        }
    }

    /// Checks the memory of all processes, and the processor time that they use while clients are served.
    fn check_resource_use(&mut self, record: &SharedRecord) -> Result<(), String> {
        let seconds = |site: &Site| -> Vec<f64> {
            let processes = site.machines.iter().map(|machine| machine.process.as_ref());
            processes.map(|process| process.map_or(0.0, Process::processor_seconds)).collect()
        };
        let (before, began) = (seconds(&self.site), Instant::now());
        self.wait_for_service(record)?;
        let (after, span) = (seconds(&self.site), began.elapsed().as_secs_f64().max(1.0));
        for (machine, (before, after)) in self.site.machines.iter().zip(before.iter().zip(after)) {
            let share = (after - before) / span;
            if share > MAX_PROCESSOR_SHARE {
                return Err(format!("{} uses too much processor time: {share:.2} of a core", machine.name));
            }
            let memory = machine.process.as_ref().map_or(0, Process::peak_memory_mb);
            if memory > MEMORY_LIMIT_MB {
                return Err(format!("{} has used {memory} MB", machine.name));
            }
        }
        Ok(())
    }

    /// Checks that nothing acknowledged is lost: the newest configuration, and accepted jobs at every edge.
    fn check_state(&mut self, calls: &CallRecord) -> Result<(), String> {
        let version =
            read_version(&self.site.controls(), SERVICE_TIMEOUT).ok_or("no configuration is read back")?;
        if version < calls.version {
            return Err(format!("version {version} is read back after {} was acknowledged", calls.version));
        }
        let client_addresses = self.site.client_addresses();
        for number in 0..JOBS_TO_CHECK.min(calls.accepted.len()) {
            let job = &calls.accepted[self.rng.usize(0..calls.accepted.len())];
            match self.ask_for_job(client_addresses[number % client_addresses.len()], job)? {
                Some(true) => {}
                Some(false) => return Err(format!("job {job} was accepted and is not known")),
                None => return Err(format!("no edge answers a read of job {job}\n{}", self.logs())),
            }
        }
        self.check_urgent_jobs(calls)?;
        self.check_cancelled_jobs(calls)?;
        self.check_truncated_answers(calls)?;
        self.check_exits()
    }

    /// Checks that jobs which were accepted beside the loads are completed.
    fn check_urgent_jobs(&mut self, calls: &CallRecord) -> Result<(), String> {
        let client_addresses = self.site.client_addresses();
        let mut jobs = calls.urgent.clone();
        self.rng.shuffle(&mut jobs);
        for (number, job) in jobs.iter().take(JOBS_TO_CHECK).enumerate() {
            let edge = client_addresses[number % client_addresses.len()];
            let deadline = Instant::now() + SERVICE_TIMEOUT;
            while is_completed(edge, job) != Some(true) {
                self.check_exits()?;
                self.site.start_all();
                if Instant::now() > deadline {
                    return Err(format!("{job} was accepted and is not completed\n{}", self.logs()));
                }
            }
        }
        Ok(())
    }

    /// Checks that no job has been accepted after its cancellation was acknowledged.
    fn check_cancelled_jobs(&mut self, calls: &CallRecord) -> Result<(), String> {
        let client_addresses = self.site.client_addresses();
        let mut jobs = calls.cancelled.clone();
        self.rng.shuffle(&mut jobs);
        for (number, (job, was_unknown)) in jobs.iter().take(CANCELLED_JOBS_TO_CHECK).enumerate() {
            let edge = client_addresses[number % client_addresses.len()];
            let deadline = Instant::now() + SERVICE_TIMEOUT;
            let mut checked = None;
            while checked.is_none() && Instant::now() < deadline {
                self.check_exits()?;
                self.site.start_all();
                checked = check_cancelled_job(edge, job, *was_unknown);
            }
            checked.unwrap_or_else(|| Err(format!("no edge answers about the cancelled job {job}")))?;
        }
        Ok(())
    }

    /// Asks an edge whether it knows a job. Restarts edges that end in the meantime because of an earlier
    /// SIGTERM.
    fn ask_for_job(&mut self, edge: SocketAddr, job: &str) -> Result<Option<bool>, String> {
        let deadline = Instant::now() + SERVICE_TIMEOUT;
        while Instant::now() < deadline {
            self.check_exits()?;
            self.site.start_all();
            if let Some(knows) = knows_job(edge, job, ATTEMPT_TIMEOUT) {
                return Ok(Some(knows));
            }
        }
        Ok(None)
    }

    /// Checks that each truncated answer is explained by a kill of its edge.
    fn check_truncated_answers(&self, calls: &CallRecord) -> Result<(), String> {
        let client_addresses = self.site.client_addresses();
        for (when, address) in &calls.truncated {
            let number = client_addresses
                .iter()
                .position(|client_address| client_address == address)
                .ok_or("an unknown edge")?;
            let edge = &self.site.machines[self.site.cores + number];
            let explained_by =
                |kill: &Instant| *kill <= *when && when.duration_since(*kill) < KILL_DETECTION_TIME;
            if !edge.kills.iter().any(explained_by) {
                return Err(format!("{} truncated an answer and was not killed", edge.name));
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

    /// The last log lines of all core machines.
    fn logs(&self) -> String {
        let cores = self.site.machines.iter().filter(|machine| machine.role == Role::Control);
        let lines = cores.map(|machine| {
            let log = machine.process.as_ref().map_or_else(String::new, Process::last_lines);
            format!("{} (seed {}):\n{log}\n", machine.name, self.seed)
        });
        lines.collect()
    }
}
