//! The report on the workers that the leader knows.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Amounts of each resource.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ResourceAmounts {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub mem_mb: u64,
    /// Number of GPUs.
    pub gpu: u64,
}

/// Why a worker accepts no starts at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all_fields = "PascalCase")]
pub enum WorkerObstacle {
    /// The worker is missing in the platform's newest list.
    NotListed,
    /// The worker is draining.
    Draining {
        /// Minimum remaining time, in milliseconds.
        left_ms: u64,
    },
    /// The worker does not answer calls.
    Unreachable,
    /// The worker rejects calls because it is unhealthy.
    Unhealthy,
    /// This incarnation of the worker has ended.
    #[serde(rename = "LifeOver")]
    IncarnationEnded,
    /// The worker has recently rejected a start.
    RefusedStart {
        /// Time until it is tried again, in milliseconds.
        left_ms: u64,
    },
    /// The worker is ejected: attempts of several jobs failed or stalled there, more often than on other
    /// workers.
    #[serde(rename = "Convicted")]
    Ejected {
        /// Time until it is tried again, in milliseconds.
        left_ms: u64,
    },
    /// The worker is on probation after an ejection: it gets one attempt at a time until one succeeds.
    OnProbation,
}

impl fmt::Display for WorkerObstacle {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WorkerObstacle::NotListed => write!(formatter, "not listed by the platform"),
            WorkerObstacle::Draining { left_ms } => write!(formatter, "draining, {left_ms} ms left"),
            WorkerObstacle::Unreachable => write!(formatter, "does not answer"),
            WorkerObstacle::Unhealthy => write!(formatter, "says it is unhealthy"),
            WorkerObstacle::IncarnationEnded => write!(formatter, "this life is over"),
            WorkerObstacle::RefusedStart { left_ms } => {
                write!(formatter, "refused a start, rests {left_ms} ms")
            }
            WorkerObstacle::Ejected { left_ms } => write!(formatter, "convicted, rests {left_ms} ms"),
            WorkerObstacle::OnProbation => write!(formatter, "on probation, one attempt at a time"),
        }
    }
}

/// The report on one incarnation of a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WorkerReport {
    /// Identity of this incarnation.
    pub instance: String,
    /// `ip:port`.
    pub address: String,
    /// The service whose tasks the worker runs.
    pub service: String,
    /// Zone of the worker; empty before the platform's first list.
    pub zone: String,
    /// Labels of the worker, among them its rack.
    pub labels: Vec<String>,
    /// Whether the worker accepts starts at the moment.
    pub usable: bool,
    /// Why the worker accepts no starts; empty if it is usable.
    pub obstacles: Vec<WorkerObstacle>,
    /// Total resources of the worker.
    pub capacity: ResourceAmounts,
    /// Resources that are not reserved.
    pub free: ResourceAmounts,
    /// Number of attempts that occupy the worker.
    pub attempts: u32,
    /// Speed relative to other workers, in percent, at most 100.
    pub pace_percent: u32,
    /// Share of successful ends among the most recent ones, in percent.
    pub trust_percent: u32,
    /// Number of failed or stalled attempts since the last successful one.
    #[serde(rename = "BadInARow")]
    pub consecutive_failures: u32,
}

/// The report on all workers that the leader knows.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Workers {
    /// The workers in the order in which the leader learned of them.
    pub workers: Vec<WorkerReport>,
}
