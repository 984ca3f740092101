//! Checks each rule as a play goes, from what goes out and what was told, knowing nothing of why.

use crate::units::{ANSWER_SLACK_NS, DRAIN_GRACE_NS, START_NS};
use gateway_decisions::{Effect, Ending, Group, Time};
use std::collections::HashMap;
use std::fmt;

/// The rules of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rule {
    /// Each request taken gets exactly one final answer while its client waits.
    OneAnswer,
    /// Never two attempts out at once, and no more than are allowed.
    Attempts,
    /// The class decides what may be sent again, or refused, once it may have run.
    Effects,
    /// Nothing new to a server that was told draining or gone, but for the grace.
    Drains,
    /// Only to servers that the list has named.
    Listed,
    /// Only for a request that a client sent.
    Invented,
    /// Units sent on stay under the plan's ceiling, over all gateways.
    Ceiling,
    /// Cold servers are not pushed over.
    Cold,
}

/// A rule that was broken: when, and the shortest trace that shows it.
#[derive(Clone, Debug)]
pub struct Breach {
    pub rule: Rule,
    pub at: Time,
    pub what: String,
    pub trace: Vec<String>,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:.6} s: rule {:?} is broken: {}", seconds(self.at), self.rule, self.what)?;
        self.trace.iter().try_for_each(|line| writeln!(f, "  {line}"))
    }
}

/// What the oracle knows of a request at one gateway.
struct Case {
    class: usize,
    deadline: Time,
    /// Its gateway stood still while it was open: no answer in time is owed.
    excused: bool,
    ended: bool,
    out: Option<u32>,
    attempts: u32,
    /// The first attempt that may have run: when, and its server's zone and cell.
    ran: Option<(Time, u32, u32)>,
    sent_to: Option<(Time, u32, u32)>,
    trace: Vec<String>,
}

/// What a class allows.
#[derive(Clone, Copy)]
pub struct Allowed {
    pub effect: Effect,
    pub group: Group,
    pub key_ttl: Time,
}

/// A customer's ceiling.
struct Ceiling {
    level: f64,
    at: Time,
}

pub struct Oracle {
    classes: Vec<Allowed>,
    tries: u32,
    cases: HashMap<u64, Case>,
    ceilings: HashMap<u32, Ceiling>,
}

type Checked = Result<(), Box<Breach>>;

/// Since the begin of the play.
fn seconds(at: Time) -> f64 {
    at.saturating_sub(START_NS) as f64 / 1e9
}

impl Oracle {
    pub fn new(classes: Vec<Allowed>, tries: u32) -> Self {
        Oracle { classes, tries, cases: HashMap::new(), ceilings: HashMap::new() }
    }

    fn breach(rule: Rule, at: Time, what: String, trace: &[String]) -> Checked {
        Err(Box::new(Breach { rule, at, what, trace: trace.to_vec() }))
    }

    /// A client's request has come to a gateway.
    pub fn request_received(&mut self, id: u64, class: usize, deadline: Time, gateway: usize, now: Time) {
        let trace =
            vec![format!("{:.6} request {id:x} of class {class} comes to gateway {gateway}", seconds(now))];
        let case = Case {
            class,
            deadline,
            excused: false,
            ended: false,
            out: None,
            attempts: 0,
            ran: None,
            sent_to: None,
            trace,
        };
        self.cases.insert(id, case);
    }

    /// An attempt goes out. `told` is what the gateway was last told of the server: none if the list never named it,
    /// else since when it is to get nothing new.
    pub fn attempt_sent(
        &mut self,
        id: u64,
        server: &str,
        place: (u32, u32),
        told: Option<Option<Time>>,
        now: Time,
    ) -> Checked {
        let Some(case) = self.cases.get_mut(&id) else {
            return Self::breach(
                Rule::Invented,
                now,
                format!("an attempt for {id:x}, which no client sent"),
                &[],
            );
        };
        case.trace.push(format!("{:.6} attempt {} to {server}", seconds(now), case.attempts));
        let trace = &case.trace;
        if case.ended {
            return Self::breach(Rule::OneAnswer, now, format!("an attempt for {id:x} after its end"), trace);
        }
        if case.out.is_some() {
            return Self::breach(
                Rule::Attempts,
                now,
                format!("two attempts of {id:x} are out at once"),
                trace,
            );
        }
        if case.attempts >= self.tries {
            return Self::breach(
                Rule::Attempts,
                now,
                format!("more than {} attempts of {id:x}", self.tries),
                trace,
            );
        }
        let class = self.classes[case.class];
        if let Some((at, zone, cell)) = case.ran {
            let near = match class.group {
                Group::All => true,
                Group::Zone => place.0 == zone,
                Group::Cell => place.1 == cell,
            };
            let fits = match class.effect {
                Effect::Safe => true,
                Effect::Keyed => near && now <= at + class.key_ttl,
                Effect::Unsafe => false,
            };
            if !fits {
                return Self::breach(
                    Rule::Effects,
                    now,
                    format!("{id:x} is sent again, and may have run"),
                    trace,
                );
            }
        }
        match told {
            None => {
                return Self::breach(Rule::Listed, now, format!("{server} was never listed there"), trace)
            }
            Some(Some(since)) if now > since + DRAIN_GRACE_NS => {
                let what = format!("{server} was told to get nothing new at {:.6}", seconds(since));
                return Self::breach(Rule::Drains, now, what, trace);
            }
            _ => {}
        }
        case.out = Some(case.attempts);
        case.attempts += 1;
        case.sent_to = Some((now, place.0, place.1));
        Ok(())
    }

    /// An attempt is over for its gateway.
    pub fn attempt_ended(&mut self, id: u64, ending: Ending, now: Time) {
        let Some(case) = self.cases.get_mut(&id) else { return };
        case.trace.push(format!("{:.6} attempt ends: {ending:?}", seconds(now)));
        case.out = None;
        if !matches!(ending, Ending::Full | Ending::NoRoute | Ending::Stale) {
            case.ran = case.ran.or(case.sent_to);
        }
    }

    /// The final answer; a refusal if `refused`.
    pub fn final_answer_sent(&mut self, id: u64, refused: bool, now: Time) -> Checked {
        let Some(case) = self.cases.get_mut(&id) else {
            return Self::breach(
                Rule::Invented,
                now,
                format!("an answer to {id:x}, which no client sent"),
                &[],
            );
        };
        // As the wire has it: what is said of a request that is over is disregarded.
        if std::mem::replace(&mut case.ended, true) {
            return Ok(());
        }
        case.trace.push(format!(
            "{:.6} final answer{}",
            seconds(now),
            if refused { ": refused" } else { "" }
        ));
        if now > case.deadline + ANSWER_SLACK_NS && !case.excused {
            let what = format!("{id:x} is answered after its time, {:.6}", seconds(case.deadline));
            return Self::breach(Rule::OneAnswer, now, what, &case.trace);
        }
        let class = self.classes[case.class];
        let may_have_run = case.ran.is_some() || case.out.is_some();
        let free = class.effect == Effect::Safe || class.effect == Effect::Keyed && class.group == Group::All;
        if refused && may_have_run && !free {
            return Self::breach(
                Rule::Effects,
                now,
                format!("{id:x} is refused, and may have run"),
                &case.trace,
            );
        }
        Ok(())
    }

    /// Its gateway stands still while the request is open.
    pub fn waive_deadline(&mut self, id: u64) {
        if let Some(case) = self.cases.get_mut(&id) {
            case.excused = true;
        }
    }

    /// Nobody waits for the request any more, or its gateway is gone.
    pub fn request_abandoned(&mut self, id: u64) {
        self.cases.remove(&id);
    }

    /// The time of a request is over, with its slack.
    pub fn deadline_reached(&mut self, id: u64, now: Time) -> Checked {
        if self.cases.get(&id).is_some_and(|case| case.excused && !case.ended) {
            // Its gateway may still end it when it goes on.
            return Ok(());
        }
        match self.cases.remove(&id) {
            Some(case) if !case.ended => {
                Self::breach(Rule::OneAnswer, now, format!("{id:x} never got a final answer"), &case.trace)
            }
            _ => Ok(()),
        }
    }

    /// A request's first attempt takes its units from the customer's ceiling, which fills by `rate` up to `burst`.
    /// `slack` is what it may fall below 0.
    pub fn ceiling_units_taken(
        &mut self,
        customer: u32,
        units: f64,
        (rate, burst, slack): (f64, f64, f64),
        now: Time,
    ) -> Checked {
        let ceiling = self.ceilings.entry(customer).or_insert(Ceiling { level: burst, at: now });
        ceiling.level = (ceiling.level + (now - ceiling.at) as f64 / 1e9 * rate).min(burst) - units;
        ceiling.at = now;
        if ceiling.level < -slack {
            let what = format!("customer {customer} is {:.1} units over its ceiling", -ceiling.level);
            return Self::breach(Rule::Ceiling, now, what, &[]);
        }
        Ok(())
    }

    /// A cold server was pushed over; `told` is the part of its late work that came from gateways that knew of its start.
    pub fn server_collapsed(server: &str, told: f64, now: Time) -> Checked {
        if told >= 2.0 / 3.0 {
            let part = told * 100.0;
            return Self::breach(
                Rule::Cold,
                now,
                format!("{server} fell over; {part:.0}% came from those told"),
                &[],
            );
        }
        Ok(())
    }
}
