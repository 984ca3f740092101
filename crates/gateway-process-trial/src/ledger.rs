//! The log of events that are visible from outside the gateways, for the oracle. Relays and stand-ins observe
//! an event a little after it happens. Events are therefore kept with their timestamps and are passed to the
//! oracle at the end, each with the time allowance that the protocol grants in addition to the rules.

use gateway_decisions::{Ending, Time};
use gateway_simulation::oracle::{Allowed, Oracle};
use gateway_simulation::scenario::Scenario;
use gateway_simulation::Breach;
use std::collections::HashMap;

/// The allowance that is added to every time limit, since events are observed through sockets.
pub const SOCKET_ALLOWANCE_NS: Time = 50_000_000;
/// How far a customer's ceiling may fall below 0: two units, plus the units that the rate grants in 0.15 s,
/// the time that the rules allow.
const CEILING_SLACK: (f64, f64) = (2.0, 0.15);

/// An event that the oracle judges.
#[derive(Clone, Debug)]
pub enum Event {
    /// A gateway process started; its initial list names these servers.
    GatewayStarted { gateway: usize, listed: Vec<usize> },
    /// A client sent a request to a gateway.
    RequestSent { id: u64, class: usize, gateway: usize },
    /// A complete attempt arrived at a server.
    AttemptReceived { id: u64, server: usize, gateway: usize },
    /// The attempt that arrived at `received_at` ended.
    AttemptEnded { id: u64, received_at: Time, ending: Ending },
    /// A client received the answer.
    RequestAnswered { id: u64, refused: bool },
    /// The request no longer needs an answer in time: the client left, or the gateway was killed or paused
    /// while the request was open.
    RequestExcused { id: u64 },
    /// The deadline of a request passed.
    DeadlinePassed { id: u64 },
    /// A gateway received a list entry of a server; `accepts_requests` is whether the server accepts new
    /// requests.
    ServerListed { gateway: usize, server: usize, accepts_requests: bool },
    /// A cold server collapsed under load. `informed_share` is the part of its work that came from gateways
    /// which had been told of its start.
    ServerCollapsed { server: usize, informed_share: f64 },
    /// A request took its unit of the customer's quota.
    QuotaUnitTaken { plan: usize, customer: u32 },
    /// A server received an attempt that belongs to no client request.
    UnknownAttempt { id: u64, server: usize },
}

/// All events of a trial with their timestamps.
#[derive(Default)]
pub struct Ledger {
    events: Vec<(Time, Event)>,
}

impl Ledger {
    pub fn record(&mut self, at: Time, event: Event) {
        self.events.push((at, event));
    }

    /// Reduces all recorded timestamps by the time by which the start of the run moved.
    pub fn shift_earlier(&mut self, by: Time) {
        self.events.iter_mut().for_each(|(at, _)| *at -= by);
    }

    /// Passes all events to the oracle.
    ///
    /// # Errors
    ///
    /// The first rule that was broken.
    pub fn check(mut self, scenario: &Scenario) -> Result<(), Box<Breach>> {
        for (at, event) in &mut self.events {
            match event {
                // The gateway knew of the end earlier than it was observed.
                Event::AttemptEnded { received_at, .. } => {
                    *at = at.saturating_sub(SOCKET_ALLOWANCE_NS).max(*received_at);
                }
                Event::DeadlinePassed { .. } => *at += SOCKET_ALLOWANCE_NS,
                Event::ServerListed { accepts_requests: false, .. } => *at += SOCKET_ALLOWANCE_NS,
                _ => {}
            }
        }
        // The sort is stable: events with the same timestamp stay in the order in which they were observed.
        self.events.sort_by_key(|(at, _)| *at);
        let settings = scenario.settings(0, 0);
        let classes = settings.classes.iter().map(|c| Allowed {
            effect: c.effect,
            group: c.group,
            key_ttl: c.key_ttl + SOCKET_ALLOWANCE_NS,
        });
        let mut oracle = Oracle::new(classes.collect(), scenario.gateways.tries);
        let mut known_servers: HashMap<(usize, usize), Option<Time>> = HashMap::new();
        for (now, event) in self.events {
            match event {
                Event::GatewayStarted { gateway, listed } => {
                    known_servers.retain(|(of, _), _| *of != gateway);
                    known_servers.extend(listed.into_iter().map(|server| ((gateway, server), None)));
                }
                Event::RequestSent { id, class, gateway } => {
                    let deadline = now + SOCKET_ALLOWANCE_NS + settings.classes[class].deadline;
                    oracle.request_received(id, class, deadline, gateway, now);
                }
                Event::AttemptReceived { id, server, gateway } => {
                    let location = (scenario.zone_of_server(server) as u32, scenario.cell_of_server(server));
                    let known = known_servers.get(&(gateway, server)).copied();
                    oracle.attempt_sent(id, &format!("s-{server}"), location, known, now)?;
                }
                Event::AttemptEnded { id, ending, .. } => oracle.attempt_ended(id, ending, now),
                Event::RequestAnswered { id, refused } => oracle.final_answer_sent(id, refused, now)?,
                Event::RequestExcused { id } => oracle.waive_deadline(id),
                Event::DeadlinePassed { id } => oracle.deadline_reached(id, now)?,
                Event::ServerListed { gateway, server, accepts_requests: true } => {
                    known_servers.insert((gateway, server), None);
                }
                Event::ServerListed { gateway, server, accepts_requests: false } => {
                    // A repeated notice does not extend the time: the first one counts.
                    known_servers.entry((gateway, server)).or_insert(None).get_or_insert(now);
                }
                Event::ServerCollapsed { server, informed_share } => {
                    Oracle::server_collapsed(&format!("s-{server}"), informed_share, now)?;
                }
                Event::QuotaUnitTaken { plan, customer } => {
                    let p = &scenario.plans[plan];
                    if p.ceiling_rate > 0.0 {
                        let slack = CEILING_SLACK.0 + p.ceiling_rate * CEILING_SLACK.1;
                        let number = (plan as u32) << 24 | customer;
                        let ceiling = (p.ceiling_rate, p.ceiling_burst, slack);
                        oracle.ceiling_units_taken(number, 1.0, ceiling, now)?;
                    }
                }
                Event::UnknownAttempt { id, server } => {
                    oracle.attempt_sent(id, &format!("s-{server}"), (0, 0), Some(None), now)?;
                }
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
