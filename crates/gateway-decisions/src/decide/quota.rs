//! Quotas: the token bucket of each customer (the design's store), the chance to pass once it is empty, and
//! the meter's readings. Caps and ceilings of a plan, beyond the paper, are here too.

use crate::decide::customer_estimates::{memory_seconds, READING_MEMORY};
use crate::decide::gateway::Gateway;
use crate::interface::{AttemptEnd, Charge, Ending, Name, Plan, Request, RequestId, Time};
use crate::state::{nanos, secs, Customer};

/// Requests of the even part in the bucket below which a gateway's own requests tell it nothing of the
/// bucket.
const THIN_BUCKET: f64 = 0.5;
/// Periods without a reading of any customer after which the meter counts as silent.
const SILENT_PERIODS: f64 = 4.0;
/// The part of a cap on attempts in flight that is in use at best, when they come by chance.
const CAP_USED_PART: f64 = 0.3;
/// Seconds between two looks for quiet customers, at least.
const SWEEP_SECONDS: f64 = 1.0;
/// The least rate, in units a second, by which the filling time of a quiet customer's bucket is reckoned.
const LEAST_SWEEP_RATE: f64 = 0.01;

/// What the estimates of all customers go by at one time.
struct QuotaClock {
    now: Time,
    /// Seconds.
    meter_period: f64,
    mean_units: f64,
    /// EWMA of how long an attempt is in flight, in seconds.
    attempt_seconds: f64,
    /// The meter reads nothing of anybody.
    meter_silent: bool,
}

/// Beyond the paper: the rate that a plan's quotas let through. A cap on attempts in flight is a rate too:
/// the cap over how long an attempt is in flight, less what chance needs to stay under it.
fn sustained_rate(plan: &Plan, mean_units: f64, attempt_seconds: f64) -> f64 {
    match plan.parallel {
        0 => plan.rate,
        cap => plan.rate.min(CAP_USED_PART * f64::from(cap) * mean_units / attempt_seconds.max(1e-9)),
    }
}

impl Customer {
    /// Brings buckets and averages up to now.
    fn advance(&mut self, plan: &Plan, clock: &QuotaClock) {
        let seconds = secs(clock.now - self.updated_at);
        if seconds <= 0.0 {
            return;
        }
        self.updated_at = clock.now;
        let ceiling_refill = seconds * plan.ceiling_rate / self.spread;
        self.ceiling_level = (self.ceiling_level + ceiling_refill).min(plan.ceiling_burst / self.spread);
        if plan.rate <= 0.0 {
            return;
        }
        let rate = sustained_rate(plan, clock.mean_units, clock.attempt_seconds);
        let demand = self.metered_demand(plan, clock.mean_units);
        self.refill_quota(plan, clock, seconds, rate - demand);
        let memory = memory_seconds(clock.meter_period, plan);
        self.fade_demand(seconds, memory);
        let kept = (-seconds / memory).exp();
        let pass_share = (rate / demand.max(1e-9)).min(1.0);
        self.delayed_pass_share += (pass_share - self.delayed_pass_share) * (1.0 - kept);
        let reading_is_old = secs(clock.now - self.metered_at) > READING_MEMORY * memory;
        self.fade_rates(kept, clock.meter_silent, reading_is_old);
        self.quota_level = self.quota_level.max(-plan.depth);
    }

    /// Fills the quota's bucket at the rate and drains it by what others pass. `surplus` is what the rate
    /// lets through beyond the demand by the meter.
    fn refill_quota(&mut self, plan: &Plan, clock: &QuotaClock, seconds: f64, surplus: f64) {
        // What the meter shows unused of the rate, the true bucket has kept: a debt that this gateway only
        // guessed is forgiven as fast, or a wrong part would reject for long what the quota has units for.
        let in_debt = self.quota_level < 0.0 && self.metered_at > 0 && !clock.meter_silent;
        let unused = if in_debt { plan.rate - self.long_metered_rate } else { 0.0 };
        let own_weight = self.own_weight(plan, clock.mean_units);
        let filled = self.quota_level + seconds * own_weight * (plan.rate + unused.max(0.0));
        self.quota_level = filled.min(plan.depth);
        // What others pass drains the bucket too, as far as own requests do not stand for it: where a
        // customer comes in elsewhere for a while, the bucket would else fill here and pass its burst once
        // more.
        let elsewhere = self.passed_elsewhere(plan, clock.mean_units);
        let change = (1.0 - own_weight) * surplus - own_weight * elsewhere.max(0.0);
        let drained = self.quota_level + seconds * change;
        self.quota_level = drained.clamp(self.quota_level.min(0.0), plan.depth);
    }

    /// Takes a reading of the meter as the share of the plan's rate that the customer used.
    fn take_reading(&mut self, used_share: f64, plan: &Plan, clock: &QuotaClock) {
        let seconds = clock.meter_period.min(secs(clock.now - self.metered_at));
        self.observe_reading(seconds, used_share, plan);
        if self.metered_at == 0 {
            let over = self.metered_demand(plan, clock.mean_units) - plan.rate;
            let elsewhere = 1.0 - self.own_weight(plan, clock.mean_units);
            self.quota_level -= elsewhere * over.max(0.0) * memory_seconds(clock.meter_period, plan);
        }
        self.metered_rate = used_share * plan.rate;
        self.metered_at = clock.now;
    }

    /// Gives units back to the quota's bucket.
    pub(super) fn refund(&mut self, units: f64, plan: &Plan) {
        self.quota_level = (self.quota_level + units).min(plan.depth);
    }
}

impl Gateway {
    fn quota_clock(&self) -> QuotaClock {
        let meter_period = secs(self.settings.meter_period);
        // While the meter reads nothing of anybody, its last reading of each customer stands: taken for
        // less use, the silence would let every gateway pass its part once more, until the averages are
        // back.
        let meter_silent =
            self.last_reading_at > 0 && secs(self.now - self.last_reading_at) > SILENT_PERIODS * meter_period;
        QuotaClock {
            now: self.now,
            meter_period,
            mean_units: self.mean_units,
            attempt_seconds: self.attempt_seconds,
            meter_silent,
        }
    }

    /// Brings a customer's buckets and averages up to now.
    pub(super) fn advance_customer(&mut self, name: &Name) {
        let clock = self.quota_clock();
        let Some(customer) = self.customers.get_mut(name) else { return };
        customer.advance(&self.settings.plans[customer.plan], &clock);
    }

    /// Whether the customer's quota lets a request pass: while its bucket holds the units, then by chance.
    pub(super) fn within_quota(&mut self, request: &Request) -> bool {
        self.enter_customer(&request.customer, request.plan, request.spread);
        if self.settings.plans[request.plan].rate <= 0.0 {
            return true;
        }
        let draw = self.rng.f64();
        self.observe_asked(&request.customer, request.units);
        let (plan, mean_units) = (&self.settings.plans[request.plan], self.mean_units);
        let customer = &self.customers[&request.customer];
        // Beyond the paper: where the even part of a bucket is next to nothing, what it holds is not known
        // of a customer of whom the meter has read nothing; it asks for what such customers of its plan
        // asked for. Guards the fleet's quota where many gateways see each customer seldom; harms customers
        // within theirs until the meter reads them.
        let thin = customer.even_requests(plan, mean_units) < THIN_BUCKET;
        let covered = customer.quota_level >= request.units;
        let unknown = thin && customer.metered_at == 0 && covered;
        let demand = if unknown {
            self.unmetered[request.plan].demand_share() * plan.rate
        } else {
            customer.demand(plan, mean_units)
        };
        let reject_chance = self.reject_chance(request, customer, demand, thin);
        let passed = covered && !unknown || draw >= reject_chance;
        if unknown {
            self.unmetered[request.plan].observe_pass_chance(1.0 - reject_chance);
        }
        if passed {
            self.observe_passed(&request.customer, request.units);
        }
        self.charge_peer(Charge::Asked {
            customer: request.customer.clone(),
            plan: request.plan,
            spread: request.spread,
            units: request.units,
            passed,
        });
        passed
    }

    /// The chance by which a request is rejected: the design's 1 - rate / asked, met once for each
    /// request's worth of units that the bucket is short of. In a thin bucket it is met once for what
    /// passes and once for what that costs beyond the quota.
    fn reject_chance(&self, request: &Request, customer: &Customer, demand: f64, thin: bool) -> f64 {
        let (plan, mean_units) = (&self.settings.plans[request.plan], self.mean_units);
        let own_weight = customer.own_weight(plan, mean_units);
        let short = ((request.units - customer.quota_level) / mean_units.max(1e-9)).max(0.0) * own_weight;
        let unseen = (1.0 - own_weight) * (1.0 + if thin { plan.over_cost } else { 0.0 });
        let rate = sustained_rate(plan, mean_units, self.attempt_seconds);
        1.0 - (rate / demand.max(1e-9)).min(1.0).powf(short + unseen)
    }

    /// In how many seconds the bucket will hold the units of a request and one more request, if nothing
    /// else takes them.
    pub(super) fn seconds_to_quota(&self, request: &Request) -> f64 {
        let rate = self.settings.plans[request.plan].rate;
        let customer = self.customers.get(&request.customer);
        let short = customer.map_or(0.0, |customer| request.units - customer.quota_level);
        (short.max(0.0) + self.mean_units) / rate.max(1e-9)
    }

    /// Brings a customer's buckets and averages up to now; new ones if it is not known.
    pub(super) fn enter_customer(&mut self, name: &Name, plan_index: usize, spread: u32) {
        let (now, plan) = (self.now, &self.settings.plans[plan_index]);
        // An instance cannot tell a restart from a first start, and a restart must not refill the ceiling:
        // its bucket was empty when this gateway began, and nothing went out here since.
        let ceiling_level =
            (secs(now - self.started) * plan.ceiling_rate).min(plan.ceiling_burst) / f64::from(spread.max(1));
        let unknown = || Customer::new(plan_index, plan.depth, ceiling_level, now);
        let customer = self.customers.entry(name.clone()).or_insert_with(unknown);
        customer.last_seen = now;
        customer.plan = plan_index;
        customer.spread = customer.spread.max(f64::from(spread));
        self.advance_customer(name);
    }

    /// Enters units that a customer asked for at this gateway.
    pub(super) fn observe_asked(&mut self, name: &Name, units: f64) {
        let Some(customer) = self.customers.get_mut(name) else { return };
        let plan = &self.settings.plans[customer.plan];
        customer.observe_asked(plan, secs(self.settings.meter_period), units);
    }

    /// Enters units that were let pass at this gateway.
    pub(super) fn observe_passed(&mut self, name: &Name, units: f64) {
        let Some(customer) = self.customers.get_mut(name) else { return };
        let plan = &self.settings.plans[customer.plan];
        customer.observe_passed(plan, secs(self.settings.meter_period), self.mean_units, units);
    }

    /// Takes what the end of an attempt tells of its customer: the true units of the request, and the meter's
    /// reading.
    pub(super) fn settle_quota(&mut self, name: &Name, guessed_units: f64, end: &AttemptEnd) {
        let clock = self.quota_clock();
        let Some(customer) = self.customers.get_mut(name) else { return };
        let plan = &self.settings.plans[customer.plan];
        customer.advance(plan, &clock);
        customer.in_flight = customer.in_flight.saturating_sub(1);
        let mut back = 0.0;
        if self.settings.answers_tell_units && end.ending == Ending::Pass && end.actual_units > 0.0 {
            back = (guessed_units - end.actual_units) * customer.units_per_own_unit(plan, clock.mean_units);
            customer.refund(back, plan);
        }
        if let Some(used_share) = end.metered_share.filter(|_| plan.rate > 0.0) {
            self.last_reading_at = clock.now;
            if customer.metered_at == 0 {
                self.unmetered[customer.plan].observe_reading(used_share);
            }
            customer.take_reading(used_share, plan, &clock);
        }
        self.charge_peer(Charge::Ended { customer: name.clone(), back });
    }

    /// Beyond the paper: a plan's cap on attempts in flight and its ceiling, kept by this gateway alone, by
    /// even shares of the gateways that the customer's requests come through.
    pub(super) fn within_plan_limits(&mut self, id: RequestId) -> bool {
        let request = &self.pending[&id];
        let (name, units, first) = (request.customer.clone(), request.units, request.attempts == 0);
        self.advance_customer(&name);
        let Some(customer) = self.customers.get(&name) else { return true };
        let plan = &self.settings.plans[customer.plan];
        let cap = (f64::from(plan.parallel) / customer.spread).floor().max(1.0);
        let at_cap = plan.parallel > 0 && f64::from(customer.gateway_in_flight()) >= cap;
        let over_ceiling = plan.ceiling_rate > 0.0 && first && customer.ceiling_level < units;
        !at_cap && !over_ceiling
    }

    /// Forgets customers that have been quiet for so long that their buckets are full again.
    pub(super) fn forget_quiet_customers(&mut self) {
        let (now, settings) = (self.now, &self.settings);
        if now - self.customers_swept_at < nanos(SWEEP_SECONDS).max(settings.meter_period) {
            return;
        }
        self.customers_swept_at = now;
        self.customers.retain(|_, customer| {
            let plan = &settings.plans[customer.plan];
            let memory = memory_seconds(secs(settings.meter_period), plan);
            let filled = plan.depth / plan.rate.max(LEAST_SWEEP_RATE);
            let quiet = READING_MEMORY * memory + filled;
            customer.gateway_in_flight() > 0 || secs(now - customer.last_seen) < quiet
        });
    }
}
