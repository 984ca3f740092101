//! The settings of a gateway.

use crate::interface::names::Time;

/// What a second run of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: the request is idempotent.
    Safe,
    /// Nothing, where servers recognise its key; a second effect elsewhere or later.
    Keyed,
    /// A second effect.
    Unsafe,
}

/// Which servers drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All of them.
    All,
    /// Those of the zone where it ran first.
    Zone,
    /// Those of the cell where it ran first.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name, for operators.
    pub name: String,
    /// The latency target: an answer within it earns the request's value.
    pub latency_target: Time,
    /// The longest that a client waits.
    pub deadline: Time,
    /// What a second run does.
    pub effect: Effect,
    /// Which servers recognise a key's repeats.
    pub group: Group,
    /// How long they do.
    pub key_ttl: Time,
    /// The part of its value that a request earns after the latency target.
    pub late_value: f64,
    /// The value of a request.
    pub value: f64,
    /// Answers are streams: an attempt is not given up for being slow.
    pub stream: bool,
}

impl Class {
    /// A class of value 1 whose keys are not remembered and whose late answers earn nothing.
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

/// A plan; its quotas hold for each customer over all gateways together. A rate or limit of 0 means none.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name, for operators.
    pub name: String,
    /// Units a second by which a customer's quota fills.
    pub rate: f64,
    /// The most units that the quota holds.
    pub depth: f64,
    /// Attempts of a customer in flight at once.
    pub parallel: u32,
    /// Units a second by which the hard ceiling fills.
    pub ceiling_rate: f64,
    /// The most units that the ceiling holds.
    pub ceiling_burst: f64,
    /// The value of a unit of the plan.
    pub value_factor: f64,
    /// The part of its value that a request earns beyond the quota.
    pub over_value: f64,
    /// The part of its value that a request costs beyond the quota.
    pub over_cost: f64,
}

impl Plan {
    /// A plan of value 1 with a quota alone, of `rate` units a second and at most `depth` units.
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

/// The settings of a gateway, which it has from its start on.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This gateway's zone.
    pub zone: u32,
    /// Its number among all gateways, from 0.
    pub gateway_index: u32,
    /// How many gateways there are.
    pub gateways: u32,
    /// The classes of requests; a request names one by its index.
    pub classes: Vec<Class>,
    /// The customers' plans; a request names one by its index.
    pub plans: Vec<Plan>,
    /// Whether discovery must be asked for the list of servers.
    pub subscribe: bool,
    /// How often at least it is asked while no subscription stands.
    pub list_max_age: Time,
    /// Whether clients mark their retries.
    pub marks_retry: bool,
    /// Whether an attempt in flight may be cancelled.
    pub cancelling: bool,
    /// Whether two attempts of one request may be in flight at once (hedged requests).
    pub hedging: bool,
    /// Whether rejections tell clients when to return.
    pub retry_after: bool,
    /// The longest such advice.
    pub max_retry_after: Time,
    /// The most attempts of one request.
    pub try_limit: u32,
    /// Whether answers tell the true units of a request.
    pub answers_tell_units: bool,
    /// The most units of one request.
    pub most_units: f64,
    /// The meter's period; 0 for no meter.
    pub meter_period: Time,
    /// How long a server warms up at most after its start.
    pub warm_up_time: Time,
    /// The part of its capacity that it starts with.
    pub warm_up_from: f64,
    /// So long above `fall_multiple` and a server that warms up falls over.
    pub overload_tolerance: Time,
    /// The multiple of its capacity that a server that warms up bears.
    pub overload_multiple: f64,
    /// How long past its deadline an answer still counts.
    pub answer_slack: Time,
    /// What an attempt to another zone costs, as a share of one within the zone.
    pub cross_zone_price: f64,
    /// The shortest time between two calls.
    pub tick: Time,
    /// Connections to servers that the caller's descriptors bear; 0 if it has none.
    pub connections: u32,
    /// The most of them to one server, whatever it bears.
    pub connections_per_server: u32,
    /// How long a connection to a server stays open idle; 0 if that is not known.
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
