//! The settings in the form of the wire protocol and of the configuration file.

use crate::interface::{Class, Effect, Group, Plan, Settings};
use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::Value;

/// The settings as the platform words them. Times are whole nanoseconds, of a day at most.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct Wire {
    /// The gateway's zone, as its place in `dcs`.
    #[serde(default)]
    az: u32,
    /// The names of the zones.
    #[serde(default)]
    pub dcs: Vec<String>,
    /// The gateway's number among all gateways, from 0.
    me: u32,
    /// How many gateways there are.
    #[schemars(range(min = 1, max = 100_000))]
    siblings: u32,
    /// How the list of roll servers is had: an agent tells it (`automatic`) or it is asked for (`subscribe`).
    discovery: Discovery,
    /// The least time between two rounds of decisions, in nanoseconds.
    #[schemars(range(max = 1_000_000_000))]
    tick: u64,
    #[serde(default)]
    clients: Clients,
    #[serde(default)]
    extra: Extra,
    // Not a doc comment: it would become part of the schema, which other programs read.
    #[allow(missing_docs)]
    pub limits: Limits,
    obligations: Obligations,
    /// The customers' plans.
    #[schemars(length(min = 1, max = 1000))]
    plans: Vec<WirePlan>,
    #[serde(default)]
    prices: Prices,
    /// The classes of requests.
    #[schemars(length(min = 1, max = 1000))]
    services: Vec<Service>,
}

#[derive(Clone, Copy, Debug, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
enum Discovery {
    Automatic,
    Subscribe,
}

#[derive(Debug, Deserialize, Default, JsonSchema)]
struct Clients {
    /// Whether clients mark a request that they send again.
    #[serde(default)]
    marks_retry: bool,
}

#[derive(Debug, Deserialize, Default, JsonSchema)]
#[serde(default)]
struct Extra {
    /// Whether a request's true units are told with its answer.
    cost_after: bool,
    /// How often a customer's metered use is told anew, in nanoseconds; 0 without a meter.
    #[schemars(range(max = 86_400_000_000_000_u64))]
    meter_period: u64,
    /// The most units of one request; 0 for no limit.
    #[schemars(range(min = 0.0, max = 1e9))]
    most_units: f64,
}

// Limits on attempts, on connections and on retry advice to clients. Not a doc comment: it would become part
// of the schema.
#[allow(missing_docs)]
#[derive(Debug, Deserialize, JsonSchema)]
pub struct Limits {
    /// Whether an attempt may be given up while it is out.
    #[serde(default)]
    cancelling: bool,
    /// How long a connection to a roll server may take to come up, in nanoseconds.
    #[serde(default)]
    #[schemars(range(min = 1_000_000, max = 86_400_000_000_000_u64))]
    pub connect_timeout: Option<u64>,
    /// Idle time after which a roll server closes a connection, in nanoseconds.
    #[serde(default)]
    #[schemars(range(max = 86_400_000_000_000_u64))]
    pub keepalive: Option<u64>,
    /// The longest advice to a client when to come back, in nanoseconds.
    #[serde(default)]
    #[schemars(range(max = 86_400_000_000_000_u64))]
    max_retry_after: u64,
    /// Whether refusals carry advice when to come back.
    #[serde(default)]
    retry_after: bool,
    /// Whether two attempts of one request may be out at once.
    #[serde(default)]
    second_copies: bool,
    /// The most attempts of one request.
    #[schemars(range(min = 1, max = 100))]
    try_limit: u32,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct Obligations {
    /// How long past its deadline an answer still counts, in nanoseconds.
    #[schemars(range(max = 86_400_000_000_000_u64))]
    answer_slack: u64,
    /// Where the list is asked for: how old what a gateway knows may be, in nanoseconds.
    #[serde(default)]
    #[schemars(range(max = 86_400_000_000_000_u64))]
    ask_within: u64,
    /// How long a roll server takes at most to be warm after its start, in nanoseconds.
    #[schemars(range(max = 86_400_000_000_000_u64))]
    cold: u64,
    /// The part of its capacity that a roll server starts with.
    #[schemars(range(min = 0.0, max = 1.0))]
    cold_from: f64,
    /// So long above `fall_multiple` and a cold roll server falls over, in nanoseconds.
    #[schemars(range(max = 86_400_000_000_000_u64))]
    fall: u64,
    /// The multiple of its capacity that a cold roll server bears.
    #[schemars(range(min = 0.0, max = 1000.0))]
    fall_multiple: f64,
}

#[derive(Debug, Deserialize, Default, JsonSchema)]
#[serde(default)]
struct Prices {
    /// Of attempts that cross zones, as a share of first ones.
    #[schemars(range(min = 0.0, max = 1e6))]
    cross_zone: f64,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct WirePlan {
    #[schemars(length(min = 1, max = 256))]
    name: String,
    /// Units a second that a customer's quota fills by; 0 without a quota.
    #[schemars(range(min = 0.0, max = 1e9))]
    quota_rate: f64,
    /// The most units that it holds.
    #[schemars(range(min = 0.0, max = 1e9))]
    depth: f64,
    /// Attempts of a customer out at once within its quota; 0 without such a limit.
    #[serde(default)]
    parallel: u32,
    /// Units a second that the ceiling fills by; 0 without a ceiling.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e9))]
    never_over_rate: f64,
    /// The most units that it holds.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e9))]
    ceiling_burst: f64,
    /// What a unit of the plan is worth.
    #[schemars(range(min = 0.0, max = 1e6))]
    value_factor: f64,
    /// The part of its worth that a request earns beyond the quota.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e6))]
    over_worth: f64,
    /// The part of its worth that a request costs beyond the quota.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e6))]
    excess_cost: f64,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct Service {
    #[schemars(length(min = 1, max = 256))]
    name: String,
    /// Answered within this time a request earns its whole worth, in nanoseconds.
    #[schemars(range(min = 1, max = 86_400_000_000_000_u64))]
    on_time: u64,
    /// The longest that a client waits, in nanoseconds.
    #[schemars(range(min = 1, max = 86_400_000_000_000_u64))]
    deadline: u64,
    /// Whether it may run twice: always, under one key, or never.
    effect: WireEffect,
    /// Which roll servers know a key's repeats.
    #[serde(default)]
    group: Option<WireGroup>,
    /// How long they do, in nanoseconds.
    #[serde(default)]
    #[schemars(range(max = 86_400_000_000_000_u64))]
    key_ttl: u64,
    /// The part of its worth that it earns late.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e6))]
    late_worth: f64,
    /// What a request of the class is worth.
    #[schemars(range(min = 0.0, max = 1e6))]
    points: f64,
    #[serde(default)]
    stream: bool,
}

#[derive(Clone, Copy, Debug, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
enum WireEffect {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Clone, Copy, Debug, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
enum WireGroup {
    All,
    Zone,
    Cell,
}

/// Reads the settings from their JSON form.
///
/// # Errors
///
/// A key is missing or has a value of the wrong type. The message names it.
pub fn read(settings: &Value) -> Result<Settings, String> {
    Wire::deserialize(settings).map(Settings::from).map_err(|e| e.to_string())
}

impl From<Wire> for Settings {
    fn from(wire: Wire) -> Self {
        let plans = wire.plans.into_iter().map(|p| Plan {
            name: p.name,
            rate: p.quota_rate,
            depth: p.depth,
            parallel: p.parallel,
            ceiling_rate: p.never_over_rate,
            ceiling_burst: p.ceiling_burst,
            value_factor: p.value_factor,
            over_value: p.over_worth,
            over_cost: p.excess_cost,
        });
        Settings {
            zone: wire.az,
            gateway_index: wire.me,
            gateways: wire.siblings,
            classes: wire.services.into_iter().map(Class::from).collect(),
            plans: plans.collect(),
            subscribe: matches!(wire.discovery, Discovery::Subscribe),
            list_max_age: wire.obligations.ask_within,
            marks_retry: wire.clients.marks_retry,
            cancelling: wire.limits.cancelling,
            hedging: wire.limits.second_copies,
            retry_after: wire.limits.retry_after,
            max_retry_after: wire.limits.max_retry_after,
            try_limit: wire.limits.try_limit,
            answers_tell_units: wire.extra.cost_after,
            most_units: wire.extra.most_units,
            meter_period: wire.extra.meter_period,
            warm_up_time: wire.obligations.cold,
            warm_up_from: wire.obligations.cold_from,
            overload_tolerance: wire.obligations.fall,
            overload_multiple: wire.obligations.fall_multiple,
            answer_slack: wire.obligations.answer_slack,
            cross_zone_price: wire.prices.cross_zone,
            tick: wire.tick,
            ..Settings::default()
        }
    }
}

impl From<Service> for Class {
    fn from(s: Service) -> Self {
        Class {
            name: s.name,
            latency_target: s.on_time,
            deadline: s.deadline,
            effect: match s.effect {
                WireEffect::Safe => Effect::Safe,
                WireEffect::Keyed => Effect::Keyed,
                WireEffect::Unsafe => Effect::Unsafe,
            },
            group: match s.group {
                None | Some(WireGroup::All) => Group::All,
                Some(WireGroup::Zone) => Group::Zone,
                Some(WireGroup::Cell) => Group::Cell,
            },
            key_ttl: s.key_ttl,
            late_value: s.late_worth,
            value: s.points,
            stream: s.stream,
        }
    }
}

/// Checks that all numbers are in range.
///
/// # Errors
///
/// A number is out of range. The message names the setting and its value.
pub fn check(s: &Settings) -> Result<(), String> {
    let mut numbers = Vec::new();
    let mut add =
        |of: &str, all: &[(&str, f64)]| numbers.extend(all.iter().map(|(n, v)| (format!("{of}{n}"), *v)));
    add("", &[("cold_from", s.warm_up_from), ("fall_multiple", s.overload_multiple)]);
    add("", &[("most_units", s.most_units), ("cross_zone_price", s.cross_zone_price)]);
    for p in &s.plans {
        let of = format!("plan {}: ", p.name);
        add(&of, &[("rate", p.rate), ("depth", p.depth), ("ceiling_rate", p.ceiling_rate)]);
        add(&of, &[("ceiling_burst", p.ceiling_burst), ("value_factor", p.value_factor)]);
        add(&of, &[("over_worth", p.over_value), ("over_cost", p.over_cost)]);
    }
    for c in &s.classes {
        add(&format!("class {}: ", c.name), &[("points", c.value), ("late_worth", c.late_value)]);
    }
    match numbers.iter().find(|(_, v)| !v.is_finite() || *v < 0.0) {
        Some((name, v)) => Err(format!("{name} is {v}: must be a finite number of at least 0")),
        None if s.gateways == 0 => Err("gateways is 0: must be at least 1".to_string()),
        None => Ok(()),
    }
}
