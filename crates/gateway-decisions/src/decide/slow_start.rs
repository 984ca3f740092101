//! Slow start: the share of its capacity that a server has while it warms up. Beyond the paper.

use crate::decide::averages::{FLEET_DAMPING, GAIN};
use crate::decide::gateway::Gateway;
use crate::interface::{AttemptEnd, Ending, Name};
use crate::state::{secs, Server};

/// Answers of a server that is warming up from which its pace is taken as known.
const PACE_SAMPLES: u32 = 5;
/// Upper bound of the share by pace, as a multiple of the linear ramp.
const AHEAD_OF_LEAST: f64 = 1.6;
/// A server that reports no more requests in flight than this is unloaded: it works at its own pace.
const UNLOADED_MAX_REQUESTS: f64 = 2.0;

impl Gateway {
    /// Whether a server's start is so recent that it may not have its full capacity.
    pub(super) fn is_warming_up(&self, server: &Server) -> bool {
        server.started > 0 && self.now.saturating_sub(server.started) < self.settings.warm_up_time
    }

    /// The share of its capacity that a server has: 1 when warm; while it warms up, evenly more at worst.
    pub(super) fn warm_up_share(&self, server: &Server) -> f64 {
        if !self.is_warming_up(server) {
            return 1.0;
        }
        let age = self.now.saturating_sub(server.started);
        let from = self.settings.warm_up_from;
        let least = from + (1.0 - from) * age as f64 / self.settings.warm_up_time as f64;
        // Most warm up sooner than they must. What their answers show of it is used in part: a start that is
        // as slow as can be shows in the pace, and work sent beyond its share stays far
        // below the load at which a server collapses.
        if server.pace_samples < PACE_SAMPLES || self.calm_seconds_per_unit <= 0.0 {
            return least;
        }
        let by_pace = self.calm_seconds_per_unit / server.seconds_per_unit.max(1e-9);
        by_pace.clamp(least, AHEAD_OF_LEAST * least).min(1.0)
    }

    /// Learns from a good answer how fast its server works: one that warms up by all its answers, the fleet
    /// by those of warm servers that say they hold little.
    pub(super) fn learn_pace(&mut self, name: &Name, guessed_units: f64, end: &AttemptEnd) {
        let Some(server) = self.servers.get(name).filter(|_| end.ending == Ending::Pass) else { return };
        let warming_up = self.is_warming_up(server);
        let units = if end.actual_units > 0.0 { end.actual_units } else { guessed_units };
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
            let known = self.calm_seconds_per_unit;
            self.calm_seconds_per_unit =
                if known <= 0.0 { observed } else { known + (observed - known) * GAIN / FLEET_DAMPING };
        }
    }
}

/// A request's draw among the servers that warm up: it opens at most one of them to the request, each by
/// its share of the fleet's capacity. Beyond the paper: slow start. A server gets its part of all gateways'
/// traffic at most, far below the load at which it collapses, and nothing need be remembered. Harms by
/// under-using servers that warm up a little.
pub(super) struct WarmUpDraw {
    draw: f64,
    /// Shares of all servers together.
    total: f64,
    /// Where the next server's part of 0..1 begins.
    next: f64,
}

impl WarmUpDraw {
    pub(super) fn new(draw: f64, total: f64) -> Self {
        WarmUpDraw { draw, total, next: 0.0 }
    }

    /// Whether the draw falls into the part of the next server, which has this share.
    pub(super) fn opens(&mut self, share: f64) -> bool {
        let part = self.next..self.next + share / self.total;
        self.next = part.end;
        part.contains(&self.draw)
    }
}
