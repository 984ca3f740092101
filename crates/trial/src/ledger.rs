//! What was seen from outside, in the order in which it happened, for the oracle. Relays and stand-ins see an event a little
//! after it, so all is kept with its time and told to the oracle at the end, each with the time that the protocol page allows
//! beside the rules.

use granitehub::{Ending, Time};
use lab::oracle::{Allowed, Oracle};
use lab::scenario::Scenario;
use lab::Breach;
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
                    oracle.asked(id, class, deadline, gateway, now);
                }
                Seen::Sent { id, server, gateway } => {
                    let place = (scenario.zone_of_server(server) as u32, scenario.cell_of_server(server));
                    let told = told.get(&(gateway, server)).copied();
                    oracle.sent(id, &format!("s-{server}"), place, told, now)?;
                }
                Seen::Over { id, ending, .. } => oracle.over(id, ending, now),
                Seen::Answered { id, refused } => oracle.answered(id, refused, now)?,
                Seen::Excused { id } => oracle.excuse(id),
                Seen::Due { id } => oracle.due(id, now)?,
                Seen::Told { gateway, server, wanted: true } => {
                    told.insert((gateway, server), None);
                }
                Seen::Told { gateway, server, wanted: false } => {
                    // Told so twice, it was told so the first time.
                    told.entry((gateway, server)).or_insert(None).get_or_insert(now);
                }
                Seen::Fell { server, told } => Oracle::fell(&format!("s-{server}"), told, now)?,
                Seen::Drawn { plan, customer } => {
                    let p = &scenario.plans[plan];
                    if p.ceiling_rate > 0.0 {
                        let slack = CEILING.0 + p.ceiling_rate * CEILING.1;
                        let number = (plan as u32) << 24 | customer;
                        let ceiling = (p.ceiling_rate, p.ceiling_burst, slack);
                        oracle.drawn(number, 1.0, ceiling, now)?;
                    }
                }
                Seen::Invented { id, server } => {
                    oracle.sent(id, &format!("s-{server}"), (0, 0), Some(None), now)?;
                }
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use lab::Rule;

    const MS: Time = 1_000_000;
    const AT: Time = lab::scenario::START;

    /// Of the catalogue's `calm`: classes look (safe), file (keyed, by zone), book (unsafe).
    fn rule(seen: &[(u64, Seen)]) -> Option<Rule> {
        let mut scenario = Scenario::from_value(lab::find("calm").unwrap()).unwrap();
        (scenario.plans[0].ceiling_rate, scenario.plans[0].ceiling_burst) = (10.0, 1.0);
        let mut ledger = Ledger::default();
        ledger.note(AT, Seen::Born { gateway: 0, listed: vec![0, 1] });
        for (ms, seen) in seen {
            ledger.note(AT + ms * MS, seen.clone());
        }
        ledger.check(&scenario).err().map(|breach| breach.rule)
    }

    fn asked(class: usize) -> (u64, Seen) {
        (100, Seen::Asked { id: 1, class, gateway: 0 })
    }

    fn sent(ms: u64, server: usize) -> (u64, Seen) {
        (ms, Seen::Sent { id: 1, server, gateway: 0 })
    }

    fn over(ms: u64, ending: Ending) -> (u64, Seen) {
        (ms, Seen::Over { id: 1, sent: AT + 110 * MS, ending })
    }

    fn answered(ms: u64, refused: bool) -> (u64, Seen) {
        (ms, Seen::Answered { id: 1, refused })
    }

    #[test]
    fn each_rule_that_is_broken_is_found_with_the_allowance_for_sockets() {
        let fine = [asked(0), sent(110, 0), over(150, Ending::Cut), sent(151, 1), over(200, Ending::Pass)];
        assert_eq!(rule(&[&fine[..], &[answered(201, false), (1700, Seen::Due { id: 1 })]].concat()), None);
        assert_eq!(rule(&[&fine[..], &[(1700, Seen::Due { id: 1 })]].concat()), Some(Rule::OneAnswer));
        assert_eq!(rule(&[&fine[..4], &[answered(1700, false)]].concat()), Some(Rule::OneAnswer), "late");
        let excused =
            [asked(0), (120, Seen::Excused { id: 1 }), (1700, Seen::Due { id: 1 }), answered(4000, false)];
        assert_eq!(rule(&excused), None, "its gateway stood still");
        // The end of the first is seen 30 ms after the second, or 80 ms after it.
        assert_eq!(rule(&[asked(0), sent(110, 0), sent(120, 1), over(150, Ending::Undone)]), None);
        assert_eq!(
            rule(&[asked(0), sent(110, 0), sent(120, 1), over(200, Ending::Undone)]),
            Some(Rule::Attempts)
        );
        let often = [110, 200, 300, 400].map(|ms| [sent(ms, 0), over(ms + 10, Ending::Full)]);
        assert_eq!(rule(&[&[asked(0)], often.as_flattened()].concat()), Some(Rule::Attempts));
        assert_eq!(
            rule(&[asked(2), sent(110, 0), over(120, Ending::Cut), sent(300, 1)]),
            Some(Rule::Effects),
            "what must not run twice"
        );
        assert_eq!(
            rule(&[asked(2), sent(110, 0), over(120, Ending::Cut), answered(300, true)]),
            Some(Rule::Effects)
        );
        assert_eq!(rule(&[asked(2), sent(110, 0), over(120, Ending::Full), answered(300, true)]), None);
        assert_eq!(rule(&[asked(0), sent(110, 2)]), Some(Rule::Listed));
        assert_eq!(rule(&[sent(110, 0)]), Some(Rule::Invented));
        let drained = (0, Seen::Told { gateway: 0, server: 0, wanted: false });
        assert_eq!(rule(&[drained.clone(), asked(0), sent(540, 0)]), None);
        assert_eq!(rule(&[drained, asked(0), sent(560, 0)]), Some(Rule::Drains));
        let drawn = |n| vec![(100, Seen::Drawn { plan: 0, customer: 4 }); n];
        assert_eq!(rule(&drawn(4)), None, "one, two beside it, and what the rate gives meanwhile");
        assert_eq!(rule(&drawn(5)), Some(Rule::Ceiling));
        assert_eq!(rule(&[(100, Seen::Fell { server: 0, told: 0.7 })]), Some(Rule::Cold));
        assert_eq!(rule(&[(100, Seen::Fell { server: 0, told: 0.5 })]), None);
    }
}
