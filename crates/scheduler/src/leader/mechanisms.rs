//! Mechanisms of the leader that can be disabled one by one to measure their effect.

use std::fmt;

/// An optional part of the leader's policy. Without it the leader still satisfies all correctness rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Workers on which several consecutive attempts failed get no starts for a while.
    OutlierEjection,
    /// A task is not restarted on a worker where it failed while another worker can take it.
    FailedWorkerAvoidance,
    /// A second attempt runs in parallel with a late one if the task allows copies.
    SpeculativeCopies,
    /// Attempts that would outlive a draining worker are stopped before the worker ends.
    DrainEvacuation,
    /// Tasks wait for capacity near their data.
    DataLocalityWait,
    /// Gangs that should share a rack wait for capacity within one rack.
    RackLocalityWait,
    /// Freed capacity is reserved for a task that has waited long.
    CapacityReservations,
    /// Other starts pause for a gang that has waited long.
    GangAdmissionPauses,
    /// Attempts of lower priorities are stopped for tasks of the highest priority.
    Preemption,
    /// Tasks are placed on the worker with the least remaining capacity.
    BestFit,
    /// Workers are preferred by their pace and their share of completed attempts.
    WorkerQuality,
    /// Several lease renewals may be sent in quick succession.
    LeaseRenewalBurst,
    /// A second lease renewal is sent while another one is overdue.
    HedgedLeaseRenewals,
    /// Stalled attempts are moved to another worker.
    StallRelocation,
    /// Deficit round robin over queues by plan and dominant resource. When disabled, there is a single queue
    /// in order of arrival.
    FairQueues,
    /// Worker leases last as long as the running attempts need. When disabled, they last as long as the
    /// deployment allows.
    LeaseByNeed,
    /// Workers with an overdue response get no starts until they respond.
    Suspicion,
    /// Stalls are detected from the first status lists that show them instead of after several seconds.
    QuickStallDetection,
    /// Tasks of a step are packed onto few workers.
    Packing,
    /// Workers whose attempts are long-running or take long are polled for status lists less often.
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
    /// Returns the mechanism with this name.
    pub fn named(name: &str) -> Option<Self> {
        ALL.into_iter().find(|(_, known)| *known == name).map(|(mechanism, _)| mechanism)
    }

    /// Returns the names of all mechanisms.
    pub fn names() -> impl Iterator<Item = &'static str> {
        ALL.into_iter().map(|(_, name)| name)
    }

    /// Returns the mechanism's name on the command line.
    pub fn name(self) -> &'static str {
        ALL.into_iter().find(|(known, _)| *known == self).map_or("", |(_, name)| name)
    }
}

impl fmt::Display for Mechanism {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// The enabled mechanisms; by default all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Mechanisms {
    disabled: Vec<Mechanism>,
}

impl Mechanisms {
    /// Enables all mechanisms except these.
    pub fn without(disabled: Vec<Mechanism>) -> Self {
        Self { disabled }
    }

    /// Returns whether the mechanism is enabled.
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}
