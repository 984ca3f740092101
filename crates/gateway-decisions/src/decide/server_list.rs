//! The server list, and operators' commands to disable and enable servers.

use crate::decide::gateway::{Gateway, TIMER_DISCOVERY};
use crate::interface::{Action, Health, Name, Node, Scope};
use crate::state::{Server, Servers};
use std::collections::BTreeSet;

/// Initial concurrency limit of a server, summed over all gateways. The share of each gateway is a few
/// attempts.
const INITIAL_LIMIT: f64 = 12.0;
/// After a failed call to discovery, it is asked again after `list_max_age` divided by this.
const RETRIES_PER_MAX_AGE: u64 = 8;

/// The servers that may get requests.
pub(super) fn ready<'a>(
    servers: &'a Servers,
    disabled: &'a BTreeSet<Name>,
) -> impl Iterator<Item = (&'a Name, &'a Server)> {
    servers.iter().filter(|(name, server)| server.health == Health::Up && !disabled.contains(*name))
}

impl Gateway {
    /// This gateway's initial concurrency limit for a server.
    fn initial_limit(&self) -> f64 {
        INITIAL_LIMIT / self.gateways_per_server
    }

    /// Applies a server list, or changes to it.
    pub(super) fn update_servers(&mut self, scope: Scope, nodes: Vec<Node>, out: &mut Vec<Action>) {
        if self.settings.subscribe {
            self.request_list(scope, out);
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

    /// Subscribes to discovery if there is no subscription, or sets a timer to do so if a call failed.
    fn request_list(&self, scope: Scope, out: &mut Vec<Action>) {
        match scope {
            Scope::Cached => out.push(Action::Subscribe { on: true }),
            Scope::Failed => {
                let at = self.now + self.settings.list_max_age / RETRIES_PER_MAX_AGE;
                out.push(Action::Timer { token: TIMER_DISCOVERY, at });
            }
            Scope::Changes | Scope::Full => {}
        }
    }

    fn update_server(&mut self, mut node: Node) {
        node.since = node.since.max(self.enabled_at.get(&node.name).copied().unwrap_or(0));
        let (initial_limit, outcomes, now) = (self.initial_limit(), self.outcome_count(), self.now);
        let unknown = || Server::new(&node, initial_limit, outcomes, now);
        let server = self.servers.entry(node.name.clone()).or_insert_with(unknown);
        if node.since > server.started {
            // A restart: what was learned about the old process does not apply to the new one.
            server.reset_after_restart(initial_limit);
            server.open_connections = 0;
        }
        (server.zone, server.cell, server.health) = (node.zone, node.cell, node.health);
        (server.rating, server.started) = (node.rating, node.since);
        // The caller gets the connection limit again.
        server.announced_connections = 0;
    }

    /// Takes a server out of use until an operator enables it, whatever the list says.
    pub(super) fn disable(&mut self, name: Name) {
        self.disabled.insert(name);
        self.select_subset();
    }

    /// Puts a disabled server back into use, as if it had just started. Does nothing if it was not disabled.
    pub(super) fn enable(&mut self, name: Name) {
        if !self.disabled.remove(&name) {
            return;
        }
        let (now, initial_limit) = (self.now, self.initial_limit());
        if let Some(server) = self.servers.get_mut(&name) {
            server.started = now;
            server.reset_after_restart(initial_limit);
        }
        self.select_subset();
        self.enabled_at.retain(|_, at| now - *at < self.settings.warm_up_time);
        self.enabled_at.insert(name, now);
    }
}
