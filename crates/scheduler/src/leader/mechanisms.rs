//! Mechanisms of the leader that can be switched off one by one, to measure the effect of each.

use std::fmt;

/// A part of the leader's policy without which it still keeps all rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Workers on which several attempts in a row failed get no starts for a while.
    OutlierEjection,
    /// A task is not started again where it failed while there is another worker for it.
    FailedWorkerAvoidance,
    /// A second attempt runs beside a late one of a task that allows copies.
    SpeculativeCopies,
    /// Attempts that would outlive a draining worker are stopped before it ends.
    DrainEvacuation,
    /// Tasks wait for capacity near their data.
    DataLocalityWait,
    /// Gangs that are to share a rack wait for one.
    RackLocalityWait,
    /// Capacity that is freed is reserved for a task that has waited long.
    CapacityReservations,
    /// Other starts pause for a gang that has waited long.
    GangAdmissionPauses,
    /// Attempts of later priorities are stopped for the first one.
    Preemption,
    /// Tasks go to the worker with the least capacity left over.
    BestFit,
    /// Workers are preferred by pace and share of completed attempts.
    WorkerQuality,
    /// Several lease renewals may follow each other quickly.
    LeaseRenewalBurst,
    /// Another lease renewal is sent beside one that is overdue.
    HedgedLeaseRenewals,
    /// Stalled attempts are moved to another worker.
    StallRelocation,
    /// Deficit round robin over queues by plan and dominant resource; without it, one queue in order of arrival.
    FairQueues,
    /// Worker leases are as long as the running attempts need; without it, as long as the deployment allows.
    LeaseByNeed,
    /// Workers with an overdue response get no starts until they respond.
    Suspicion,
    /// Stalls are detected by the lists that show them, not after seconds.
    QuickStallDetection,
    /// Tasks of a step are packed on few workers.
    Packing,
    /// Workers whose attempts are long-running or take long are asked for lists less often.
    WaitByNeed,
}

/// Each mechanism and its name on the command line.
const ALL: [(Mechanism, &str); 20] = [
    (Mechanism::OutlierEjection, "conviction"),
    (Mechanism::FailedWorkerAvoidance, "avoidance"),
    (Mechanism::SpeculativeCopies, "copies"),
    (Mechanism::DrainEvacuation, "evacuation"),
    (Mechanism::DataLocalityWait, "data-patience"),
    (Mechanism::RackLocalityWait, "rack-patience"),
    (Mechanism::CapacityReservations, "claims"),
    (Mechanism::GangAdmissionPauses, "gang-pauses"),
    (Mechanism::Preemption, "preemption"),
    (Mechanism::BestFit, "best-fit"),
    (Mechanism::WorkerQuality, "quality"),
    (Mechanism::LeaseRenewalBurst, "hold-burst"),
    (Mechanism::HedgedLeaseRenewals, "second-holds"),
    (Mechanism::StallRelocation, "stall-moves"),
    (Mechanism::FairQueues, "fair-queues"),
    (Mechanism::LeaseByNeed, "hold-by-need"),
    (Mechanism::Suspicion, "suspicion"),
    (Mechanism::QuickStallDetection, "quick-stalls"),
    (Mechanism::Packing, "gathering"),
    (Mechanism::WaitByNeed, "wait-by-need"),
];

impl Mechanism {
    /// The mechanism with this name.
    pub fn named(name: &str) -> Option<Self> {
        ALL.into_iter().find(|(_, known)| *known == name).map(|(mechanism, _)| mechanism)
    }

    /// The names of all mechanisms.
    pub fn names() -> impl Iterator<Item = &'static str> {
        ALL.into_iter().map(|(_, name)| name)
    }

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        ALL.into_iter().find(|(known, _)| *known == self).map_or("", |(_, name)| name)
    }
}

impl fmt::Display for Mechanism {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// Which mechanisms are in use: by default all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Mechanisms {
    disabled: Vec<Mechanism>,
}

impl Mechanisms {
    /// All but these.
    pub fn without(disabled: Vec<Mechanism>) -> Self {
        Self { disabled }
    }

    /// Whether the mechanism is in use.
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}
