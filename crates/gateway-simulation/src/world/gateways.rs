//! Gateways: decision rounds and execution of the resulting actions.

use crate::oracle::Breach;
use crate::report;
use crate::units::{ns, MS};
use crate::world::state::ScheduledEvent;
use crate::world::World;
use gateway_decisions::{Action, Ending, Event, Time, Via};
use rand::Rng;

/// Time after which a killed gateway starts again.
const GATEWAY_RESTART_NS: Time = 500_000_000;

impl World<'_> {
    /// Queues an event for a gateway's next decision round; events for an earlier incarnation are dropped.
    pub(super) fn push_event(&mut self, gateway: usize, incarnation: u32, event: Event) {
        let tick = ns(self.scenario.gateways.tick_ms, MS);
        let state = &mut self.gateways[gateway];
        if state.incarnation != incarnation || !state.up {
            return;
        }
        state.pending.push(event);
        if state.next_round.is_none() {
            let at = self.now.max(state.last_round + tick).max(state.paused_until);
            state.next_round = Some(at);
            self.schedule(at, ScheduledEvent::DecisionRound { gateway, incarnation });
        }
    }

    /// Lets a gateway's decider handle the pending events and executes its actions.
    pub(super) fn decision_round(&mut self, gateway: usize, incarnation: u32) -> Result<(), Box<Breach>> {
        let state = &mut self.gateways[gateway];
        if state.incarnation != incarnation || !state.up {
            return Ok(());
        }
        if self.now < state.paused_until {
            let at = state.paused_until;
            state.next_round = Some(at);
            self.schedule(at, ScheduledEvent::DecisionRound { gateway, incarnation });
            return Ok(());
        }
        (state.next_round, state.last_round) = (None, self.now);
        let events = std::mem::take(&mut state.pending);
        let mut actions = std::mem::take(&mut self.actions);
        state.decider.handle(self.now, events, &mut actions);
        for action in actions.drain(..) {
            self.execute(gateway, action)?;
        }
        self.actions = actions;
        Ok(())
    }

    fn execute(&mut self, gateway: usize, action: Action) -> Result<(), Box<Breach>> {
        match action {
            Action::Send { id, server, attempt_deadline } => {
                self.send(gateway, id, &server, attempt_deadline)?;
            }
            Action::Reject { id, retry_after } => self.final_answer(id, true, retry_after)?,
            Action::Fail { id } => self.final_answer(id, false, 0)?,
            Action::Cancel { id, attempt } => {
                let in_flight = self.requests.get(&id).and_then(|request| request.in_flight);
                let in_flight = in_flight.filter(|key| self.attempts[key].number == attempt);
                if let Some(key) = in_flight {
                    self.finish_attempt(key, Ending::Undone, Via::Unknown)?;
                }
            }
            Action::Timer { token, at } => {
                let incarnation = self.gateways[gateway].incarnation;
                self.schedule(at.max(self.now + 1), ScheduledEvent::Timer { gateway, incarnation, token });
            }
            Action::Subscribe { .. } | Action::Connections { .. } | Action::Share(_) => {}
        }
        Ok(())
    }

    /// Gives a client the final answer, a refusal or a failure; the client may retry.
    fn final_answer(&mut self, id: u64, refused: bool, advice: Time) -> Result<(), Box<Breach>> {
        self.oracle.final_answer_sent(id, refused, self.now)?;
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.ended) else { return Ok(()) };
        request.ended = true;
        let (client_request, counted, in_flight, never_sent) =
            (request.client_request, request.counted, request.in_flight, request.within_quota.is_none());
        let plan = &self.scenario.plans[client_request.plan];
        let customer = &mut self.customers[client_request.plan][client_request.customer as usize];
        let refused_with_quota = refused && never_sent && customer.has_half_quota(plan, self.now);
        if refused_with_quota {
            let second = self.second();
            report::count(&mut self.report.quota, second, 3);
        }
        if counted && refused {
            self.report.refused += 1;
            self.report.refused_with_room += u64::from(refused_with_quota);
        } else if counted {
            self.report.failed += 1;
        }
        if let Some(key) = in_flight {
            self.finish_attempt(key, Ending::Undone, Via::Unknown)?;
        }
        self.schedule_client_retry(client_request, advice);
        Ok(())
    }

    /// Returns the ids of a gateway's requests that have not ended, in ascending order.
    fn open_requests(&self, gateway: usize) -> Vec<u64> {
        let open = self.requests.iter().filter(|(_, request)| request.gateway == gateway && !request.ended);
        let mut ids: Vec<u64> = open.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Stops a gateway for a time; it then handles all events that arrived meanwhile.
    pub(super) fn pause_gateway(&mut self, n: usize, span: Time) {
        self.open_requests(n).into_iter().for_each(|id| self.oracle.waive_deadline(id));
        let until = self.now + span;
        let state = &mut self.gateways[n];
        state.paused_until = state.paused_until.max(until);
    }

    /// Kills a gateway, which loses its state, and schedules its restart.
    pub(super) fn gateway_down(&mut self, n: usize) {
        let state = &mut self.gateways[n];
        if !state.up {
            return;
        }
        state.up = false;
        state.incarnation += 1;
        state.pending.clear();
        state.next_round = None;
        state.idle.iter_mut().for_each(Vec::clear);
        state.busy.fill(0);
        // Open requests are lost; their clients may retry them.
        for id in self.open_requests(n) {
            self.oracle.request_abandoned(id);
            let Some(request) = self.requests.remove(&id) else { continue };
            self.report.gone += u64::from(request.counted);
            if let Some(a) = request.in_flight.and_then(|key| self.attempts.get_mut(&key)) {
                a.closed = true;
            }
            self.schedule_client_retry(request.client_request, 0);
        }
        self.schedule(self.now + GATEWAY_RESTART_NS, ScheduledEvent::GatewayUp { gateway: n });
    }

    /// Starts a killed gateway with a new decider and the full server list.
    pub(super) fn gateway_up(&mut self, n: usize) {
        let seed = self.rng.random();
        let state = &self.gateways[n];
        let settings = self.scenario.settings(n as u32, state.zone as u32);
        let decider = (self.new_decider)(settings, seed, self.now);
        let state = &mut self.gateways[n];
        state.decider = decider;
        state.up = true;
        state.announced.fill(None);
        self.send_full_list(n);
    }
}
