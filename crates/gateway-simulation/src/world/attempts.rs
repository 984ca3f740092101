//! Attempts: sending to a server, arrival and work there, and their result at the gateway.

use crate::customer::ClientRequest;
use crate::oracle::{Breach, Oracle};
use crate::report::{self, flow};
use crate::scenario::{Fault, Trouble};
use crate::server::Admission;
use crate::units::{ns, MS, SECOND, START_NS};
use crate::world::state::{Attempt, ScheduledEvent};
use crate::world::World;
use gateway_decisions::{AttemptEnd, Ending, Event, Name, Time, Via};
use rand::Rng;

/// A customer's ceiling may fall below 0 by two units plus the units that the ceiling's rate adds in the
/// time that the rules allow.
const CEILING_SLACK_S: f64 = 0.15;
const CEILING_SLACK_UNITS: f64 = 2.0;

impl World<'_> {
    /// Sends an attempt of request `id` to a server; `attempt_deadline` is 0 if only the request's deadline
    /// limits the attempt.
    pub(super) fn send(
        &mut self,
        gateway: usize,
        id: u64,
        server: &Name,
        attempt_deadline: Time,
    ) -> Result<(), Box<Breach>> {
        let now = self.now;
        let server_index = self.server_indices.get(server).copied();
        let announced = server_index.and_then(|n| self.gateways[gateway].announced[n]);
        let location = server_index.map_or((0, 0), |n| (self.servers[n].zone as u32, self.servers[n].cell));
        self.oracle.attempt_sent(id, server, location, announced, now)?;
        let is_cut_off = server_index.is_some_and(|n| self.is_cut_off(gateway, n, true));
        let (Some(n), Some(request)) = (server_index, self.requests.get_mut(&id)) else { return Ok(()) };
        let (client_request, counted, number, deadline) =
            (request.client_request, request.counted, request.attempts, request.deadline);
        request.attempts += 1;
        let key = self.next_id;
        self.next_id += 1;
        request.in_flight = Some(key);
        let first = request.within_quota.is_none();
        if first {
            let customer = &mut self.customers[client_request.plan][client_request.customer as usize];
            let within = customer.charge(&self.scenario.plans[client_request.plan], now);
            request.within_quota = Some(within);
            self.record_first_attempt(client_request, counted, within)?;
        }
        let second = self.second();
        report::count(&mut self.report.flow, second, flow::ATTEMPTS);
        if first {
            report::count(&mut self.report.flow, second, flow::FIRST);
        }
        if !self.servers[n].up || self.servers[n].model.refusing || is_cut_off {
            self.futile_attempts.count(&mut self.report.flow, second, n);
        }
        let attempt = self.connect(gateway, id, n, client_request.class, number, counted);
        let (outbound, inbound) = (self.travel_time(gateway, n, true), self.travel_time(gateway, n, false));
        let travel = if attempt.new_connection { 2 * outbound + inbound } else { outbound };
        self.attempts.insert(key, attempt);
        self.schedule(now + travel, ScheduledEvent::AttemptArrival { attempt: key });
        let expiry = if attempt_deadline == 0 { deadline } else { attempt_deadline.min(deadline) };
        self.schedule(expiry, ScheduledEvent::AttemptExpiry { attempt: key });
        Ok(())
    }

    /// Counts the first attempt of a request and checks the customer's ceiling; `within` tells whether the
    /// request was within its customer's quota.
    fn record_first_attempt(
        &mut self,
        client_request: ClientRequest,
        counted: bool,
        within: bool,
    ) -> Result<(), Box<Breach>> {
        let (plan, second) = (&self.scenario.plans[client_request.plan], self.second());
        report::count(&mut self.report.quota, second, 0);
        if !within {
            report::count(&mut self.report.quota, second, 1);
        }
        if counted {
            self.report.passed += 1;
            self.report.beyond += u64::from(!within);
        }
        if plan.ceiling_rate > 0.0 {
            let slack = CEILING_SLACK_UNITS + plan.ceiling_rate * CEILING_SLACK_S;
            let customer_key = (client_request.plan as u32) << 24 | client_request.customer;
            self.oracle.ceiling_units_taken(
                customer_key,
                1.0,
                (plan.ceiling_rate, plan.ceiling_burst, slack),
                self.now,
            )?;
        }
        Ok(())
    }

    /// Returns attempt `number` of a request, on an idle connection to server `n` or a new one.
    fn connect(
        &mut self,
        gateway: usize,
        id: u64,
        n: usize,
        class: usize,
        number: u32,
        counted: bool,
    ) -> Attempt {
        let now = self.now;
        let work = self.scenario.classes[class].work(&mut self.rng);
        let idle_time = ns(self.scenario.servers.idle_s, SECOND);
        let current_incarnation = self.servers[n].incarnation;
        let state = &mut self.gateways[gateway];
        // The most recently used connection is taken first; connections that exceed the idle time are closed.
        state.idle[n].retain(|(_, since)| now < since + idle_time);
        let reused = state.idle[n].pop();
        state.busy[n] += 1;
        let (zone, incarnation) = (state.zone, state.incarnation);
        let crosses = zone != self.servers[n].zone;
        if counted {
            self.report.attempts += 1;
            self.report.crossings += u64::from(crosses);
            self.report.connections += u64::from(reused.is_none());
        }
        Attempt {
            request: id,
            gateway,
            incarnation,
            number,
            server: n,
            server_incarnation: reused.map_or(current_incarnation, |(incarnation, _)| incarnation),
            sent_at: now,
            new_connection: reused.is_none(),
            work,
            closed: false,
            reached_server: false,
        }
    }

    /// Returns the one-way latency between a gateway and a server, towards the server if `to_server`, with
    /// the delays of active faults.
    pub(super) fn travel_time(&self, gateway: usize, server: usize, to_server: bool) -> Time {
        let network = &self.scenario.network;
        let near = self.gateways[gateway].zone == self.servers[server].zone;
        let added_ms = self
            .faults_between(Trouble::Delay, gateway, server, to_server)
            .map(|fault| fault.factor)
            .sum::<f64>();
        ns(if near { network.near_ms } else { network.far_ms } + added_ms, MS)
    }

    /// Returns the active faults of a kind on the path from a gateway to a server, or on the path back.
    fn faults_between(
        &self,
        kind: Trouble,
        gateway: usize,
        server: usize,
        to_server: bool,
    ) -> impl Iterator<Item = &Fault> {
        let affecting =
            self.link_faults.iter().filter(move |(_, link)| link.affects_server(gateway, server, to_server));
        affecting.map(|(n, _)| &self.scenario.faults[*n]).filter(move |fault| fault.kind == kind)
    }

    /// Returns whether no data passes from a gateway to a server, or back if not `to_server`.
    fn is_cut_off(&self, gateway: usize, server: usize, to_server: bool) -> bool {
        self.servers[server].silent
            || self.faults_between(Trouble::Cut, gateway, server, to_server).next().is_some()
    }

    /// Handles the arrival of an attempt at its server.
    pub(super) fn attempt_arrives(&mut self, key: u64) -> Result<(), Box<Breach>> {
        let Some(a) = self.attempts.get(&key) else { return Ok(()) };
        if a.closed {
            // The gateway gave up before the last byte arrived, so the server never received the request.
            self.attempts.remove(&key);
            return Ok(());
        }
        let (n, gateway, new_connection, work, server_incarnation) =
            (a.server, a.gateway, a.new_connection, a.work, a.server_incarnation);
        // Connection establishment needs both directions.
        if self.is_cut_off(gateway, n, true) || new_connection && self.is_cut_off(gateway, n, false) {
            return Ok(());
        }
        let return_time = self.travel_time(gateway, n, false);
        let reset = self.faults_between(Trouble::Reset, gateway, n, true).next().is_some();
        let server = &mut self.servers[n];
        let via = if new_connection { Via::New } else { Via::Reused };
        let connection_failed = |ending, via| ScheduledEvent::AttemptResult { attempt: key, ending, via };
        if reset || !server.up || server.incarnation != server_incarnation {
            let result = match (new_connection, server.up && !reset) {
                (false, _) => connection_failed(Ending::Cut, Via::Reused),
                (true, _) => connection_failed(Ending::NoRoute, Via::Refused),
            };
            self.schedule(self.now + return_time, result);
            return Ok(());
        }
        if let Some(a) = self.attempts.get_mut(&key) {
            a.reached_server = true;
        }
        let start_announced = self.gateways[gateway].announced_start[n] == server.started;
        server.work[0] += work as f64;
        server.work[1] += if start_announced { work as f64 } else { 0.0 };
        let handshake = if new_connection { ns(self.scenario.servers.handshake_ms, MS) } else { 0 };
        let admission = server.model.admit(key, work + handshake, self.now);
        if server.model.collapsed && !server.collapse_reported {
            server.collapse_reported = true;
            let (name, informed_share) = (server.name.clone(), server.work[1] / server.work[0].max(1.0));
            self.report.fallen += 1;
            Oracle::server_collapsed(&name, informed_share, self.now)?;
        }
        let (server, incarnation) = (n, self.servers[n].incarnation);
        match admission {
            Admission::Started(at) => {
                self.schedule(at, ScheduledEvent::WorkDone { server, incarnation, attempt: key });
            }
            Admission::Queued => {}
            Admission::Rejected => {
                let second = self.second();
                report::count(&mut self.report.flow, second, flow::REJECTED);
                self.schedule(
                    self.now + return_time,
                    ScheduledEvent::AttemptResult { attempt: key, ending: Ending::Full, via },
                );
            }
        }
        Ok(())
    }

    /// Handles the end of a server's work on an attempt, unless the server has restarted since.
    pub(super) fn work_done(&mut self, n: usize, incarnation: u32, key: u64) {
        let server = &mut self.servers[n];
        if server.incarnation != incarnation || !server.up {
            return;
        }
        if let Some((next, at)) = server.model.complete(self.now) {
            self.schedule(at, ScheduledEvent::WorkDone { server: n, incarnation, attempt: next });
        }
        let Some(a) = self.attempts.get(&key) else { return };
        let (gateway, closed, new_connection, work) = (a.gateway, a.closed, a.new_connection, a.work);
        self.finished_work[1] += work as f64;
        if closed {
            self.attempts.remove(&key);
            return;
        }
        if self.is_cut_off(gateway, n, false) {
            return;
        }
        let failure_rate = self.servers[n].failure_rate;
        let failed = failure_rate > 0.0 && self.rng.random::<f64>() < failure_rate;
        let ending = if failed { Ending::Fault } else { Ending::Pass };
        let via = if new_connection { Via::New } else { Via::Reused };
        self.schedule(
            self.now + self.travel_time(gateway, n, false),
            ScheduledEvent::AttemptResult { attempt: key, ending, via },
        );
    }

    /// Handles the arrival of an attempt's answer or failure at its gateway.
    pub(super) fn attempt_result(&mut self, key: u64, ending: Ending, via: Via) -> Result<(), Box<Breach>> {
        let Some(a) = self.attempts.get(&key) else { return Ok(()) };
        if a.closed {
            self.attempts.remove(&key);
            return Ok(());
        }
        let (gateway, incarnation, n, server_incarnation) =
            (a.gateway, a.incarnation, a.server, a.server_incarnation);
        let state = &mut self.gateways[gateway];
        if state.incarnation == incarnation && matches!(ending, Ending::Pass | Ending::Fault | Ending::Full) {
            state.idle[n].push((server_incarnation, self.now));
        }
        if ending == Ending::Pass {
            self.finished_work[0] += self.attempts[&key].work as f64;
        }
        self.finish_attempt(key, ending, via)?;
        self.attempts.remove(&key);
        Ok(())
    }

    /// Handles the deadline of an attempt.
    pub(super) fn attempt_expires(&mut self, key: u64) -> Result<(), Box<Breach>> {
        let Some(a) = self.attempts.get(&key).filter(|a| !a.closed) else { return Ok(()) };
        // Nothing was written to a connection that was never established.
        let not_connected = a.new_connection && !a.reached_server;
        let counted = self.requests.get(&a.request).is_some_and(|h| h.counted);
        self.report.late_ends += u64::from(counted);
        self.finish_attempt(key, if not_connected { Ending::NoRoute } else { Ending::Late }, Via::Unknown)
    }

    /// Ends an attempt for its gateway; its server may still be working on it.
    pub(super) fn finish_attempt(&mut self, key: u64, ending: Ending, via: Via) -> Result<(), Box<Breach>> {
        let Some(a) = self.attempts.get_mut(&key) else { return Ok(()) };
        a.closed = true;
        let (id, gateway, incarnation, number, n, sent_at) =
            (a.request, a.gateway, a.incarnation, a.number, a.server, a.sent_at);
        if self.gateways[gateway].incarnation != incarnation {
            return Ok(());
        }
        let now = self.now;
        let state = &mut self.gateways[gateway];
        state.busy[n] = state.busy[n].saturating_sub(1);
        let open_connections = state.idle[n].len() as u32 + state.busy[n];
        self.oracle.attempt_ended(id, ending, now);
        let mut metered = None;
        let mut request_finished = true;
        let mut served = None;
        if let Some(request) = self.requests.get_mut(&id) {
            request.in_flight = None;
            let client_request = request.client_request;
            let answered = matches!(ending, Ending::Pass | Ending::Fault | Ending::Full);
            metered = self.customers[client_request.plan][client_request.customer as usize]
                .metered
                .filter(|_| answered);
            if ending == Ending::Pass && !request.ended {
                request.ended = true;
                served = Some((client_request, request.arrived_at, request.counted, request.within_quota));
            }
            request_finished = request.ended;
            if request.counted && ending == Ending::Full {
                self.report.turned_away += 1;
            }
        }
        if let Some((client_request, at, counted, within)) = served {
            self.oracle.final_answer_sent(id, false, now)?;
            self.record_served(client_request, at, counted, within);
        }
        let server = self.servers[n].name.clone();
        let end = AttemptEnd {
            id,
            attempt: number,
            server,
            ending,
            request_finished,
            body_discarded: false,
            elapsed: now - sent_at,
            actual_units: 0.0,
            metered_share: metered,
            load: None,
            via,
            open_connections,
        };
        self.push_event(gateway, incarnation, Event::AttemptEnd(end));
        Ok(())
    }

    /// Counts a request that was served, in time or late.
    fn record_served(
        &mut self,
        client_request: ClientRequest,
        arrived_at: Time,
        counted: bool,
        within: Option<bool>,
    ) {
        if !counted {
            return;
        }
        let class = &self.scenario.classes[client_request.class];
        let response_time = self.now - arrived_at;
        self.response_times.saturating_record((response_time / 1000).max(1));
        if response_time > ns(class.aim_ms, MS) {
            self.report.late += 1;
            return;
        }
        self.report.on_time += 1;
        let second = ((arrived_at - START_NS) / 1_000_000_000) as usize;
        self.report.seconds[second][1] += 1;
        report::add(&mut self.report.work, Some(second), 1, class.work_ms);
        if within == Some(true) {
            self.value[0] += class.points * self.scenario.plans[client_request.plan].worth;
        }
    }
}
