//! Estimates of a customer's use over all gateways, from this gateway's own traffic and the meter's readings.
//!
//! The equal share of a customer is the share that each gateway has if all gateways that serve the customer
//! get the same traffic: 1 / spread.

use crate::decide::averages::{FLEET_DAMPING, GAIN};
use crate::interface::Plan;
use crate::state::{Customer, UnmeteredDemand};

/// If this gateway's equal share of a full bucket holds this many requests, its own traffic and the meter
/// weigh 1/2 each.
const HALF_WEIGHT_REQUESTS: f64 = 0.1;
/// How long a meter reading counts, as a multiple of the memory of the customer's averages
/// ([`memory_seconds`]).
pub(super) const READING_MEMORY_MULTIPLE: f64 = 4.0;
/// Weight of a request at this gateway as evidence of demand, relative to one that the meter reads. The equal
/// share by which it is divided is only assumed; but with many gateways, a second request at one gateway is
/// rare unless the customer's demand is high.
const OWN_REQUEST_WEIGHT: f64 = 2.0;
/// Requests at this gateway are weighted by the metered use, as a share of the plan's rate, times this
/// factor, up to 1: if at least half of the rate is used, they count in full.
const OWN_REQUEST_USE_FACTOR: f64 = 2.0;
/// Demand that is assumed without evidence, as a share of the plan's rate.
const ASSUMED_DEMAND_SHARE: f64 = 0.6;
/// Weight of the assumption that this gateway has an equal share: the plan's rate divided by this.
const ASSUMED_RATE_DIVISOR: f64 = 4.0;
/// Lower bound of this gateway's share of a customer's use, as a fraction of the equal share.
const MIN_EQUAL_SHARE_FRACTION: f64 = 0.25;
/// Lower bound of the admission probability that converts a reading of use into one of demand.
pub(super) const MIN_ADMISSION_PROBABILITY: f64 = 0.1;
/// Bounds of the memory of a customer's averages, in seconds. A longer meter period overrides the upper one.
const MEMORY_BOUNDS_SECONDS: (f64, f64) = (0.1, 10.0);

/// The memory of a customer's averages, in seconds: the time to fill its bucket, but at least a meter period.
pub(super) fn memory_seconds(meter_period: f64, plan: &Plan) -> f64 {
    let (least, most) = MEMORY_BOUNDS_SECONDS;
    (plan.depth / plan.rate.max(1e-9)).clamp(least, most).max(meter_period)
}

impl Customer {
    /// The weight of this gateway's own traffic as evidence of the customer's use: near 1 if this gateway's
    /// equal share of the bucket holds many requests, near 0 if it holds a fraction of one and only the meter
    /// is informative.
    pub(super) fn own_weight(&self, plan: &Plan, mean_units: f64) -> f64 {
        let requests = self.requests_per_gateway(plan, mean_units);
        requests / (requests + HALF_WEIGHT_REQUESTS)
    }

    /// Number of requests in this gateway's equal share of a full bucket.
    pub(super) fn requests_per_gateway(&self, plan: &Plan, mean_units: f64) -> f64 {
        plan.depth / (self.spread * mean_units.max(1e-9))
    }

    /// Units to charge to the bucket for each unit admitted here. The charge includes what other gateways are
    /// assumed to admit at the same time, in proportion to the weight of own traffic.
    pub(super) fn units_per_own_unit(&self, plan: &Plan, mean_units: f64) -> f64 {
        1.0 + (1.0 / self.own_share(plan, mean_units) - 1.0) * self.own_weight(plan, mean_units)
    }

    /// The customer's demand over all gateways, from own traffic and the meter, in units per second.
    pub(super) fn demand(&self, plan: &Plan, mean_units: f64) -> f64 {
        let own_weight = self.own_weight(plan, mean_units);
        own_weight * self.requested_rate / self.own_share(plan, mean_units)
            + (1.0 - own_weight) * self.metered_demand(plan, mean_units)
    }

    /// The customer's demand over all gateways according to the meter, in units per second. With little
    /// evidence, the result is drawn towards 0.6 of the plan's rate, an assumption that weighs as much as one
    /// request.
    pub(super) fn metered_demand(&self, plan: &Plan, mean_units: f64) -> f64 {
        let assumed_seconds = mean_units / plan.rate.max(1e-9);
        (self.demand_units + ASSUMED_DEMAND_SHARE * plan.rate * assumed_seconds)
            / (self.demand_seconds + assumed_seconds).max(1e-9)
    }

    /// This gateway's share of the customer's use according to the meter; the equal share before its first
    /// reading.
    pub(super) fn own_share(&self, plan: &Plan, mean_units: f64) -> f64 {
        let assumed_rate = plan.rate / ASSUMED_RATE_DIVISOR;
        let usual =
            (self.long_admitted_rate + assumed_rate / self.spread) / (self.long_metered_rate + assumed_rate);
        // If more is requested here than usual, the customer has more likely moved to this gateway than
        // raised its demand.
        let moved = (self.requested_rate + assumed_rate / self.spread)
            / (self.metered_demand(plan, mean_units) + assumed_rate);
        usual.max(moved).clamp(MIN_EQUAL_SHARE_FRACTION / self.spread, 1.0)
    }

    /// The rate in units per second that other gateways admit beyond what this gateway's own requests account
    /// for; 0 before the meter's first reading.
    pub(super) fn admitted_elsewhere(&self, plan: &Plan, mean_units: f64) -> f64 {
        if self.metered_at > 0 {
            self.long_metered_rate - self.admitted_rate / self.own_share(plan, mean_units)
        } else {
            0.0
        }
    }

    /// Records units that the customer requested at this gateway.
    pub(super) fn observe_requested(&mut self, plan: &Plan, meter_period: f64, units: f64) {
        self.requested_rate += units / memory_seconds(meter_period, plan);
        let use_weight = if self.metered_at > 0 {
            (OWN_REQUEST_USE_FACTOR * self.metered_rate / plan.rate.max(1e-9)).min(1.0)
        } else {
            1.0
        };
        self.demand_units += OWN_REQUEST_WEIGHT * use_weight * units;
    }

    /// Records units that this gateway admitted.
    pub(super) fn observe_admitted(&mut self, plan: &Plan, meter_period: f64, mean_units: f64, units: f64) {
        self.quota_level -= units * self.units_per_own_unit(plan, mean_units);
        self.admitted_rate += units / memory_seconds(meter_period, plan);
    }

    /// Records a reading of the meter that covers `seconds`, as evidence of demand. Assumes that the other
    /// gateways reject as many requests as this one.
    pub(super) fn observe_reading(&mut self, seconds: f64, used_share: f64, plan: &Plan) {
        let admitted = self.delayed_admitted_share.max(MIN_ADMISSION_PROBABILITY);
        self.demand_units += seconds * used_share * plan.rate;
        self.demand_seconds += seconds * admitted;
    }

    /// Decays the evidence of demand over `seconds`.
    pub(super) fn decay_demand(&mut self, seconds: f64, memory: f64) {
        let decay = (-seconds / (READING_MEMORY_MULTIPLE * memory)).exp();
        self.demand_units *= decay;
        self.demand_seconds = (self.demand_seconds + OWN_REQUEST_WEIGHT * seconds / self.spread) * decay;
    }

    /// Decays the average rates, of which the share `kept` is left. While the meter is silent, its last
    /// reading stays in effect.
    pub(super) fn decay_rates(&mut self, kept: f64, meter_silent: bool, reading_is_old: bool) {
        if meter_silent {
            self.metered_rate += (self.long_metered_rate - self.metered_rate) * (1.0 - kept);
        } else if self.metered_at > 0 {
            self.long_admitted_rate += (self.admitted_rate - self.long_admitted_rate) * (1.0 - kept);
            self.long_metered_rate += (self.metered_rate - self.long_metered_rate) * (1.0 - kept);
        }
        self.requested_rate *= kept;
        self.admitted_rate *= kept;
        // A customer whose requests are all rejected sends no attempts and so gets no new readings: an old
        // reading decays.
        if !meter_silent && reading_is_old {
            self.metered_rate *= kept;
        }
    }
}

impl UnmeteredDemand {
    /// Records the probability with which such a customer was admitted.
    pub(super) fn observe_admission_probability(&mut self, probability: f64) {
        let mean = self.admission_probability.get_or_insert(1.0);
        *mean += (probability - *mean) * GAIN / FLEET_DAMPING;
    }

    /// Records the first meter reading of a customer, as a share of the plan's rate. Assumes that the other
    /// gateways admit as many requests as this one.
    pub(super) fn observe_reading(&mut self, used_share: f64) {
        let kept = 1.0 - GAIN / FLEET_DAMPING;
        let demand = used_share / self.admission_probability.unwrap_or(1.0).max(MIN_ADMISSION_PROBABILITY);
        self.demand_sum = self.demand_sum * kept + demand;
        self.readings = self.readings * kept + 1.0;
    }

    /// The demand of such a customer, as a multiple of the plan's rate, averaged over requests rather than
    /// customers: customers with a high demand send more requests. Without evidence, the plan's rate is
    /// assumed, which weighs as much as one request.
    pub(super) fn demand_share(&self) -> f64 {
        (self.demand_sum + 1.0) / (self.readings + 1.0)
    }
}
