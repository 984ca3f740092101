//! Readers of all JSON input: the settings of a process, the operator's configuration, job bodies, the
//! platform's list of instances, and the answers of workers. Also writes the bodies of the calls to workers.
//!
//! No reader panics on any input. Invalid input gives a typed error whose message names the remedy. Unknown
//! fields are ignored, and optional fields that are missing or null get their defaults.

#![warn(missing_docs)]

mod fields;
pub mod instances;
pub mod job_body;
mod job_error;
pub mod job_id;
mod job_limits;
mod json;
mod json_text;
mod operator_configuration;
mod route;
mod routing;
mod settings;
mod settings_bounds;
mod version_check;
pub mod worker_calls;

pub use instances::{Instance, InstancePage, InstancesError, WorkerResources};
pub use job_error::JobError;
pub use json::{JsonError, Location, MAX_NESTING};
pub use operator_configuration::{ConfigurationError, HttpLimits, OperatorConfiguration, Service};
pub use route::{Route, RouteKind};
pub use settings::{
    CloudApi, FaultTolerance, ListenAddresses, OrderDelivery, ProcessLimits, ProcessSettings, SettingsError,
};
pub use settings_bounds::Bounds;
pub use version_check::{parse_if_match, VersionError};
pub use worker_calls::{
    FinishedEntry, LeaseRenewalAnswer, LeaseRenewalBody, OrderAnswer, RejectReason, RunningEntry, StartBody,
    StopBody, WorkerAnswerError,
};
