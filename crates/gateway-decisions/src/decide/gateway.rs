//! The state of a gateway, and its constructor. The modules beside this one hold the decisions, one each.

use crate::decide::load_shedding::LoadShedding;
use crate::decide::retry_budget::RetryBudget;
use crate::interface::{Name, RequestId, Settings, Share, Time};
use crate::settings;
use crate::state::{secs, Customer, PendingRequest, Servers, UnmeteredDemand};
use fastrand::Rng;
use mqos::DeficitRoundRobin;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of resources in the design: attempts in flight and units in flight.
pub(super) const RESOURCES: usize = 2;
/// Index of the resource of attempts in flight.
pub(super) const ATTEMPTS: usize = 0;
/// Index of the resource of units in flight.
pub(super) const UNITS: usize = 1;

/// Token of the timer that runs the main scheduler again.
pub(super) const TIMER_SCHEDULER: u64 = 0;
/// Token of the timer that asks discovery again.
pub(super) const TIMER_DISCOVERY: u64 = 1;
/// Tokens above this one belong to timers of requests.
const LAST_RESERVED_TIMER: u64 = 2;

/// Before the first answer, the mean answer time of a class is assumed to be its latency target divided by
/// this.
const TARGET_PER_MEAN_ANSWER_TIME: f64 = 4.0;

/// The sub-scheduler of one resource (mQoS, 3.3): a queue for each plan, and the amount of the resource in
/// flight.
pub(super) struct SubScheduler {
    pub(super) queues: Vec<VecDeque<RequestId>>,
    pub(super) in_flight: f64,
}

impl SubScheduler {
    fn new(plans: usize) -> Self {
        SubScheduler { queues: vec![VecDeque::new(); plans], in_flight: 0.0 }
    }

    /// Whether all its queues are empty.
    pub(super) fn is_idle(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }
}

/// One gateway: its settings, its state and its decisions.
pub struct Gateway {
    pub(super) settings: Settings,
    pub(super) rng: Rng,
    pub(super) started: Time,
    pub(super) now: Time,
    pub(super) servers: Servers,
    /// Servers that operators have disabled. Kept apart from the server list, so that a list update does not
    /// enable them.
    pub(super) disabled: BTreeSet<Name>,
    /// When operators enabled servers again. Such a server counts as restarted at that time, whatever the
    /// list reports.
    pub(super) enabled_at: BTreeMap<Name, Time>,
    pub(super) pending: BTreeMap<RequestId, PendingRequest>,
    pub(super) customers: BTreeMap<Name, Customer>,
    pub(super) sub_schedulers: [SubScheduler; RESOURCES],
    /// Deficit counters and round-robin pointers of the sub-schedulers.
    pub(super) deficits: DeficitRoundRobin<RESOURCES>,
    pub(super) timers: BTreeMap<u64, RequestId>,
    pub(super) next_timer: u64,
    /// Whether the timer that runs the main scheduler again is set.
    pub(super) scheduler_timer_set: bool,
    /// When idle customers were last removed.
    pub(super) customers_swept_at: Time,
    /// EWMA of the units of a request.
    pub(super) mean_units: f64,
    /// Demand of customers that the meter has not read yet, by plan.
    pub(super) unmetered: Vec<UnmeteredDemand>,
    /// EWMA of the elapsed time of successful answers, by class, in seconds.
    pub(super) mean_answer_seconds: Vec<f64>,
    pub(super) retry_budget: RetryBudget,
    /// Number of connections that may be opened although an open connection to another server would do as
    /// well.
    pub(super) handshake_budget: f64,
    pub(super) shedding: LoadShedding,
    /// Number of gateways that use each server.
    pub(super) gateways_per_server: f64,
    /// EWMA of the time that an attempt is in flight, in seconds.
    pub(super) mean_attempt_seconds: f64,
    /// EWMA of the load that servers report.
    pub(super) mean_reported_load: f64,
    /// EWMA of the seconds that a unit takes on a warm server with little load; 0 before the first such
    /// answer.
    pub(super) unloaded_seconds_per_unit: f64,
    /// Whether the connection limits may have changed since they were last announced.
    pub(super) connection_limits_changed: bool,
    /// The limit on connections over all servers last announced to the caller; 0 before the first.
    pub(super) announced_connections: u32,
    /// When the meter last reported a reading, for any customer.
    pub(super) last_reading_at: Time,
    /// Changes to send to the other process of this gateway; `None` while there is no other process.
    pub(super) peer_share: Option<Share>,
    /// Attempts and units that the other process has in flight.
    pub(super) peer_in_flight: [f64; RESOURCES],
}

impl Gateway {
    /// A gateway that knows only its settings. `seed` seeds its random number generator.
    ///
    /// # Errors
    ///
    /// A setting is out of range. The message names it.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, String> {
        settings::check(&settings)?;
        let mut rng = Rng::with_seed(seed);
        let plans = settings.plans.len();
        Ok(Gateway {
            started: now,
            now,
            servers: Servers::new(),
            disabled: BTreeSet::new(),
            enabled_at: BTreeMap::new(),
            pending: BTreeMap::new(),
            customers: BTreeMap::new(),
            sub_schedulers: [SubScheduler::new(plans), SubScheduler::new(plans)],
            deficits: DeficitRoundRobin::new(plans),
            timers: BTreeMap::new(),
            next_timer: LAST_RESERVED_TIMER,
            scheduler_timer_set: false,
            customers_swept_at: now,
            mean_units: 1.0,
            unmetered: vec![UnmeteredDemand::default(); plans],
            mean_answer_seconds: settings
                .classes
                .iter()
                .map(|c| secs(c.latency_target) / TARGET_PER_MEAN_ANSWER_TIME)
                .collect(),
            retry_budget: RetryBudget::new(rng.f64(), now),
            handshake_budget: 0.0,
            shedding: LoadShedding::new(now),
            gateways_per_server: f64::from(settings.gateways),
            mean_attempt_seconds: 0.0,
            mean_reported_load: 0.0,
            unloaded_seconds_per_unit: 0.0,
            connection_limits_changed: true,
            announced_connections: 0,
            last_reading_at: 0,
            peer_share: None,
            peer_in_flight: [0.0; RESOURCES],
            rng,
            settings,
        })
    }
}
