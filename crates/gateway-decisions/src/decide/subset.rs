//! Subsetting: the part of a large fleet that this gateway uses. Beyond the paper.

use crate::decide::gateway::Gateway;
use crate::decide::server_list::ready;
use crate::interface::Name;
use std::collections::BTreeMap;

/// Servers that a gateway of a large fleet uses at least: so many that one that is out of the ordinary weighs
/// little.
const LEAST_SERVERS: f64 = 12.0;
/// Gateways that use a server at least, for the same reason.
const LEAST_GATEWAYS: f64 = 20.0;

impl Gateway {
    /// Beyond the paper: in a large fleet each gateway uses a part of the servers. Guards against seeing
    /// each so seldom that connections are new and nothing is known of it. All gateways take a part of one
    /// circle, from their own position on: each server is used by equally many, and a change of the list
    /// moves the edges only. Harms by fewer servers to choose from.
    pub(super) fn select_subset(&mut self) {
        let circle = self.circle_of_servers();
        let (all, gateways) = (circle.len(), f64::from(self.settings.gateways));
        let used = (LEAST_GATEWAYS * all as f64 / gateways).max(LEAST_SERVERS).ceil().min(all as f64);
        let from = (f64::from(self.settings.gateway_index) / gateways * all as f64) as usize;
        self.servers.values_mut().for_each(|server| server.in_subset = false);
        for i in 0..used as usize {
            if let Some(server) = self.servers.get_mut(&circle[(from + i) % all]) {
                server.in_subset = true;
            }
        }
        self.connection_limits_changed = true;
        if all > 0 {
            // What all gateways together may have in flight at a server stays the same.
            let before = std::mem::replace(&mut self.gateways_per_server, gateways * used / all as f64);
            let after = self.gateways_per_server;
            self.servers.values_mut().for_each(|server| server.concurrency_limit *= before / after);
        }
    }

    /// The servers that may get requests, in turns by zone: those of each zone lie at equal distances.
    fn circle_of_servers(&self) -> Vec<Name> {
        let mut zones: BTreeMap<u32, Vec<&Name>> = BTreeMap::new();
        for (name, server) in ready(&self.servers, &self.disabled) {
            zones.entry(server.zone).or_default().push(name);
        }
        let mut circle = Vec::new();
        for names in zones.values() {
            let angles = (0..names.len()).map(|i| (i as f64 + 0.5) / names.len() as f64);
            circle.extend(angles.zip(names));
        }
        // Stable: servers at one angle keep the order of their zones.
        circle.sort_by(|(angle, _), (other, _)| angle.total_cmp(other));
        circle.into_iter().map(|(_, name)| Name::clone(name)).collect()
    }
}
