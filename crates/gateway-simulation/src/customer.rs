//! A customer: what it asks for, and its books as they truly are, beside what any gateway believes.

use crate::scenario::Tariff;
use crate::units::METER_PERIOD_NS;
use gateway_decisions::Time;

/// What a client asks for, and how often it has asked before.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest {
    pub plan: usize,
    pub class: usize,
    pub customer: u32,
    pub repeats: u32,
}

#[derive(Clone, Debug)]
pub struct Customer {
    /// What its quota holds.
    level: f64,
    at: Time,
    /// Units in this period of the meter.
    used: f64,
    /// What the meter told of the last one: the use as a share of the rate.
    pub metered: Option<f64>,
}

impl Customer {
    pub fn new(depth: f64, now: Time) -> Self {
        Customer { level: depth, at: now, used: 0.0, metered: None }
    }

    fn fill(&mut self, plan: &Tariff, now: Time) {
        let gained = now.saturating_sub(self.at) as f64 / 1e9 * plan.rate;
        self.level = (self.level + gained).min(plan.depth);
        self.at = self.at.max(now);
    }

    /// Whether a request of one unit is within the quota now.
    pub fn is_within_quota(&mut self, plan: &Tariff, now: Time) -> bool {
        self.fill(plan, now);
        plan.rate <= 0.0 || self.level >= 1.0
    }

    /// Whether at least half of the quota is there.
    pub fn has_half_quota(&mut self, plan: &Tariff, now: Time) -> bool {
        self.fill(plan, now);
        plan.rate > 0.0 && self.level >= (plan.depth / 2.0).max(1.0)
    }

    /// A request of one unit is sent for the first time; whether that was within the quota.
    pub fn charge(&mut self, plan: &Tariff, now: Time) -> bool {
        let within = self.is_within_quota(plan, now);
        self.level -= f64::from(u8::from(within && plan.rate > 0.0));
        self.used += 1.0;
        within
    }

    /// A period of the meter is over; `on` if it tells.
    pub fn end_meter_period(&mut self, plan: &Tariff, on: bool) {
        let share = self.used / (plan.rate * (METER_PERIOD_NS as f64 / 1e9));
        self.metered = Some(share).filter(|_| plan.rate > 0.0 && on);
        self.used = 0.0;
    }
}
