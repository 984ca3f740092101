//! Saves the state of a gateway for its successor process, and restores it.

use crate::decide::gateway::Gateway;
use crate::state::Snapshot;

impl Gateway {
    /// Returns the state that a successor process needs.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            started: self.started,
            servers: self.servers.clone(),
            disabled: self.disabled.clone(),
            enabled_at: self.enabled_at.clone(),
            customers: self.customers.clone(),
            mean_units: self.mean_units,
            mean_answer_seconds: self.mean_answer_seconds.clone(),
            open_share: self.shedding.open_share,
            mean_attempt_seconds: self.mean_attempt_seconds,
            mean_reported_load: self.mean_reported_load,
            unloaded_seconds_per_unit: self.unloaded_seconds_per_unit,
        }
    }

    /// Continues from the state of a predecessor. What this process already has in flight is kept. Entries
    /// that do not match this process's classes or plans are ignored.
    pub(super) fn restore(&mut self, snapshot: Snapshot) {
        if snapshot.mean_answer_seconds.len() == self.mean_answer_seconds.len() {
            self.mean_answer_seconds = snapshot.mean_answer_seconds;
        }
        self.started = snapshot.started.min(self.started);
        self.mean_units = snapshot.mean_units;
        self.shedding.open_share = snapshot.open_share;
        self.mean_attempt_seconds = snapshot.mean_attempt_seconds;
        self.mean_reported_load = snapshot.mean_reported_load;
        self.unloaded_seconds_per_unit = snapshot.unloaded_seconds_per_unit;
        self.disabled = snapshot.disabled;
        self.enabled_at = snapshot.enabled_at;
        let outcomes = self.outcome_count();
        for (name, mut server) in snapshot.servers {
            if server.outcomes.len() != outcomes {
                continue;
            }
            if let Some(known) = self.servers.get(&name) {
                server.in_flight = known.in_flight;
                server.health = known.health;
            }
            self.servers.insert(name, server);
        }
        for (name, mut customer) in snapshot.customers {
            if customer.plan >= self.settings.plans.len() {
                continue;
            }
            customer.in_flight = self.customers.get(&name).map_or(0, |known| known.in_flight);
            self.last_reading_at = self.last_reading_at.max(customer.metered_at);
            self.customers.insert(name, customer);
        }
        self.select_subset();
    }
}
