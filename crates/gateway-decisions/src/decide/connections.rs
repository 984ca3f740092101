//! Limits on connections to servers. Beyond the paper.

use crate::decide::averages::GAIN;
use crate::decide::gateway::Gateway;
use crate::interface::{Action, AttemptEnd, Ending, Via};
use crate::state::{Server, NO_CONNECTION_LIMIT};

/// What is left of the connections to a server when it refused one.
const LOWERED_TO: f64 = 0.75;
/// A server may have so many even parts of all connections.
const EVEN_PARTS: f64 = 2.0;
/// The part of the connections that a process has while the gateway has two.
const PART_OF_TWO: f64 = 0.5;

impl Server {
    /// Learns from an end how many connections the server bears. A new one that was rejected, or refused
    /// beside others: it bears no more of them. Returns whether the limit may have changed.
    pub(super) fn adjust_connection_limit(&mut self, end: &AttemptEnd) -> bool {
        let rejected_fresh = end.ending == Ending::Full && end.via == Via::New;
        if rejected_fresh || end.via == Via::Refused {
            self.connection_limit = (LOWERED_TO * f64::from(end.open_connections)).max(1.0);
        } else if end.ending == Ending::Pass && self.connection_limit < NO_CONNECTION_LIMIT {
            self.connection_limit = (self.connection_limit + GAIN / self.connection_limit).max(1.0);
        } else {
            return false;
        }
        true
    }
}

impl Gateway {
    /// Beyond the paper: how many connections the pool may hold. A server gets up to twice an even part of
    /// what the descriptors bear, and one that refused a connection, what it bore. Guards against
    /// connections that all gateways open in vain; harms where a server was only starting.
    pub(super) fn announce_connection_limits(&mut self, out: &mut Vec<Action>) {
        if self.settings.connections == 0 || !std::mem::take(&mut self.connection_limits_changed) {
            return;
        }
        let used = self.servers.values().filter(|server| server.in_subset).count().max(1) as f64;
        // Two processes share the descriptors and what servers bear.
        let part = if self.peer_share.is_some() { PART_OF_TWO } else { 1.0 };
        let all = f64::from(self.settings.connections);
        let fair = (EVEN_PARTS * all / used).min(all).min(f64::from(self.settings.connections_per_server));
        let share_of = |bears: f64| (part * bears).max(1.0) as u32;
        for (name, server) in &mut self.servers {
            let limit = share_of(server.connection_limit.min(fair));
            if std::mem::replace(&mut server.announced_connections, limit) != limit {
                out.push(Action::Connections { server: Some(name.clone()), limit });
            }
        }
        let limit = share_of(all);
        if std::mem::replace(&mut self.announced_connections, limit) != limit {
            out.push(Action::Connections { server: None, limit });
        }
    }
}
