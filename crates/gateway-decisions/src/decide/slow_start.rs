//! Slow start: the share of its capacity that a server has while it warms up. Not in the paper.

use crate::decide::averages::{FLEET_DAMPING, GAIN};
use crate::decide::gateway::Gateway;
use crate::interface::{AttemptEnd, Ending, Name};
use crate::state::{secs, Server};

/// Number of answers of a server that is warming up from which its speed counts as known.
const PACE_SAMPLES: u32 = 5;
/// Upper bound of the share derived from the measured speed, as a multiple of the linear ramp.
const MAX_RAMP_MULTIPLE: f64 = 1.6;
/// A server that reports at most this many requests in flight counts as unloaded.
const UNLOADED_MAX_REQUESTS: f64 = 2.0;

impl Gateway {
    /// Whether a server started so recently that it may not have its full capacity yet.
    pub(super) fn is_warming_up(&self, server: &Server) -> bool {
        server.started > 0 && self.now.saturating_sub(server.started) < self.settings.warm_up_time
    }

    /// The share of its capacity that a server has: 1 when warm. While it warms up, the worst case is a
    /// linear ramp.
    pub(super) fn warm_up_share(&self, server: &Server) -> f64 {
        if !self.is_warming_up(server) {
            return 1.0;
        }
        let age = self.now.saturating_sub(server.started);
        let from = self.settings.warm_up_from;
        let ramp = from + (1.0 - from) * age as f64 / self.settings.warm_up_time as f64;
        // Most servers warm up sooner than they must. The speed that their answers show raises the share, but
        // only up to a bound: a server that warms up as slowly as allowed shows it in its speed, and the work
        // sent beyond its share stays far below the load at which a server collapses.
        if server.pace_samples < PACE_SAMPLES || self.unloaded_seconds_per_unit <= 0.0 {
            return ramp;
        }
        let by_pace = self.unloaded_seconds_per_unit / server.seconds_per_unit.max(1e-9);
        by_pace.clamp(ramp, MAX_RAMP_MULTIPLE * ramp).min(1.0)
    }

    /// Learns from a successful answer how fast its server works. For a server that is warming up, all
    /// answers count; for the fleet's mean, only those of warm servers that report little load.
    pub(super) fn learn_pace(&mut self, name: &Name, estimated_units: f64, end: &AttemptEnd) {
        let Some(server) = self.servers.get(name).filter(|_| end.ending == Ending::Pass) else { return };
        let warming_up = self.is_warming_up(server);
        let units = if end.actual_units > 0.0 { end.actual_units } else { estimated_units };
        let observed = secs(end.elapsed) / units.max(1e-9);
        let busy =
            end.load.and_then(|load| load.inflight).is_none_or(|requests| requests > UNLOADED_MAX_REQUESTS);
        if warming_up {
            let Some(server) = self.servers.get_mut(name) else { return };
            let known = server.seconds_per_unit;
            server.seconds_per_unit =
                if server.pace_samples == 0 { observed } else { known + (observed - known) * GAIN };
            server.pace_samples = server.pace_samples.saturating_add(1);
        } else if !busy {
            let known = self.unloaded_seconds_per_unit;
            self.unloaded_seconds_per_unit =
                if known <= 0.0 { observed } else { known + (observed - known) * GAIN / FLEET_DAMPING };
        }
    }
}

/// A request's random choice among the servers that are warming up. Not in the paper: slow start. The draw
/// selects at most one such server for the request, each with a probability equal to its share of the fleet's
/// capacity. A server then gets at most its share of the traffic of all gateways, far below the load at which
/// it collapses, and no state is needed. Cost: servers that are warming up are slightly underused.
pub(super) struct WarmUpDraw {
    /// The random number, in 0..1.
    draw: f64,
    /// Sum of the capacity shares of all servers.
    total: f64,
    /// Start of the next server's interval in 0..1.
    next: f64,
}

impl WarmUpDraw {
    pub(super) fn new(draw: f64, total: f64) -> Self {
        WarmUpDraw { draw, total, next: 0.0 }
    }

    /// Whether the draw lies in the interval of the next server, which has this capacity share.
    pub(super) fn selects(&mut self, share: f64) -> bool {
        let part = self.next..self.next + share / self.total;
        self.next = part.end;
        part.contains(&self.draw)
    }
}
