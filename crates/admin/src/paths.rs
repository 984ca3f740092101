//! Paths of the admin API, which every core process serves at its `Control` address.

/// `GET`, any process: the process's own state as a member of the group.
pub const STATUS: &str = "/v1/admin/status";
/// `GET`, leader: all workers and whether they may take starts.
pub const WORKERS: &str = "/v1/admin/workers";
/// `GET`, leader: queues and deficits by service and priority.
pub const QUEUES: &str = "/v1/admin/queues";
/// `GET`, leader: one job, whose ID follows this prefix.
pub const JOBS: &str = "/v1/admin/jobs/";
/// `GET`, leader: the configurations that were accepted.
pub const CONFIGURATION_HISTORY: &str = "/v1/admin/config/history";
/// `POST`, leader: transfer leadership to another voter.
pub const TRANSFER: &str = "/v1/admin/transfer";
/// `POST`, any process: take a snapshot now.
pub const SNAPSHOT: &str = "/v1/admin/snapshot";
/// `GET`, any process: its metrics in the OpenMetrics format.
pub const METRICS: &str = "/v1/admin/metrics";
/// `GET` and `PUT`, leader: the operator's configuration.
pub const CONFIGURATION: &str = "/v1/config";
