//! Hand-over between processes: while an upgrade runs, two processes of one gateway tell each other what
//! they charge to customers and have in flight, so that both decide as one.

use crate::decide::gateway::{Gateway, ATTEMPTS, RESOURCES, UNITS};
use crate::interface::{Action, Charge, Name, Share};

impl Gateway {
    /// Another process of this gateway runs beside this one, or does so no more.
    pub(super) fn set_peer_process(&mut self, running: bool) {
        self.connection_limits_changed = true;
        if running {
            // The other process knows nothing yet of what is in flight here.
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

    /// Notifies the other process of what has changed here since it last was, if there is one and anything
    /// has.
    pub(super) fn share_with_peer(&mut self, out: &mut Vec<Action>) {
        let in_flight = [self.sub_schedulers[ATTEMPTS].in_flight, self.sub_schedulers[UNITS].in_flight];
        let Some(share) = self.peer_share.as_mut() else { return };
        if !share.charges.is_empty() || !share.out.is_empty() || share.in_flight != in_flight {
            share.in_flight = in_flight;
            let changes = std::mem::replace(share, Share { in_flight, ..Share::default() });
            out.push(Action::Share(changes));
        }
    }

    /// Notes a charge to a customer for the other process.
    pub(super) fn charge_peer(&mut self, charge: Charge) {
        if let Some(share) = self.peer_share.as_mut() {
            share.charges.push(charge);
        }
    }

    /// Notes for the other process that the number of attempts in flight at a server has changed.
    pub(super) fn note_in_flight_at(&mut self, server: &Name) {
        if let (Some(share), Some(known)) = (self.peer_share.as_mut(), self.servers.get(server)) {
            share.out.retain(|(name, _)| name != server);
            share.out.push((server.clone(), known.in_flight));
        }
    }

    /// Enters what the other process did as if it had been done here.
    pub(super) fn take_peer_share(&mut self, share: Share) {
        self.peer_in_flight = share.in_flight;
        for (name, in_flight) in share.out {
            if let Some(server) = self.servers.get_mut(&name) {
                server.peer_in_flight = in_flight;
            }
        }
        share.charges.into_iter().for_each(|charge| self.take_peer_charge(charge));
    }

    fn take_peer_charge(&mut self, charge: Charge) {
        match charge {
            Charge::Asked { customer, plan, spread, units, passed } => {
                if plan >= self.settings.plans.len() {
                    return;
                }
                self.enter_customer(&customer, plan, spread);
                self.observe_asked(&customer, units);
                if passed {
                    self.observe_passed(&customer, units);
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
