//! Faults of edges and of their connections.

use crate::script::{FaultKind, InjectedFault};
use crate::time::ms;
use crate::world::network::{Endpoint, Partition};
use crate::world::{World, FIRST_EDGE};

impl World {
    pub(super) fn inject_on_edge(&mut self, fault: &InjectedFault) {
        let edge = fault.pick as usize % self.edges.len();
        let until = self.now + fault.lasts;
        self.record_machine_fault(FIRST_EDGE + edge, until);
        match fault.kind {
            FaultKind::EdgeKill => {
                self.end_edge_process(edge);
                self.restart_edge(edge, ms(100 + fault.pick % 900));
            }
            FaultKind::EdgeFreeze => self.edges[edge].frozen_until = until,
            _ => self.partition(Partition::FromAll(Endpoint::Edge(edge)), until),
        }
    }

    pub(super) fn reset_connections(&mut self, fault: &InjectedFault) {
        let now = self.now;
        self.record_core_fault(now);
        let modulus = 2 + fault.pick as usize % 3;
        let open: Vec<usize> =
            (0..self.connections.len()).filter(|position| self.connections[*position].is_open).collect();
        for connection in open.into_iter().filter(|position| position % modulus == 0) {
            let link = &self.connections[connection];
            let (edge, core) = (FIRST_EDGE + link.edge, link.core);
            self.record_machine_fault(edge, now);
            self.record_machine_fault(core, now);
            self.break_connection(connection);
        }
    }
}
