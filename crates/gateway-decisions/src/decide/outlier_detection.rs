//! Outlier detection: the expected rate of bad outcomes at a server. Not in the paper.
//!
//! A gateway sends few attempts to one server, so a few observations have an immediate effect, and the
//! fleet's mean replaces missing ones. Protects against servers that fail, hang or are full for one class,
//! one plan or all of them, without affecting the other classes and plans. Cost: a server with a few random
//! failures is avoided for a while.

use crate::decide::averages::GAIN;
use crate::decide::gateway::Gateway;
use crate::decide::observed_end::ObservedEnd;
use crate::interface::{Ending, Health, Time};
use crate::state::{secs, DecayedRate, Server};

/// How long outcomes are remembered, in multiples of the longest latency target, because faults last for many
/// of these.
const MEMORY_LATENCY_TARGETS: f64 = 10.0;
/// Weight of the fleet's rate in the rate of one server, in observations.
const FLEET_WEIGHT: f64 = 0.5;
/// A server is ejected if its rate of bad outcomes in a class exceeds the fleet's by more than this. It then
/// gets only requests that find no other server.
const EJECTION_MARGIN: f64 = 0.4;

/// What a rate of bad outcomes is counted over.
#[derive(Clone, Copy)]
pub(super) enum OutcomeOf {
    /// Requests of a class. Bad: the attempt failed.
    Class(usize),
    /// Requests of a plan. Bad: the server rejected the attempt as full.
    Plan(usize),
}

impl OutcomeOf {
    /// Index of this rate in a server's outcomes, for a number of classes.
    fn index(self, classes: usize) -> usize {
        match self {
            OutcomeOf::Class(class) => class,
            OutcomeOf::Plan(plan) => classes + plan,
        }
    }
}

impl DecayedRate {
    /// The rate after its observations have decayed to the share `kept`.
    fn decayed(self, kept: f64) -> Self {
        DecayedRate { observations: kept * self.observations, bad: kept * self.bad }
    }

    /// Adds an observation. Earlier observations lose weight.
    fn observe(&mut self, bad: bool) {
        self.observations = self.observations * (1.0 - GAIN) + 1.0;
        self.bad = self.bad * (1.0 - GAIN) + f64::from(bad);
    }
}

impl Server {
    /// The share to which the outcomes have decayed by `now`.
    fn kept_share(&self, now: Time, memory_seconds: f64) -> f64 {
        (-secs(now - self.outcomes_at) / memory_seconds).exp()
    }

    /// Records the outcome of an attempt, after the earlier outcomes have decayed up to now.
    pub(super) fn observe_outcome(&mut self, end: &ObservedEnd, memory_seconds: f64, classes: usize) {
        let kept = self.kept_share(end.now, memory_seconds);
        self.outcomes_at = end.now;
        self.outcomes.iter_mut().for_each(|rate| *rate = rate.decayed(kept));
        let failed = end.unanswered || matches!(end.ending, Ending::Fault | Ending::Cut | Ending::NoRoute);
        for (of, bad) in [(OutcomeOf::Class(end.class), failed), (OutcomeOf::Plan(end.plan), end.full)] {
            if bad || failed || end.succeeded {
                self.outcomes[of.index(classes)].observe(bad);
            }
        }
    }
}

impl Gateway {
    /// Number of outcome rates per server.
    pub(super) fn outcome_count(&self) -> usize {
        self.settings.classes.len() + self.settings.plans.len()
    }

    /// How long outcomes are remembered, in seconds.
    pub(super) fn memory_seconds(&self) -> f64 {
        MEMORY_LATENCY_TARGETS
            * self.settings.classes.iter().map(|class| secs(class.latency_target)).fold(0.0, f64::max)
    }

    /// A server's outcome rate, decayed up to now.
    fn outcomes_by_now(&self, server: &Server, of: OutcomeOf) -> DecayedRate {
        let kept = server.kept_share(self.now, self.memory_seconds());
        server.outcomes[of.index(self.settings.classes.len())].decayed(kept)
    }

    /// The expected rate of bad outcomes at a server, from its recent outcomes and the fleet's mean.
    pub(super) fn bad_rate(&self, server: &Server, of: OutcomeOf, fleet_rate: f64) -> f64 {
        let recent = self.outcomes_by_now(server, of);
        (recent.bad + FLEET_WEIGHT * fleet_rate) / (recent.observations + FLEET_WEIGHT)
    }

    /// The mean rate of bad outcomes over the fleet, weighting each server by how much is known of it.
    pub(super) fn fleet_bad_rate(&self, of: OutcomeOf) -> f64 {
        let mut fleet = DecayedRate::default();
        for server in self.servers.values() {
            let recent = self.outcomes_by_now(server, of);
            fleet.observations += recent.observations / (recent.observations + 1.0);
            fleet.bad += recent.bad / (recent.observations + 1.0);
        }
        fleet.bad / (fleet.observations + 1.0)
    }

    /// Number of listed servers that are avoided: disabled by operators, or ejected because most of their
    /// attempts end badly.
    pub fn ejected(&self) -> usize {
        let classes = 0..self.settings.classes.len();
        let fleet_rates: Vec<f64> =
            classes.map(|class| self.fleet_bad_rate(OutcomeOf::Class(class))).collect();
        let is_outlier = |server: &Server| {
            fleet_rates.iter().enumerate().any(|(class, fleet_rate)| {
                let rate = self.bad_rate(server, OutcomeOf::Class(class), *fleet_rate);
                rate - fleet_rate > EJECTION_MARGIN
            })
        };
        let listed = self.servers.iter().filter(|(_, server)| server.health != Health::Removed);
        let avoided = listed.filter(|(name, server)| {
            self.disabled.contains(*name) || server.health == Health::Up && is_outlier(server)
        });
        avoided.count()
    }
}
