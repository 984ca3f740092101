//! Quotas: the token bucket of each customer (the design's store), the probability of admission once the
//! bucket is empty, and the meter's readings. The caps and ceilings of plans, which are not in the paper, are
//! here too.

use crate::decide::customer_estimates::{memory_seconds, READING_MEMORY_MULTIPLE};
use crate::decide::gateway::Gateway;
use crate::interface::{AttemptEnd, Charge, Ending, Name, Plan, Request, RequestId, Time};
use crate::state::{nanos, secs, Customer};

/// If this gateway's equal share of a full bucket holds fewer requests than this, its own requests tell it
/// nothing about the level of the bucket.
const SMALL_SHARE_REQUESTS: f64 = 0.5;
/// The meter counts as silent after this many periods without a reading of any customer.
const METER_SILENT_PERIODS: f64 = 4.0;
/// The highest mean utilization of a cap on attempts in flight when requests arrive at random.
const MEAN_CAP_UTILIZATION: f64 = 0.3;
/// Minimum interval between two removals of idle customers, in seconds.
const SWEEP_INTERVAL_SECONDS: f64 = 1.0;
/// Lower bound of the refill rate, in units per second, from which the refill time of an idle customer's
/// bucket is computed.
const MIN_REFILL_RATE: f64 = 0.01;

/// The values at one point in time that the estimates of all customers depend on.
struct QuotaContext {
    now: Time,
    /// Period of the meter, in seconds.
    meter_period: f64,
    mean_units: f64,
    /// EWMA of the time that an attempt is in flight, in seconds.
    mean_attempt_seconds: f64,
    /// Whether the meter reports no readings for any customer.
    meter_silent: bool,
}

/// The rate that a plan's limits admit in the long run. Not in the paper: a cap on attempts in flight limits
/// the rate too, to the cap divided by the time that an attempt is in flight, times the utilization that
/// random arrivals reach.
fn sustained_rate(plan: &Plan, mean_units: f64, mean_attempt_seconds: f64) -> f64 {
    match plan.parallel {
        0 => plan.rate,
        cap => {
            plan.rate.min(MEAN_CAP_UTILIZATION * f64::from(cap) * mean_units / mean_attempt_seconds.max(1e-9))
        }
    }
}

impl Customer {
    /// Refills the buckets and decays the averages up to now.
    fn advance(&mut self, plan: &Plan, context: &QuotaContext) {
        let seconds = secs(context.now - self.updated_at);
        if seconds <= 0.0 {
            return;
        }
        self.updated_at = context.now;
        let ceiling_refill = seconds * plan.ceiling_rate / self.spread;
        self.ceiling_level = (self.ceiling_level + ceiling_refill).min(plan.ceiling_burst / self.spread);
        if plan.rate <= 0.0 {
            return;
        }
        let rate = sustained_rate(plan, context.mean_units, context.mean_attempt_seconds);
        let demand = self.metered_demand(plan, context.mean_units);
        self.refill_quota(plan, context, seconds, rate - demand);
        let memory = memory_seconds(context.meter_period, plan);
        self.decay_demand(seconds, memory);
        let kept = (-seconds / memory).exp();
        let admitted_share = (rate / demand.max(1e-9)).min(1.0);
        self.delayed_admitted_share += (admitted_share - self.delayed_admitted_share) * (1.0 - kept);
        let reading_is_old = secs(context.now - self.metered_at) > READING_MEMORY_MULTIPLE * memory;
        self.decay_rates(kept, context.meter_silent, reading_is_old);
        self.quota_level = self.quota_level.max(-plan.depth);
    }

    /// Refills the quota's bucket at the plan's rate and drains it by what other gateways admit. `surplus` is
    /// the part of the rate that the metered demand leaves unused.
    fn refill_quota(&mut self, plan: &Plan, context: &QuotaContext, seconds: f64, surplus: f64) {
        // If the meter shows that part of the rate is unused, the customer's real bucket has kept that part.
        // This gateway's debt is only an estimate, so it is reduced at the same rate. Otherwise a wrong
        // estimate of this gateway's share would reject requests for a long time although the quota has units
        // for them.
        let in_debt = self.quota_level < 0.0 && self.metered_at > 0 && !context.meter_silent;
        let unused = if in_debt { plan.rate - self.long_metered_rate } else { 0.0 };
        let own_weight = self.own_weight(plan, context.mean_units);
        let filled = self.quota_level + seconds * own_weight * (plan.rate + unused.max(0.0));
        self.quota_level = filled.min(plan.depth);
        // Admissions at other gateways drain the bucket too, except for the part that this gateway's own
        // requests already account for. Otherwise the bucket would refill here while the customer uses other
        // gateways, and would then admit its burst once more.
        let elsewhere = self.admitted_elsewhere(plan, context.mean_units);
        let change = (1.0 - own_weight) * surplus - own_weight * elsewhere.max(0.0);
        let drained = self.quota_level + seconds * change;
        self.quota_level = drained.clamp(self.quota_level.min(0.0), plan.depth);
    }

    /// Applies a reading of the meter: the customer's use as a share of the plan's rate.
    fn apply_reading(&mut self, used_share: f64, plan: &Plan, context: &QuotaContext) {
        let seconds = context.meter_period.min(secs(context.now - self.metered_at));
        self.observe_reading(seconds, used_share, plan);
        if self.metered_at == 0 {
            let excess = self.metered_demand(plan, context.mean_units) - plan.rate;
            let elsewhere = 1.0 - self.own_weight(plan, context.mean_units);
            self.quota_level -= elsewhere * excess.max(0.0) * memory_seconds(context.meter_period, plan);
        }
        self.metered_rate = used_share * plan.rate;
        self.metered_at = context.now;
    }

    /// Returns units to the quota's bucket.
    pub(super) fn refund(&mut self, units: f64, plan: &Plan) {
        self.quota_level = (self.quota_level + units).min(plan.depth);
    }
}

impl Gateway {
    fn quota_context(&self) -> QuotaContext {
        let meter_period = secs(self.settings.meter_period);
        // While the meter is silent, its last reading of each customer stays in effect. If the silence
        // counted as lower use, every gateway would admit its share once more until the averages have
        // recovered.
        let meter_silent = self.last_reading_at > 0
            && secs(self.now - self.last_reading_at) > METER_SILENT_PERIODS * meter_period;
        QuotaContext {
            now: self.now,
            meter_period,
            mean_units: self.mean_units,
            mean_attempt_seconds: self.mean_attempt_seconds,
            meter_silent,
        }
    }

    /// Refills a customer's buckets and decays its averages up to now.
    pub(super) fn advance_customer(&mut self, name: &Name) {
        let context = self.quota_context();
        let Some(customer) = self.customers.get_mut(name) else { return };
        customer.advance(&self.settings.plans[customer.plan], &context);
    }

    /// Whether the customer's quota admits a request: always while its bucket holds the units, otherwise with
    /// a probability.
    pub(super) fn within_quota(&mut self, request: &Request) -> bool {
        self.ensure_customer(&request.customer, request.plan, request.spread);
        if self.settings.plans[request.plan].rate <= 0.0 {
            return true;
        }
        let draw = self.rng.f64();
        self.observe_requested(&request.customer, request.units);
        let (plan, mean_units) = (&self.settings.plans[request.plan], self.mean_units);
        let customer = &self.customers[&request.customer];
        // Not in the paper: where this gateway's share of the bucket is below half a request, the level of
        // the bucket is unknown for a customer that the meter has not read. Such a customer is assumed to
        // have the mean demand of such customers of its plan. Protects the fleet's quota where many gateways
        // see each customer seldom. Cost: rejects customers within their quota until the meter reads them.
        let small_share = customer.requests_per_gateway(plan, mean_units) < SMALL_SHARE_REQUESTS;
        let covered = customer.quota_level >= request.units;
        let unmetered = small_share && customer.metered_at == 0 && covered;
        let demand = if unmetered {
            self.unmetered[request.plan].demand_share() * plan.rate
        } else {
            customer.demand(plan, mean_units)
        };
        let rejection_probability = self.rejection_probability(request, customer, demand, small_share);
        let admitted = covered && !unmetered || draw >= rejection_probability;
        if unmetered {
            self.unmetered[request.plan].observe_admission_probability(1.0 - rejection_probability);
        }
        if admitted {
            self.observe_admitted(&request.customer, request.units);
        }
        self.record_charge_for_peer(Charge::Asked {
            customer: request.customer.clone(),
            plan: request.plan,
            spread: request.spread,
            units: request.units,
            passed: admitted,
        });
        admitted
    }

    /// The probability of rejecting a request. The design's admission probability, rate / demand, is raised
    /// to the number of requests for which it has to be applied: each request's worth of units that the
    /// bucket lacks, weighted by what own traffic tells of the bucket, and one request with the remaining
    /// weight. Where this gateway's share of the bucket is small, the cost of a request beyond the quota is
    /// added to that one.
    fn rejection_probability(
        &self,
        request: &Request,
        customer: &Customer,
        demand: f64,
        small_share: bool,
    ) -> f64 {
        let (plan, mean_units) = (&self.settings.plans[request.plan], self.mean_units);
        let own_weight = customer.own_weight(plan, mean_units);
        let missing_requests =
            ((request.units - customer.quota_level) / mean_units.max(1e-9)).max(0.0) * own_weight;
        let unseen_requests = (1.0 - own_weight) * (1.0 + if small_share { plan.over_cost } else { 0.0 });
        let rate = sustained_rate(plan, mean_units, self.mean_attempt_seconds);
        1.0 - (rate / demand.max(1e-9)).min(1.0).powf(missing_requests + unseen_requests)
    }

    /// Seconds until the bucket holds the units of this request and of one mean request, if nothing else is
    /// charged to it.
    pub(super) fn seconds_to_quota(&self, request: &Request) -> f64 {
        let rate = self.settings.plans[request.plan].rate;
        let customer = self.customers.get(&request.customer);
        let missing_units = customer.map_or(0.0, |customer| request.units - customer.quota_level);
        (missing_units.max(0.0) + self.mean_units) / rate.max(1e-9)
    }

    /// Creates the customer if it is unknown, and advances its buckets and averages up to now.
    pub(super) fn ensure_customer(&mut self, name: &Name, plan_index: usize, spread: u32) {
        let (now, plan) = (self.now, &self.settings.plans[plan_index]);
        // A process cannot tell a restart from a first start, and a restart must not refill the ceiling. The
        // bucket is therefore taken as empty when this gateway started, and as refilled since, because this
        // gateway has sent nothing for the customer.
        let ceiling_level =
            (secs(now - self.started) * plan.ceiling_rate).min(plan.ceiling_burst) / f64::from(spread.max(1));
        let unknown = || Customer::new(plan_index, plan.depth, ceiling_level, now);
        let customer = self.customers.entry(name.clone()).or_insert_with(unknown);
        customer.last_seen = now;
        customer.plan = plan_index;
        customer.spread = customer.spread.max(f64::from(spread));
        self.advance_customer(name);
    }

    /// Records units that a customer requested at this gateway.
    pub(super) fn observe_requested(&mut self, name: &Name, units: f64) {
        let Some(customer) = self.customers.get_mut(name) else { return };
        let plan = &self.settings.plans[customer.plan];
        customer.observe_requested(plan, secs(self.settings.meter_period), units);
    }

    /// Records units that this gateway admitted.
    pub(super) fn observe_admitted(&mut self, name: &Name, units: f64) {
        let Some(customer) = self.customers.get_mut(name) else { return };
        let plan = &self.settings.plans[customer.plan];
        customer.observe_admitted(plan, secs(self.settings.meter_period), self.mean_units, units);
    }

    /// Applies what the end of an attempt reveals about its customer: the actual units of the request, and
    /// the meter's reading.
    pub(super) fn settle_quota(&mut self, name: &Name, estimated_units: f64, end: &AttemptEnd) {
        let context = self.quota_context();
        let Some(customer) = self.customers.get_mut(name) else { return };
        let plan = &self.settings.plans[customer.plan];
        customer.advance(plan, &context);
        customer.in_flight = customer.in_flight.saturating_sub(1);
        let mut back = 0.0;
        if self.settings.answers_tell_units && end.ending == Ending::Pass && end.actual_units > 0.0 {
            back =
                (estimated_units - end.actual_units) * customer.units_per_own_unit(plan, context.mean_units);
            customer.refund(back, plan);
        }
        if let Some(used_share) = end.metered_share.filter(|_| plan.rate > 0.0) {
            self.last_reading_at = context.now;
            if customer.metered_at == 0 {
                self.unmetered[customer.plan].observe_reading(used_share);
            }
            customer.apply_reading(used_share, plan, &context);
        }
        self.record_charge_for_peer(Charge::Ended { customer: name.clone(), back });
    }

    /// Not in the paper: checks a plan's cap on attempts in flight and its ceiling. Each gateway enforces
    /// them alone, on an equal share among the gateways through which the customer's requests may arrive.
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

    /// Removes customers that have been idle for so long that their buckets are full again.
    pub(super) fn remove_idle_customers(&mut self) {
        let (now, settings) = (self.now, &self.settings);
        if now - self.customers_swept_at < nanos(SWEEP_INTERVAL_SECONDS).max(settings.meter_period) {
            return;
        }
        self.customers_swept_at = now;
        self.customers.retain(|_, customer| {
            let plan = &settings.plans[customer.plan];
            let memory = memory_seconds(secs(settings.meter_period), plan);
            let refill_seconds = plan.depth / plan.rate.max(MIN_REFILL_RATE);
            let idle_seconds = READING_MEMORY_MULTIPLE * memory + refill_seconds;
            customer.gateway_in_flight() > 0 || secs(now - customer.last_seen) < idle_seconds
        });
    }
}
