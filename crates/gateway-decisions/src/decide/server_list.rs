//! The list of servers, and operators' orders to disable and enable some.

use crate::decide::gateway::{Gateway, TIMER_ASK};
use crate::interface::{Action, Health, Name, Node, Scope};
use crate::state::{Server, Servers};
use std::collections::BTreeSet;

/// The limit on attempts in flight at a server of which nothing is known, of all gateways together; "a few"
/// for each.
const FIRST_LIMIT: f64 = 12.0;
/// Discovery is asked again after `list_max_age`, divided by this, when a call to it failed.
const ASKS_PER_LIMIT: u64 = 8;

/// The servers that may get requests.
pub(super) fn ready<'a>(
    servers: &'a Servers,
    disabled: &'a BTreeSet<Name>,
) -> impl Iterator<Item = (&'a Name, &'a Server)> {
    servers.iter().filter(|(name, server)| server.health == Health::Up && !disabled.contains(*name))
}

impl Gateway {
    /// The limit on this gateway's attempts in flight at a server of which nothing is known.
    fn first_limit(&self) -> f64 {
        FIRST_LIMIT / self.gateways_per_server
    }

    /// Takes the list of servers, or changes to it.
    pub(super) fn update_servers(&mut self, scope: Scope, nodes: Vec<Node>, out: &mut Vec<Action>) {
        if self.settings.subscribe {
            self.ask_discovery(scope, out);
        }
        if scope == Scope::Failed {
            return;
        }
        if scope != Scope::Changes {
            self.servers.values_mut().for_each(|server| server.health = Health::Removed);
        }
        nodes.into_iter().for_each(|node| self.update_server(node));
        self.servers.retain(|_, server| server.health != Health::Removed || server.in_flight > 0);
        self.select_subset();
    }

    /// Subscribes to discovery when there is no subscription, and after a while when a call failed.
    fn ask_discovery(&self, scope: Scope, out: &mut Vec<Action>) {
        match scope {
            Scope::Cached => out.push(Action::Subscribe { on: true }),
            Scope::Failed => {
                let at = self.now + self.settings.list_max_age / ASKS_PER_LIMIT;
                out.push(Action::Timer { token: TIMER_ASK, at });
            }
            Scope::Changes | Scope::Full => {}
        }
    }

    fn update_server(&mut self, mut node: Node) {
        node.since = node.since.max(self.enabled_at.get(&node.name).copied().unwrap_or(0));
        let (first_limit, outcomes, now) = (self.first_limit(), self.outcome_count(), self.now);
        let unknown = || Server::new(&node, first_limit, outcomes, now);
        let server = self.servers.entry(node.name.clone()).or_insert_with(unknown);
        if node.since > server.started {
            // A restart: what was learnt of the old process says nothing of the new one.
            server.reset_after_restart(first_limit);
            server.open_connections = 0;
        }
        (server.zone, server.cell, server.health) = (node.zone, node.cell, node.health);
        (server.rating, server.started) = (node.rating, node.since);
        // The caller learns its limit on connections anew.
        server.announced_connections = 0;
    }

    /// Operators take a server out of use, until they enable it, whatever the list says of it.
    pub(super) fn disable(&mut self, name: Name) {
        self.disabled.insert(name);
        self.select_subset();
    }

    /// Operators put a server back into use, as cold as if it had started now. If it was not disabled,
    /// nothing changes.
    pub(super) fn enable(&mut self, name: Name) {
        if !self.disabled.remove(&name) {
            return;
        }
        let (now, first_limit) = (self.now, self.first_limit());
        if let Some(server) = self.servers.get_mut(&name) {
            server.started = now;
            server.reset_after_restart(first_limit);
        }
        self.select_subset();
        self.enabled_at.retain(|_, at| now - *at < self.settings.warm_up_time);
        self.enabled_at.insert(name, now);
    }
}
