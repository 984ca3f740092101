//! Documents of the admin API: core processes write them, and the command line reads them.
//!
//! The documents are JSON objects with the field names below in `PascalCase`. Identities of processes and
//! jobs are strings of hex digits, because not every JSON reader preserves 64-bit numbers.

#![warn(missing_docs)]

mod configuration;
mod jobs;
pub mod paths;
mod queues;
mod status;
mod workers;

pub use configuration::{ConfigurationHistory, ConfigurationVersion};
pub use jobs::{
    AttemptPhase, AttemptReport, JobReport, Obstacle, ObstacleCount, PastAttempt, StepReport, Waiting,
};
pub use queues::{FirstStep, PlanReport, QueueReport, Queues, ReservedCapacity, ResourceShares};
pub use status::{MemberEntry, ProcessRole, ProcessStatus, SnapshotStart, TransferStart};
pub use workers::{ResourceAmounts, WorkerObstacle, WorkerReport, Workers};

use serde::{Deserialize, Serialize};

/// The document of a rejected request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ErrorReport {
    /// What is wrong and how to correct it.
    pub error: String,
}
