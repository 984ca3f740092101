//! What this gateway knows of each customer's quota and use.

use crate::interface::names::Time;
use serde::{Deserialize, Serialize};

/// One customer's quota as this gateway sees it: the token bucket of the quota (the store of the design
/// paper), the token bucket of the hard ceiling, and estimates of the customer's demand. Rates are in units
/// per second.
///
/// The serialized names are those of the first version, because the other process of this gateway may run any
/// version.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Customer {
    pub(crate) plan: usize,
    /// Number of gateways through which the customer's requests may arrive.
    pub(crate) spread: f64,
    #[serde(rename = "seen")]
    pub(crate) last_seen: Time,
    /// Time up to which the buckets are refilled and the averages decayed.
    #[serde(rename = "at")]
    pub(crate) updated_at: Time,
    /// Units in the quota's bucket; negative if the customer is in debt.
    #[serde(rename = "level")]
    pub(crate) quota_level: f64,
    /// Units in the ceiling's bucket.
    #[serde(rename = "ceiling")]
    pub(crate) ceiling_level: f64,
    /// Attempts that this process has in flight.
    #[serde(skip)]
    pub(crate) in_flight: u32,
    /// Attempts that the other process of this gateway has in flight.
    #[serde(skip)]
    pub(crate) peer_in_flight: u32,
    /// EWMA of the rate that the customer requests at this gateway. Its delay is about that of the meter.
    #[serde(rename = "asked")]
    pub(crate) requested_rate: f64,
    /// EWMA of the rate that this gateway admits, with the same delay.
    #[serde(rename = "passed")]
    pub(crate) admitted_rate: f64,
    /// Rate of the meter's last reading.
    #[serde(rename = "metered")]
    pub(crate) metered_rate: f64,
    /// Time of the meter's last reading; 0 before the first one.
    pub(crate) metered_at: Time,
    /// Longer average of `admitted_rate`. Divided by `long_metered_rate`, it gives this gateway's share of
    /// the customer's use.
    #[serde(rename = "passed_long")]
    pub(crate) long_admitted_rate: f64,
    /// Longer average of `metered_rate`.
    #[serde(rename = "metered_long")]
    pub(crate) long_metered_rate: f64,
    /// Units of recent demand, decayed.
    #[serde(rename = "told")]
    pub(crate) demand_units: f64,
    /// Seconds of traffic in which `demand_units` were observed, each weighted by the share of the demand
    /// that was admitted at the time, decayed.
    #[serde(rename = "span")]
    pub(crate) demand_seconds: f64,
    /// Share of the demand that the quota admits according to the meter's readings, with the delay of the
    /// meter.
    #[serde(rename = "share_then")]
    pub(crate) delayed_admitted_share: f64,
}

impl Customer {
    /// A customer of which only the plan is known.
    pub(crate) fn new(plan: usize, quota_level: f64, ceiling_level: f64, now: Time) -> Self {
        Customer {
            plan,
            spread: 1.0,
            last_seen: now,
            updated_at: now,
            quota_level,
            ceiling_level,
            delayed_admitted_share: 1.0,
            ..Customer::default()
        }
    }

    /// Attempts in flight of both processes of this gateway.
    pub(crate) fn gateway_in_flight(&self) -> u32 {
        self.in_flight + self.peer_in_flight
    }
}

/// Demand of those customers of one plan that the meter has not read yet.
#[derive(Clone, Default)]
pub(crate) struct UnmeteredDemand {
    /// EWMA of the probability with which such customers are admitted.
    pub(crate) admission_probability: Option<f64>,
    /// Sum of the demand at customers' first readings, as a multiple of the plan's rate, decayed.
    pub(crate) demand_sum: f64,
    /// Number of those readings, decayed alike.
    pub(crate) readings: f64,
}
