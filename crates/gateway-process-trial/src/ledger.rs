//! What was seen from outside, in the order in which it happened, for the oracle. Relays and stand-ins see an event a little
//! after it, so all is kept with its time and told to the oracle at the end, each with the time that the protocol page allows
//! beside the rules.

use gateway_decisions::{Ending, Time};
use gateway_simulation::oracle::{Allowed, Oracle};
use gateway_simulation::scenario::Scenario;
use gateway_simulation::Breach;
use std::collections::HashMap;

/// Every time limit is so much longer where there are sockets.
pub const SOCKETS: Time = 50_000_000;
/// What a customer's ceiling may fall below 0: two units, and what the rate gives in the time that the rules allow.
const CEILING: (f64, f64) = (2.0, 0.15);

#[derive(Clone, Debug)]
pub enum Seen {
    /// A gateway's process begins, and what the list that it is given names.
    Born { gateway: usize, listed: Vec<usize> },
    /// A client's request came to a gateway whole.
    Asked { id: u64, class: usize, gateway: usize },
    /// An attempt came whole to a server.
    Sent { id: u64, server: usize, gateway: usize },
    /// The attempt that came at that time is over.
    Over { id: u64, sent: Time, ending: Ending },
    /// A client has its answer.
    Answered { id: u64, refused: bool },
    /// No answer is owed in time: the client left, or the gateway was killed or stood still while the request was open.
    Excused { id: u64 },
    /// The time of a request is over.
    Due { id: u64 },
    /// A gateway was told of a server: whether it wants something new.
    Told { gateway: usize, server: usize, wanted: bool },
    /// A cold server was pushed over; the part of its work from gateways that were told of its start.
    Fell { server: usize, told: f64 },
    /// The units of a request are taken.
    Drawn { plan: usize, customer: u32 },
    /// Something that no client asked for came to a server.
    Invented { id: u64, server: usize },
}

#[derive(Default)]
pub struct Ledger {
    seen: Vec<(Time, Seen)>,
}

impl Ledger {
    pub fn note(&mut self, at: Time, seen: Seen) {
        self.seen.push((at, seen));
    }

    /// The play begins so much later than what was noted took it to.
    pub fn begin(&mut self, later: Time) {
        self.seen.iter_mut().for_each(|(at, _)| *at -= later);
    }

    /// Tells the oracle all of it: the first rule that was broken.
    pub fn check(mut self, scenario: &Scenario) -> Result<(), Box<Breach>> {
        for (at, seen) in &mut self.seen {
            match seen {
                // Its gateway knew of it sooner than it was seen.
                Seen::Over { sent, .. } => *at = at.saturating_sub(SOCKETS).max(*sent),
                Seen::Due { .. } => *at += SOCKETS,
                Seen::Told { wanted: false, .. } => *at += SOCKETS,
                _ => {}
            }
        }
        // What is of one time stays in the order in which it was seen.
        self.seen.sort_by_key(|(at, _)| *at);
        let settings = scenario.settings(0, 0);
        let classes = settings.classes.iter().map(|c| Allowed {
            effect: c.effect,
            group: c.group,
            key_ttl: c.key_ttl + SOCKETS,
        });
        let mut oracle = Oracle::new(classes.collect(), scenario.gateways.tries);
        let mut told: HashMap<(usize, usize), Option<Time>> = HashMap::new();
        for (now, seen) in self.seen {
            match seen {
                Seen::Born { gateway, listed } => {
                    told.retain(|(of, _), _| *of != gateway);
                    told.extend(listed.into_iter().map(|server| ((gateway, server), None)));
                }
                Seen::Asked { id, class, gateway } => {
                    let deadline = now + SOCKETS + settings.classes[class].deadline;
                    oracle.request_received(id, class, deadline, gateway, now);
                }
                Seen::Sent { id, server, gateway } => {
                    let place = (scenario.zone_of_server(server) as u32, scenario.cell_of_server(server));
                    let told = told.get(&(gateway, server)).copied();
                    oracle.attempt_sent(id, &format!("s-{server}"), place, told, now)?;
                }
                Seen::Over { id, ending, .. } => oracle.attempt_ended(id, ending, now),
                Seen::Answered { id, refused } => oracle.final_answer_sent(id, refused, now)?,
                Seen::Excused { id } => oracle.waive_deadline(id),
                Seen::Due { id } => oracle.deadline_reached(id, now)?,
                Seen::Told { gateway, server, wanted: true } => {
                    told.insert((gateway, server), None);
                }
                Seen::Told { gateway, server, wanted: false } => {
                    // Told so twice, it was told so the first time.
                    told.entry((gateway, server)).or_insert(None).get_or_insert(now);
                }
                Seen::Fell { server, told } => Oracle::server_collapsed(&format!("s-{server}"), told, now)?,
                Seen::Drawn { plan, customer } => {
                    let p = &scenario.plans[plan];
                    if p.ceiling_rate > 0.0 {
                        let slack = CEILING.0 + p.ceiling_rate * CEILING.1;
                        let number = (plan as u32) << 24 | customer;
                        let ceiling = (p.ceiling_rate, p.ceiling_burst, slack);
                        oracle.ceiling_units_taken(number, 1.0, ceiling, now)?;
                    }
                }
                Seen::Invented { id, server } => {
                    oracle.attempt_sent(id, &format!("s-{server}"), (0, 0), Some(None), now)?;
                }
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
