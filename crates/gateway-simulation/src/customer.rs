//! A customer's requests and the true state of its quota, which gateways only estimate.

use crate::scenario::Tariff;
use crate::units::METER_PERIOD_NS;
use gateway_decisions::Time;

/// A client's request, with the number of retries before it.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest {
    pub plan: usize,
    pub class: usize,
    pub customer: u32,
    pub repeats: u32,
}

/// The quota and the metered use of a customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Units in the quota at `updated_at`.
    level: f64,
    updated_at: Time,
    /// Units used in the current period of the meter.
    used_units: f64,
    /// The use in the last period as a share of the quota's rate, as the meter reported it.
    pub metered: Option<f64>,
}

impl Customer {
    pub fn new(depth: f64, now: Time) -> Self {
        Customer { level: depth, updated_at: now, used_units: 0.0, metered: None }
    }

    fn refill(&mut self, plan: &Tariff, now: Time) {
        let gained = now.saturating_sub(self.updated_at) as f64 / 1e9 * plan.rate;
        self.level = (self.level + gained).min(plan.depth);
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns whether a request of one unit is within the quota now.
    pub fn is_within_quota(&mut self, plan: &Tariff, now: Time) -> bool {
        self.refill(plan, now);
        plan.rate <= 0.0 || self.level >= 1.0
    }

    /// Returns whether at least half of the quota is available.
    pub fn has_half_quota(&mut self, plan: &Tariff, now: Time) -> bool {
        self.refill(plan, now);
        plan.rate > 0.0 && self.level >= (plan.depth / 2.0).max(1.0)
    }

    /// Charges a request of one unit, at its first attempt. Returns whether the request was within the quota.
    pub fn charge(&mut self, plan: &Tariff, now: Time) -> bool {
        let within = self.is_within_quota(plan, now);
        self.level -= f64::from(u8::from(within && plan.rate > 0.0));
        self.used_units += 1.0;
        within
    }

    /// Ends a period of the meter; `on` tells whether the meter reports the use.
    pub fn end_meter_period(&mut self, plan: &Tariff, on: bool) {
        let share = self.used_units / (plan.rate * (METER_PERIOD_NS as f64 / 1e9));
        self.metered = Some(share).filter(|_| plan.rate > 0.0 && on);
        self.used_units = 0.0;
    }
}
