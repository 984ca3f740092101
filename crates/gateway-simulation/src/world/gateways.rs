//! Gateways: rounds of decisions and what is carried out of them.

use crate::oracle::Breach;
use crate::report;
use crate::units::{ns, MS};
use crate::world::state::Due;
use crate::world::World;
use gateway_decisions::{Action, Ending, Event, Time, Via};
use rand::Rng;

/// A killed gateway starts again after this.
const GATEWAY_DOWN: Time = 500_000_000;

impl World<'_> {
    pub(super) fn push_event(&mut self, gateway: usize, life: u32, event: Event) {
        let tick = ns(self.scenario.gateways.tick_ms, MS);
        let place = &mut self.gateways[gateway];
        if place.life != life || !place.up {
            return;
        }
        place.pending.push(event);
        if place.round_at.is_none() {
            let at = self.now.max(place.last_round + tick).max(place.paused_until);
            place.round_at = Some(at);
            self.plan(at, Due::Round { gateway, life });
        }
    }

    pub(super) fn round(&mut self, gateway: usize, life: u32) -> Result<(), Box<Breach>> {
        let place = &mut self.gateways[gateway];
        if place.life != life || !place.up {
            return Ok(());
        }
        if self.now < place.paused_until {
            let at = place.paused_until;
            place.round_at = Some(at);
            self.plan(at, Due::Round { gateway, life });
            return Ok(());
        }
        (place.round_at, place.last_round) = (None, self.now);
        let events = std::mem::take(&mut place.pending);
        let mut actions = std::mem::take(&mut self.actions);
        place.decider.handle(self.now, events, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(gateway, action)?;
        }
        self.actions = actions;
        Ok(())
    }

    fn carry_out(&mut self, gateway: usize, action: Action) -> Result<(), Box<Breach>> {
        match action {
            Action::Send { id, server, attempt_deadline } => {
                self.send(gateway, id, &server, attempt_deadline)?;
            }
            Action::Reject { id, retry_after } => self.final_answer(id, true, retry_after)?,
            Action::Fail { id } => self.final_answer(id, false, 0)?,
            Action::Cancel { id, attempt } => {
                let out = self.requests.get(&id).and_then(|h| h.out);
                let out = out.filter(|key| self.attempts[key].number == attempt);
                if let Some(key) = out {
                    self.attempt_over(key, Ending::Undone, Via::Unknown)?;
                }
            }
            Action::Timer { token, at } => {
                let life = self.gateways[gateway].life;
                self.plan(at.max(self.now + 1), Due::Timer { gateway, life, token });
            }
            Action::Subscribe { .. } | Action::Connections { .. } | Action::Share(_) => {}
        }
        Ok(())
    }

    fn final_answer(&mut self, id: u64, refused: bool, advice: Time) -> Result<(), Box<Breach>> {
        self.oracle.final_answer_sent(id, refused, self.now)?;
        let Some(held) = self.requests.get_mut(&id).filter(|h| !h.ended) else { return Ok(()) };
        held.ended = true;
        let (asked, counted, out, never) = (held.asked, held.counted, held.out, held.within.is_none());
        let plan = &self.scenario.plans[asked.plan];
        let customer = &mut self.customers[asked.plan][asked.customer as usize];
        let room = refused && never && customer.has_half_quota(plan, self.now);
        if room {
            let second = self.second();
            report::count(&mut self.report.quota, second, 3);
        }
        if counted && refused {
            self.report.refused += 1;
            self.report.refused_with_room += u64::from(room);
        } else if counted {
            self.report.failed += 1;
        }
        if let Some(key) = out {
            self.attempt_over(key, Ending::Undone, Via::Unknown)?;
        }
        self.ask_again(asked, advice);
        Ok(())
    }

    /// The requests that a gateway has not ended.
    fn open_requests(&self, gateway: usize) -> Vec<u64> {
        let open = self.requests.iter().filter(|(_, h)| h.gateway == gateway && !h.ended);
        let mut held: Vec<u64> = open.map(|(id, _)| *id).collect();
        held.sort_unstable();
        held
    }

    /// A gateway stands still, and then goes on with all that came meanwhile.
    pub(super) fn pause(&mut self, n: usize, span: Time) {
        self.open_requests(n).into_iter().for_each(|id| self.oracle.waive_deadline(id));
        let until = self.now + span;
        let place = &mut self.gateways[n];
        place.paused_until = place.paused_until.max(until);
    }

    pub(super) fn gateway_down(&mut self, n: usize) {
        let place = &mut self.gateways[n];
        if !place.up {
            return;
        }
        place.up = false;
        place.life += 1;
        place.pending.clear();
        place.round_at = None;
        place.idle.iter_mut().for_each(Vec::clear);
        place.used.fill(0);
        // What it held is its clients' to repeat.
        for id in self.open_requests(n) {
            self.oracle.request_abandoned(id);
            let Some(h) = self.requests.remove(&id) else { continue };
            self.report.gone += u64::from(h.counted);
            if let Some(a) = h.out.and_then(|key| self.attempts.get_mut(&key)) {
                a.over = true;
            }
            self.ask_again(h.asked, 0);
        }
        self.plan(self.now + GATEWAY_DOWN, Due::GatewayUp { gateway: n });
    }

    pub(super) fn gateway_up(&mut self, n: usize) {
        let seed = self.rng.random();
        let place = &self.gateways[n];
        let settings = self.scenario.settings(n as u32, place.zone as u32);
        let decider = (self.maker)(settings, seed, self.now);
        let place = &mut self.gateways[n];
        place.decider = decider;
        place.up = true;
        place.told.fill(None);
        self.tell_whole_list(n);
    }
}
