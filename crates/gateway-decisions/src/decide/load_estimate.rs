//! Load estimation: the expected wait of an attempt at a server. Not in the paper.

use crate::decide::averages::{FLEET_DAMPING, GAIN};
use crate::decide::gateway::Gateway;
use crate::decide::observed_end::ObservedEnd;
use crate::interface::{AttemptEnd, Class, Name, Time};
use crate::state::{secs, Server};

/// Amount that each attempt adds to the handshake budget: new connections as a share of attempts.
const HANDSHAKE_SHARE: f64 = 0.1;
/// Maximum of the handshake budget, in connections.
const MAX_HANDSHAKE_BUDGET: f64 = 2.0;
/// Cost of opening a connection beyond the handshake budget, in requests in flight at the server.
const HANDSHAKE_COST_REQUESTS: f64 = 1.0;
/// A server with attempts in flight counts as hung after this many mean answer times without an answer, and
/// increasingly so with time.
const HANG_AFTER_ANSWER_TIMES: f64 = 3.0;
/// Upper bound of the slowness of one answer, in mean answer times of its class.
const MAX_SLOWNESS: f64 = 10.0;
/// Time constant with which the learned slowness of an unused server decays, in mean answer times.
const SLOWNESS_DECAY_ANSWER_TIMES: f64 = 16.0;

/// The time since a server's last answer, in mean answer times of a class.
fn silence_in_answer_times(now: Time, server: &Server, mean_answer_seconds: f64) -> f64 {
    secs(now - server.last_heard.min(now)) / mean_answer_seconds.max(1e-9)
}

impl Server {
    /// Learns from an answer or a timeout how slow the server is relative to the mean.
    pub(super) fn learn_slowness(&mut self, end: &ObservedEnd) {
        if end.succeeded || end.timed_out {
            let slowness = (end.seconds / end.mean_answer_seconds).min(MAX_SLOWNESS);
            self.slowness += (slowness - self.slowness) * GAIN;
        }
    }
}

impl Gateway {
    /// The expected wait at a server for a request of a class, in mean answer times of that class.
    pub(super) fn expected_wait(&self, server: &Server, class: usize, warm_up_share: f64) -> f64 {
        let silence = silence_in_answer_times(self.now, server, self.mean_answer_seconds[class]);
        let hang_factor =
            if server.in_flight > 0 { (silence / HANG_AFTER_ANSWER_TIMES).max(1.0) } else { 1.0 };
        let zone_cost =
            if server.zone == self.settings.zone { 1.0 } else { 1.0 + self.settings.cross_zone_price };
        let others = self.load_of_others(server, &self.settings.classes[class]);
        let connection_cost = self.connection_cost(server, warm_up_share);
        let load = server.gateway_in_flight() + others + 1.0 + connection_cost;
        // The learned slowness decays while the server is unused. Otherwise a server once found slow would
        // never be used again.
        let idle_times = if server.in_flight > 0 { 0.0 } else { silence / SLOWNESS_DECAY_ANSWER_TIMES };
        let slowness = 1.0 + (server.slowness - 1.0) * (-idle_times).exp();
        load * slowness * hang_factor * zone_cost / server.rating.max(1e-9)
    }

    /// The requests of other gateways at a server. An old report decays to the fleet's mean, never to zero.
    fn load_of_others(&self, server: &Server, class: &Class) -> f64 {
        let age = secs(self.now.saturating_sub(server.reported_at));
        let fresh = (-age / secs(class.latency_target).max(1e-9)).exp();
        self.mean_reported_load + (server.reported_load - self.mean_reported_load) * fresh
    }

    /// The cost of opening a connection, in requests in flight at the server. Not in the paper: new
    /// connections are limited to a share of the attempts; beyond it, a server with an open connection is
    /// preferred over a nearly equal one without. Protects servers against handshakes from all gateways at
    /// once, as after a simultaneous start. Cost: fewer servers to choose from at first.
    fn connection_cost(&self, server: &Server, warm_up_share: f64) -> f64 {
        let is_charged = warm_up_share >= 1.0 && self.handshake_budget < 1.0 && self.needs_connection(server);
        if is_charged {
            HANDSHAKE_COST_REQUESTS
        } else {
            0.0
        }
    }

    /// Whether an attempt at a server would probably have to open a connection.
    fn needs_connection(&self, server: &Server) -> bool {
        let idle_time = self.settings.connection_idle_time;
        idle_time > 0
            && (server.in_flight >= server.open_connections
                || self.now.saturating_sub(server.last_heard) >= idle_time)
    }

    /// Updates the handshake budget for an attempt at a server, before the attempt is counted there.
    pub(super) fn charge_handshake(&mut self, server: &Name) {
        let opened = if self.needs_connection(&self.servers[server]) { 1.0 } else { 0.0 };
        self.handshake_budget =
            (self.handshake_budget + HANDSHAKE_SHARE - opened).clamp(0.0, MAX_HANDSHAKE_BUDGET);
    }

    /// Records the load that a server reports with the end of an attempt.
    pub(super) fn learn_reported_load(&mut self, end: &AttemptEnd) {
        let Some(load) = end.load else { return };
        let Some(server) = self.servers.get_mut(&end.server) else { return };
        let others = load.inflight.map(|requests| requests - server.gateway_in_flight()).or(load.queue);
        server.reported_load = others.unwrap_or(0.0).max(0.0);
        server.reported_at = self.now;
        self.mean_reported_load += (server.reported_load - self.mean_reported_load) * GAIN / FLEET_DAMPING;
    }
}
