//! Subsetting: each gateway uses a part of a large fleet. Not in the paper.

use crate::decide::gateway::Gateway;
use crate::decide::server_list::ready;
use crate::interface::Name;
use std::collections::BTreeMap;

/// Minimum number of servers that a gateway uses, so that one exceptional server weighs little.
const MIN_SERVERS: f64 = 12.0;
/// Minimum number of gateways that use a server, for the same reason.
const MIN_GATEWAYS_PER_SERVER: f64 = 20.0;

impl Gateway {
    /// Selects the servers that this gateway uses. Not in the paper: in a large fleet, a gateway that used
    /// all servers would use each so seldom that it would open a connection for most attempts and know
    /// nothing about the server. All gateways take a part of the same circle of servers, each from its own
    /// position. Every server is used by about the same number of gateways, and a change of the list moves
    /// only the edges of each part. Cost: fewer servers to choose from.
    pub(super) fn select_subset(&mut self) {
        let circle = self.circle_of_servers();
        let (server_count, gateways) = (circle.len(), f64::from(self.settings.gateways));
        let subset_size = (MIN_GATEWAYS_PER_SERVER * server_count as f64 / gateways)
            .max(MIN_SERVERS)
            .ceil()
            .min(server_count as f64);
        let start = (f64::from(self.settings.gateway_index) / gateways * server_count as f64) as usize;
        self.servers.values_mut().for_each(|server| server.in_subset = false);
        for i in 0..subset_size as usize {
            if let Some(server) = self.servers.get_mut(&circle[(start + i) % server_count]) {
                server.in_subset = true;
            }
        }
        self.connection_limits_changed = true;
        if server_count > 0 {
            // Keeps the limit on attempts in flight at a server, summed over all gateways.
            let before = std::mem::replace(
                &mut self.gateways_per_server,
                gateways * subset_size / server_count as f64,
            );
            let after = self.gateways_per_server;
            self.servers.values_mut().for_each(|server| server.concurrency_limit *= before / after);
        }
    }

    /// The servers that may get requests, in circular order. The servers of each zone are spaced evenly.
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
        // The sort is stable: servers at the same angle keep the order of their zones.
        circle.sort_by(|(angle, _), (other, _)| angle.total_cmp(other));
        circle.into_iter().map(|(_, name)| Name::clone(name)).collect()
    }
}
