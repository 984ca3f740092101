//! The report on the queues and deficits of the mQoS scheduler.

use crate::workers::ResourceAmounts;
use serde::{Deserialize, Serialize};

/// Shares of the total amount of each resource.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ResourceShares {
    /// Share of the total processor time.
    pub cpu: f64,
    /// Share of the total memory.
    pub mem_mb: f64,
    /// Share of the total number of GPUs.
    pub gpu: f64,
}

/// The first step in the queue of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct FirstStep {
    /// Job ID, 16 hex digits.
    pub job: String,
    /// Number of the occurrence of a repeated job, counted from 0.
    pub time: u32,
    /// Number of the step.
    pub step: u32,
    /// Number of its tasks that wait.
    pub waiting_tasks: u32,
    /// For how long the step has been first without a start, in milliseconds.
    pub first_for_ms: u64,
    /// Whether no worker currently has capacity for the step.
    #[serde(rename = "NoRoom")]
    pub no_capacity: bool,
}

/// A plan: the jobs of one priority.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct PlanReport {
    /// The priority. The last plan also holds all lower priorities.
    pub priority: u32,
    /// Weight of the plan in the deficit round robin.
    pub weight: f64,
    /// Deficit counters: how much of each resource the plan may still use before its next quantum.
    pub deficits: ResourceShares,
    /// Number of steps that wait.
    pub waiting_steps: u32,
    /// Number of tasks that wait.
    pub waiting_tasks: u64,
    /// Number of waiting steps for which no worker currently has capacity.
    #[serde(rename = "StepsWithoutRoom")]
    pub steps_without_capacity: u32,
    /// The first step that waits.
    pub first: Option<FirstStep>,
}

/// Capacity of a worker that is reserved for a large step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ReservedCapacity {
    /// Job ID, 16 hex digits.
    pub job: String,
    /// Number of the step.
    pub step: u32,
    /// The worker whose capacity is reserved.
    pub instance: String,
    /// The amounts reserved so far.
    pub held: ResourceAmounts,
}

/// The workers and queues of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct QueueReport {
    /// Name of the service.
    pub service: String,
    /// Number of its workers.
    pub workers: u32,
    /// Number of its workers that accept starts.
    pub usable_workers: u32,
    /// Total resources of the usable workers.
    pub total: ResourceAmounts,
    /// Resources of the usable workers that are not reserved.
    pub free: ResourceAmounts,
    /// Plans with waiting steps or a non-zero deficit.
    pub plans: Vec<PlanReport>,
    /// Capacity reserved for a step that has found none for a long time.
    #[serde(rename = "KeptRoom")]
    pub reserved_capacity: Option<ReservedCapacity>,
}

/// The report on all services.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Queues {
    /// The services in the order of their names.
    pub services: Vec<QueueReport>,
}
