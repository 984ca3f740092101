//! Checks the protocol's rules during a play, only from the messages that gateways send and receive, without
//! knowledge of their decisions.

use crate::units::{ANSWER_SLACK_NS, DRAIN_GRACE_NS, START_NS};
use gateway_decisions::{Effect, Ending, Group, Time};
use std::collections::HashMap;
use std::fmt;

/// The rules of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rule {
    /// Each accepted request gets exactly one final answer while its client waits.
    OneAnswer,
    /// A request has at most one attempt in flight, and no more attempts than allowed.
    Attempts,
    /// A request that may have run is sent again or refused only if its class allows that.
    Effects,
    /// A server that was announced as draining or removed gets no new attempts after the grace period.
    Drains,
    /// Attempts go only to servers that were on the list.
    Listed,
    /// Attempts and answers belong only to requests that a client sent.
    Invented,
    /// The units that all gateways together send for a customer stay under the plan's ceiling.
    Ceiling,
    /// Cold servers are not overloaded until they collapse.
    Cold,
}

/// A violation of a rule: its time, a description, and the trace of the request concerned.
#[derive(Clone, Debug)]
pub struct Breach {
    pub rule: Rule,
    pub at: Time,
    pub what: String,
    pub trace: Vec<String>,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:.6} s: rule {:?} is broken: {}", play_seconds(self.at), self.rule, self.what)?;
        self.trace.iter().try_for_each(|line| writeln!(f, "  {line}"))
    }
}

/// The oracle's state of a request at one gateway.
struct RequestState {
    class: usize,
    deadline: Time,
    /// The gateway was paused while the request was open, so no answer by the deadline is required.
    deadline_waived: bool,
    ended: bool,
    /// Number of the attempt in flight.
    in_flight: Option<u32>,
    attempts: u32,
    /// The first attempt that may have run: its time, and its server's zone and cell.
    may_have_run_at: Option<(Time, u32, u32)>,
    /// The last attempt: its time, and its server's zone and cell.
    last_attempt: Option<(Time, u32, u32)>,
    trace: Vec<String>,
}

/// The properties of a class that the rules depend on.
#[derive(Clone, Copy)]
pub struct Allowed {
    pub effect: Effect,
    pub group: Group,
    pub key_ttl: Time,
}

/// The units left under a customer's ceiling at a time.
struct Ceiling {
    level: f64,
    at: Time,
}

/// Checks the rules over all gateways of a play.
pub struct Oracle {
    classes: Vec<Allowed>,
    max_attempts: u32,
    requests: HashMap<u64, RequestState>,
    ceilings: HashMap<u32, Ceiling>,
}

type CheckResult = Result<(), Box<Breach>>;

/// Converts a time to seconds since the start of the play.
fn play_seconds(at: Time) -> f64 {
    at.saturating_sub(START_NS) as f64 / 1e9
}

impl Oracle {
    pub fn new(classes: Vec<Allowed>, max_attempts: u32) -> Self {
        Oracle { classes, max_attempts, requests: HashMap::new(), ceilings: HashMap::new() }
    }

    fn breach(rule: Rule, at: Time, what: String, trace: &[String]) -> CheckResult {
        Err(Box::new(Breach { rule, at, what, trace: trace.to_vec() }))
    }

    /// Records that a client's request arrived at a gateway.
    pub fn request_received(&mut self, id: u64, class: usize, deadline: Time, gateway: usize, now: Time) {
        let trace = vec![format!(
            "{:.6} request {id:x} of class {class} comes to gateway {gateway}",
            play_seconds(now)
        )];
        let request = RequestState {
            class,
            deadline,
            deadline_waived: false,
            ended: false,
            in_flight: None,
            attempts: 0,
            may_have_run_at: None,
            last_attempt: None,
            trace,
        };
        self.requests.insert(id, request);
    }

    /// Records and checks an attempt. `location` is the server's zone and cell. `announced` is the server's
    /// last announcement to the gateway: `None` if the server was never listed, else the time since which the
    /// server must get no new attempts, if any.
    pub fn attempt_sent(
        &mut self,
        id: u64,
        server: &str,
        location: (u32, u32),
        announced: Option<Option<Time>>,
        now: Time,
    ) -> CheckResult {
        let Some(request) = self.requests.get_mut(&id) else {
            return Self::breach(
                Rule::Invented,
                now,
                format!("an attempt for {id:x}, which no client sent"),
                &[],
            );
        };
        request.trace.push(format!("{:.6} attempt {} to {server}", play_seconds(now), request.attempts));
        let trace = &request.trace;
        if request.ended {
            return Self::breach(Rule::OneAnswer, now, format!("an attempt for {id:x} after its end"), trace);
        }
        if request.in_flight.is_some() {
            return Self::breach(
                Rule::Attempts,
                now,
                format!("two attempts of {id:x} are out at once"),
                trace,
            );
        }
        if request.attempts >= self.max_attempts {
            return Self::breach(
                Rule::Attempts,
                now,
                format!("more than {} attempts of {id:x}", self.max_attempts),
                trace,
            );
        }
        let class = self.classes[request.class];
        if let Some((at, zone, cell)) = request.may_have_run_at {
            let in_repeat_group = match class.group {
                Group::All => true,
                Group::Zone => location.0 == zone,
                Group::Cell => location.1 == cell,
            };
            let repeat_allowed = match class.effect {
                Effect::Safe => true,
                Effect::Keyed => in_repeat_group && now <= at + class.key_ttl,
                Effect::Unsafe => false,
            };
            if !repeat_allowed {
                return Self::breach(
                    Rule::Effects,
                    now,
                    format!("{id:x} is sent again, and may have run"),
                    trace,
                );
            }
        }
        match announced {
            None => {
                return Self::breach(Rule::Listed, now, format!("{server} was never listed there"), trace)
            }
            Some(Some(since)) if now > since + DRAIN_GRACE_NS => {
                let what = format!("{server} was told to get nothing new at {:.6}", play_seconds(since));
                return Self::breach(Rule::Drains, now, what, trace);
            }
            _ => {}
        }
        request.in_flight = Some(request.attempts);
        request.attempts += 1;
        request.last_attempt = Some((now, location.0, location.1));
        Ok(())
    }

    /// Records the end of an attempt for its gateway.
    pub fn attempt_ended(&mut self, id: u64, ending: Ending, now: Time) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.trace.push(format!("{:.6} attempt ends: {ending:?}", play_seconds(now)));
        request.in_flight = None;
        if !matches!(ending, Ending::Full | Ending::NoRoute | Ending::Stale) {
            request.may_have_run_at = request.may_have_run_at.or(request.last_attempt);
        }
    }

    /// Records and checks a request's final answer, which is a refusal if `refused`.
    pub fn final_answer_sent(&mut self, id: u64, refused: bool, now: Time) -> CheckResult {
        let Some(request) = self.requests.get_mut(&id) else {
            return Self::breach(
                Rule::Invented,
                now,
                format!("an answer to {id:x}, which no client sent"),
                &[],
            );
        };
        // As on the wire, messages for a request that has ended are ignored.
        if std::mem::replace(&mut request.ended, true) {
            return Ok(());
        }
        request.trace.push(format!(
            "{:.6} final answer{}",
            play_seconds(now),
            if refused { ": refused" } else { "" }
        ));
        if now > request.deadline + ANSWER_SLACK_NS && !request.deadline_waived {
            let what = format!("{id:x} is answered after its time, {:.6}", play_seconds(request.deadline));
            return Self::breach(Rule::OneAnswer, now, what, &request.trace);
        }
        let class = self.classes[request.class];
        let may_have_run = request.may_have_run_at.is_some() || request.in_flight.is_some();
        let repeat_allowed_anywhere =
            class.effect == Effect::Safe || class.effect == Effect::Keyed && class.group == Group::All;
        if refused && may_have_run && !repeat_allowed_anywhere {
            return Self::breach(
                Rule::Effects,
                now,
                format!("{id:x} is refused, and may have run"),
                &request.trace,
            );
        }
        Ok(())
    }

    /// Waives the deadline of an open request whose gateway is paused.
    pub fn waive_deadline(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.deadline_waived = true;
        }
    }

    /// Forgets a request whose client has left or whose gateway was killed.
    pub fn request_abandoned(&mut self, id: u64) {
        self.requests.remove(&id);
    }

    /// Checks that a request has its final answer when its deadline with slack has passed.
    pub fn deadline_reached(&mut self, id: u64, now: Time) -> CheckResult {
        if self.requests.get(&id).is_some_and(|request| request.deadline_waived && !request.ended) {
            // The gateway may still end the request when it resumes.
            return Ok(());
        }
        match self.requests.remove(&id) {
            Some(request) if !request.ended => {
                Self::breach(Rule::OneAnswer, now, format!("{id:x} never got a final answer"), &request.trace)
            }
            _ => Ok(()),
        }
    }

    /// Takes the units of a request's first attempt from the customer's ceiling, which refills by `rate`
    /// units a second up to `burst`. The ceiling may fall to `slack` units below 0.
    pub fn ceiling_units_taken(
        &mut self,
        customer: u32,
        units: f64,
        (rate, burst, slack): (f64, f64, f64),
        now: Time,
    ) -> CheckResult {
        let ceiling = self.ceilings.entry(customer).or_insert(Ceiling { level: burst, at: now });
        ceiling.level = (ceiling.level + (now - ceiling.at) as f64 / 1e9 * rate).min(burst) - units;
        ceiling.at = now;
        if ceiling.level < -slack {
            let what = format!("customer {customer} is {:.1} units over its ceiling", -ceiling.level);
            return Self::breach(Rule::Ceiling, now, what, &[]);
        }
        Ok(())
    }

    /// Checks the collapse of a cold server. `informed_share` is the share of the server's work since its
    /// start that came from gateways that knew of the start.
    pub fn server_collapsed(server: &str, informed_share: f64, now: Time) -> CheckResult {
        if informed_share >= 2.0 / 3.0 {
            let part = informed_share * 100.0;
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
