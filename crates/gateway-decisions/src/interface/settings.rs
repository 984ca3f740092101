//! The settings of a gateway.

use crate::interface::names::Time;

/// The effect of running a request a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// None: the request is idempotent.
    Safe,
    /// None on servers that recognise the request's idempotency key; a second effect on other servers or
    /// after the key has expired.
    Keyed,
    /// A second effect.
    Unsafe,
}

/// Which servers recognise the idempotency key of a request that has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All servers.
    All,
    /// The servers of the zone where the request ran first.
    Zone,
    /// The servers of the cell where the request ran first.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name, for operators.
    pub name: String,
    /// Latency target: an answer within this time earns the request's value.
    pub latency_target: Time,
    /// The longest time that a client waits.
    pub deadline: Time,
    /// The effect of a second run.
    pub effect: Effect,
    /// Which servers recognise a request's idempotency key.
    pub group: Group,
    /// How long servers remember an idempotency key.
    pub key_ttl: Time,
    /// Share of its value that a request earns after the latency target.
    pub late_value: f64,
    /// Value of a request.
    pub value: f64,
    /// Answers are streams: an attempt is not abandoned for being slow.
    pub stream: bool,
}

impl Class {
    /// A class of value 1 whose idempotency keys are not remembered and whose late answers earn nothing.
    pub fn new(name: &str, latency_target: Time, deadline: Time, effect: Effect, group: Group) -> Self {
        let name = name.to_string();
        Class {
            name,
            latency_target,
            deadline,
            effect,
            group,
            key_ttl: 0,
            late_value: 0.0,
            value: 1.0,
            stream: false,
        }
    }
}

/// A plan. Its quota applies to each customer, over all gateways together. A rate or limit of 0 means no
/// limit.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name, for operators.
    pub name: String,
    /// Refill rate of a customer's quota, in units per second.
    pub rate: f64,
    /// Capacity of the quota's token bucket, in units.
    pub depth: f64,
    /// Maximum number of attempts of a customer in flight at once.
    pub parallel: u32,
    /// Refill rate of the hard ceiling's token bucket, in units per second.
    pub ceiling_rate: f64,
    /// Capacity of the ceiling's token bucket, in units.
    pub ceiling_burst: f64,
    /// Value of one unit of the plan.
    pub value_factor: f64,
    /// Share of its value that a request beyond the quota earns.
    pub over_value: f64,
    /// Share of its value that a request beyond the quota costs.
    pub over_cost: f64,
}

impl Plan {
    /// A plan of value 1 whose only limit is a quota of `rate` units per second and at most `depth` units.
    pub fn new(name: &str, rate: f64, depth: f64) -> Self {
        Plan {
            name: name.to_string(),
            rate,
            depth,
            parallel: 0,
            ceiling_rate: 0.0,
            ceiling_burst: 0.0,
            value_factor: 1.0,
            over_value: 0.0,
            over_cost: 0.0,
        }
    }
}

/// Settings of a gateway, fixed for its lifetime.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This gateway's zone.
    pub zone: u32,
    /// This gateway's number among all gateways, from 0.
    pub gateway_index: u32,
    /// Number of gateways.
    pub gateways: u32,
    /// The request classes; a request refers to one by index.
    pub classes: Vec<Class>,
    /// The customers' plans; a request refers to one by index.
    pub plans: Vec<Plan>,
    /// Whether the gateway has to ask discovery for the server list.
    pub subscribe: bool,
    /// Maximum age of the server list: while no subscription is established, discovery is asked at least this
    /// often.
    pub list_max_age: Time,
    /// Whether clients mark their retries.
    pub marks_retry: bool,
    /// Whether an attempt in flight may be cancelled.
    pub cancelling: bool,
    /// Whether two attempts of one request may be in flight at once (hedged requests).
    pub hedging: bool,
    /// Whether rejections advise clients when to retry.
    pub retry_after: bool,
    /// Maximum of that advice.
    pub max_retry_after: Time,
    /// Maximum number of attempts of one request.
    pub try_limit: u32,
    /// Whether answers report the actual units of a request.
    pub answers_tell_units: bool,
    /// Maximum units of one request.
    pub most_units: f64,
    /// Period of the meter that measures customers' use over all gateways; 0 if there is no meter.
    pub meter_period: Time,
    /// Maximum time that a server needs to warm up after its start.
    pub warm_up_time: Time,
    /// Share of its capacity that a server has right after its start.
    pub warm_up_from: f64,
    /// A server that is warming up fails after this time under more than `overload_multiple` times its
    /// capacity.
    pub overload_tolerance: Time,
    /// Load that a server that is warming up can bear, as a multiple of its capacity.
    pub overload_multiple: f64,
    /// How long after its deadline an answer still counts.
    pub answer_slack: Time,
    /// Cost of an attempt to another zone, as a share of the cost of one within the zone.
    pub cross_zone_price: f64,
    /// Minimum time between two calls of [`Gateway::handle`](crate::Gateway::handle).
    pub tick: Time,
    /// Number of connections to servers that the caller's file descriptors allow; 0 if the caller has no
    /// connection pool.
    pub connections: u32,
    /// Maximum number of connections to one server, even if the server can bear more.
    pub connections_per_server: u32,
    /// How long an idle connection to a server stays open; 0 if unknown.
    pub connection_idle_time: Time,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            zone: 0,
            gateway_index: 0,
            gateways: 1,
            classes: Vec::new(),
            plans: Vec::new(),
            subscribe: false,
            list_max_age: 10_000_000_000,
            marks_retry: false,
            cancelling: false,
            hedging: false,
            retry_after: false,
            max_retry_after: 0,
            try_limit: 3,
            answers_tell_units: false,
            most_units: 1.0,
            meter_period: 0,
            warm_up_time: 0,
            warm_up_from: 1.0,
            overload_tolerance: 1_000_000_000,
            overload_multiple: 3.0,
            answer_slack: 0,
            cross_zone_price: 0.0,
            tick: 1_000_000,
            connections: 0,
            connections_per_server: u32::MAX,
            connection_idle_time: 0,
        }
    }
}
