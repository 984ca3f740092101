//! Days on which a fault hits a system at full traffic. They show whether an overload state ends by itself:
//! once the machines are back and the load is one that they can handle, jobs must end on time again within
//! the recovery bound.

mod goodput;
mod recovery;

use fastrand::Rng;

use crate::history::{History, Span};
use crate::oracle::{self, Rule, Violation};
use crate::processor::Processor;
use crate::script::{FaultKind, InjectedFault, Script, Target};
use crate::site::{LoadChange, Site};
use crate::time::{ms, MS, SECOND};
use crate::world::World;

pub use goodput::Goodput;
pub use recovery::Recovery;

/// Traffic before the measurement of the normal behaviour, in nanoseconds.
const WARM_UP_NS: u64 = 4 * SECOND;
/// Length of the measurement before the fault, in nanoseconds.
const BASELINE_NS: u64 = 3 * SECOND;
/// Time between that measurement and the fault, in nanoseconds. The load may rise here, so that a backlog
/// exists when the fault begins.
const BACKLOG_BUILD_UP_NS: u64 = 2 * SECOND;
/// Observation time beyond the recovery bound, in nanoseconds.
const OBSERVATION_NS: u64 = 5 * SECOND;
/// Time for the last jobs and the final reads, in milliseconds.
const FINISH_MS: u64 = 4_000;
/// Duration of an overload without a fault, in nanoseconds.
const OVERLOAD_DURATION_NS: u64 = 8 * SECOND;
/// Load after the fault, relative to the full traffic.
const LOAD_AFTER_FAULT: f64 = 0.9;
/// Fault kinds that a drawn case may have.
const FAULTS: [FaultKind; 6] = [
    FaultKind::AllCoresPower,
    FaultKind::AllCoresKill,
    FaultKind::CorePower(Target::Leader),
    FaultKind::EdgesLost,
    FaultKind::WorkerPartitionFromCore,
    FaultKind::DiskStall(Target::Leader),
];
/// Share of a processor core that handles the full traffic of the large deployment.
const USUAL_PROCESSOR_SHARE: f64 = 0.4;

/// A day with a fault at full traffic, or with a changed load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadCase {
    /// Seed of all random choices of the day.
    pub seed: u64,
    /// The deployment is one part in this many of the large one.
    pub parts: usize,
    /// Share of a processor core that each core machine has.
    pub share: f64,
    /// Full traffic of this case, relative to that of the large deployment.
    pub traffic: f64,
    /// The fault; `None` if only the load changes.
    pub fault: Option<FaultKind>,
    /// Duration of the fault or of the changed load, in nanoseconds.
    pub lasts: u64,
    /// Load just before the fault, relative to the full traffic.
    pub load_before: f64,
    /// Load during the fault, relative to the full traffic.
    pub load_during: f64,
}

/// Result of a case.
#[derive(Clone, Debug)]
pub struct OverloadReport {
    /// How the system recovered.
    pub recovery: Recovery,
    /// Goodput before the fault or the change of the load.
    pub before: Goodput,
    /// Goodput during the fault or the changed load.
    pub during: Goodput,
    /// Violations of the rules, except those on configurations.
    pub violations: Vec<Violation>,
}

impl OverloadCase {
    /// All core machines lose power for 1.5 seconds at full traffic.
    pub fn loss_of_power(seed: u64, parts: usize) -> OverloadCase {
        OverloadCase {
            seed,
            parts,
            share: USUAL_PROCESSOR_SHARE,
            traffic: 1.0,
            fault: Some(FaultKind::AllCoresPower),
            lasts: ms(1_500),
            load_before: 1.0,
            load_during: 1.0,
        }
    }

    /// The day of [`OverloadCase::loss_of_power`] without the fault.
    pub fn calm(seed: u64, parts: usize) -> OverloadCase {
        OverloadCase { fault: None, ..OverloadCase::loss_of_power(seed, parts) }
    }

    /// A day without a fault on which the load changes for some seconds.
    pub fn changed_load(seed: u64, parts: usize, load_during: f64) -> OverloadCase {
        OverloadCase { load_during, lasts: OVERLOAD_DURATION_NS, ..OverloadCase::calm(seed, parts) }
    }

    /// Draws a case from its seed.
    pub fn draw(seed: u64, parts: usize) -> OverloadCase {
        let mut rng = Rng::with_seed(seed ^ 0x0f_e11_0ad);
        let share = 0.28 + 0.32 * rng.f64();
        OverloadCase {
            seed,
            parts,
            share,
            traffic: share / USUAL_PROCESSOR_SHARE,
            fault: Some(FAULTS[rng.usize(0..FAULTS.len())]),
            lasts: ms(rng.u64(500..5_000)),
            load_before: 1.0 + 2.0 * rng.f64() * f64::from(rng.u8(0..2)),
            load_during: 0.5 + rng.f64(),
        }
    }

    fn fault_begins_at(site: &Site) -> u64 {
        site.traffic_start + WARM_UP_NS + BASELINE_NS + BACKLOG_BUILD_UP_NS
    }

    /// The deployment, with the load of this case.
    pub fn site(&self) -> Site {
        let mut site = Site::large_part(self.parts);
        site.bounds.finish_ms = FINISH_MS;
        site.jobs_per_s *= self.traffic;
        if let Some(processor) = &mut site.processor {
            *processor = Processor { share: self.share, ..*processor };
        }
        let begins = OverloadCase::fault_begins_at(&site);
        site.load_changes = vec![
            LoadChange { at: begins - BACKLOG_BUILD_UP_NS, factor: self.load_before },
            LoadChange { at: begins, factor: self.load_during },
            LoadChange { at: begins + self.lasts, factor: LOAD_AFTER_FAULT },
        ];
        site.traffic_length =
            begins + self.lasts + ms(site.bounds.recovery_ms) + OBSERVATION_NS + SECOND - site.traffic_start;
        site
    }

    /// The script, with the fault of this case.
    pub fn script(&self, site: &Site) -> Script {
        let at = OverloadCase::fault_begins_at(site) / MS * MS;
        let inject = |kind| InjectedFault { at, lasts: self.lasts, kind, pick: self.seed };
        Script { faults: self.fault.map(inject).into_iter().collect(), ..Script::calm(self.seed) }
    }

    /// Simulates the case, measures it and checks the rules.
    pub fn play(&self, trace: bool) -> OverloadReport {
        let site = self.site();
        let mut world = World::new(site.clone(), self.script(&site));
        if trace {
            world = world.with_trace();
        }
        let history = world.play();
        let fault = self.fault_span(&site, &history);
        let until = site.traffic_start + site.traffic_length - SECOND;
        let before = Span {
            from: site.traffic_start + WARM_UP_NS,
            until: site.traffic_start + WARM_UP_NS + BASELINE_NS,
        };
        let recovery = Recovery::measure(&history, before, Span { from: fault.until, until });
        OverloadReport {
            recovery,
            before: Goodput::measure(&history, before),
            during: Goodput::measure(&history, self.changed_load_span(&site)),
            violations: violations(&site, &history),
        }
    }

    /// The span of the changed load, without its first two seconds.
    fn changed_load_span(&self, site: &Site) -> Span {
        let begins = OverloadCase::fault_begins_at(site);
        Span { from: begins + (2 * SECOND).min(self.lasts / 2), until: begins + self.lasts }
    }

    /// The span from the fault until the last affected machine is back.
    fn fault_span(&self, site: &Site, history: &History) -> Span {
        let from = OverloadCase::fault_begins_at(site);
        let ends = history.machine_faults.iter().map(|(_, span)| span.until);
        Span { from, until: ends.fold(from + self.lasts, u64::max) }
    }
}

/// Violations of the rules, except CONFIG: its bounds apply to machines that keep up with their load.
fn violations(site: &Site, history: &History) -> Vec<Violation> {
    let mut violations = oracle::check(site, history);
    violations.retain(|violation| violation.rule != Rule::Config);
    violations
}
