//! Limits on connections to servers. Not in the paper.

use crate::decide::averages::GAIN;
use crate::decide::gateway::Gateway;
use crate::interface::{Action, AttemptEnd, Ending, Via};
use crate::state::{Server, NO_CONNECTION_LIMIT};

/// A refused connection sets the server's connection limit to this share of its open connections.
const DECREASE_FACTOR: f64 = 0.75;
/// A server may have this many equal shares of all connections.
const MAX_EQUAL_SHARES: f64 = 2.0;
/// Share of the connections that each process has while the gateway has two.
const TWO_PROCESS_SHARE: f64 = 0.5;

impl Server {
    /// Learns from the end of an attempt how many connections the server can bear. A rejection on a new
    /// connection, or a refused connection, means that it bears no more than it has. Returns whether the
    /// limit may have changed.
    pub(super) fn adjust_connection_limit(&mut self, end: &AttemptEnd) -> bool {
        let rejected_on_new = end.ending == Ending::Full && end.via == Via::New;
        if rejected_on_new || end.via == Via::Refused {
            self.connection_limit = (DECREASE_FACTOR * f64::from(end.open_connections)).max(1.0);
        } else if end.ending == Ending::Pass && self.connection_limit < NO_CONNECTION_LIMIT {
            self.connection_limit = (self.connection_limit + GAIN / self.connection_limit).max(1.0);
        } else {
            return false;
        }
        true
    }
}

impl Gateway {
    /// Announces how many connections the pool may hold. Not in the paper: a server gets up to twice an equal
    /// share of what the file descriptors allow, and a server that refused a connection gets what it can
    /// bear. Protects against connections that all gateways open in vain. Cost: limits a server that was only
    /// starting.
    pub(super) fn announce_connection_limits(&mut self, out: &mut Vec<Action>) {
        if self.settings.connections == 0 || !std::mem::take(&mut self.connection_limits_changed) {
            return;
        }
        let used = self.servers.values().filter(|server| server.in_subset).count().max(1) as f64;
        // Two processes share the file descriptors and what servers can bear.
        let part = if self.peer_share.is_some() { TWO_PROCESS_SHARE } else { 1.0 };
        let all = f64::from(self.settings.connections);
        let max_per_server =
            (MAX_EQUAL_SHARES * all / used).min(all).min(f64::from(self.settings.connections_per_server));
        let share_of = |connections: f64| (part * connections).max(1.0) as u32;
        for (name, server) in &mut self.servers {
            let limit = share_of(server.connection_limit.min(max_per_server));
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
