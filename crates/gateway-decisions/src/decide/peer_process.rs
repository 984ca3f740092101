//! Two processes of one gateway run together during an upgrade. Each reports its charges to customers and its
//! attempts in flight to the other, so that both decide as one gateway.

use crate::decide::gateway::{Gateway, ATTEMPTS, RESOURCES, UNITS};
use crate::interface::{Action, Charge, Name, Share};

impl Gateway {
    /// Records that the second process of this gateway has started or stopped.
    pub(super) fn set_peer_process(&mut self, running: bool) {
        self.connection_limits_changed = true;
        if running {
            // The second process does not know yet what is in flight here.
            let busy = self.servers.iter().filter(|(_, server)| server.in_flight > 0);
            let out = busy.map(|(name, server)| (name.clone(), server.in_flight)).collect();
            self.peer_share = Some(Share { out, ..Share::default() });
        } else {
            self.peer_share = None;
            self.peer_in_flight = [0.0; RESOURCES];
            self.servers.values_mut().for_each(|server| server.peer_in_flight = 0);
            self.customers.values_mut().for_each(|customer| customer.peer_in_flight = 0);
        }
    }

    /// Sends the second process the changes since the previous message, if there is a second process and
    /// something has changed.
    pub(super) fn share_with_peer(&mut self, out: &mut Vec<Action>) {
        let in_flight = [self.sub_schedulers[ATTEMPTS].in_flight, self.sub_schedulers[UNITS].in_flight];
        let Some(share) = self.peer_share.as_mut() else { return };
        if !share.charges.is_empty() || !share.out.is_empty() || share.in_flight != in_flight {
            share.in_flight = in_flight;
            let changes = std::mem::replace(share, Share { in_flight, ..Share::default() });
            out.push(Action::Share(changes));
        }
    }

    /// Records a charge to a customer for the second process.
    pub(super) fn record_charge_for_peer(&mut self, charge: Charge) {
        if let Some(share) = self.peer_share.as_mut() {
            share.charges.push(charge);
        }
    }

    /// Records for the second process that the number of attempts in flight at a server has changed.
    pub(super) fn record_in_flight_for_peer(&mut self, server: &Name) {
        if let (Some(share), Some(known)) = (self.peer_share.as_mut(), self.servers.get(server)) {
            share.out.retain(|(name, _)| name != server);
            share.out.push((server.clone(), known.in_flight));
        }
    }

    /// Applies the second process's changes as if they had happened in this process.
    pub(super) fn apply_peer_share(&mut self, share: Share) {
        self.peer_in_flight = share.in_flight;
        for (name, in_flight) in share.out {
            if let Some(server) = self.servers.get_mut(&name) {
                server.peer_in_flight = in_flight;
            }
        }
        share.charges.into_iter().for_each(|charge| self.apply_peer_charge(charge));
    }

    fn apply_peer_charge(&mut self, charge: Charge) {
        match charge {
            Charge::Asked { customer, plan, spread, units, passed } => {
                if plan >= self.settings.plans.len() {
                    return;
                }
                self.ensure_customer(&customer, plan, spread);
                self.observe_requested(&customer, units);
                if passed {
                    self.observe_admitted(&customer, units);
                }
            }
            Charge::Sent { customer, units } => {
                self.advance_customer(&customer);
                if let Some(customer) = self.customers.get_mut(&customer) {
                    customer.ceiling_level -= units;
                    customer.peer_in_flight += 1;
                }
            }
            Charge::Ended { customer, back } => {
                self.advance_customer(&customer);
                if let Some(customer) = self.customers.get_mut(&customer) {
                    customer.refund(back, &self.settings.plans[customer.plan]);
                    customer.peer_in_flight = customer.peer_in_flight.saturating_sub(1);
                }
            }
        }
    }
}
