//! The type of a route in the operator's configuration.

/// Whether a request of a route may be sent again after it may have been carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// The request may be sent again.
    Idempotent,
    /// The request may not be sent again. Unknown values of `RouteType` count as this one, which is the safer
    /// choice.
    NonIdempotent,
}

/// A route, which defines a queue of jobs: the requests that match it, and how its jobs are scheduled.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Unique name of the route.
    pub name: String,
    /// Host of its requests, in lower case and without a port.
    pub host: String,
    /// Prefix of the path of its requests.
    pub path_prefix: String,
    /// Whether its requests may be sent again.
    pub kind: RouteKind,
    /// Maximum time for an answer to a client, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency of its requests in milliseconds; 0 if not given.
    pub target_latency_ms: u64,
    /// Priority of its jobs; 0 is the highest.
    pub priority: u32,
    /// Name of the service whose workers run the tasks.
    pub service: String,
    /// Number of `failed` ends of a single task with which the job fails.
    pub max_retries: u32,
    /// Objective for the duration of its jobs, as a multiple of the work on a job's critical path.
    pub stretch: f64,
    /// Rate limit in requests per second; none: no limit.
    pub rate_per_s: Option<f64>,
}
