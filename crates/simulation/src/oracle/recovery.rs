//! Checks of the rules on the time after the final fault and on process faults.

use super::{Connectivity, Rule, Violation};
use crate::history::{Answer, CallKind, ClientCall, History};
use crate::time::ms;

/// One request in this many must be served.
const REQUIRED_SERVED_ONE_IN: usize = 4;
/// Minimum number of requests for a verdict.
const MIN_REQUESTS: usize = 8;

/// RECOVER: if a quarter of the requests was served before the final fault, a quarter must be served after
/// the recovery time.
pub fn recover(connectivity: &Connectivity<'_>, history: &History, out: &mut Vec<Violation>) {
    let Some(fault) = history.final_fault else { return };
    let from = fault.until + ms(connectivity.bounds.recovery_ms);
    let served = |calls: &[&ClientCall]| calls.iter().filter(|call| is_served(call)).count();
    let before: Vec<&ClientCall> = requests(history).filter(|call| call.sent_at < fault.from).collect();
    let after: Vec<&ClientCall> = requests(history).filter(|call| call.sent_at > from).collect();
    let was_served = served(&before) * REQUIRED_SERVED_ONE_IN >= before.len();
    if after.len() >= MIN_REQUESTS && was_served && served(&after) * REQUIRED_SERVED_ONE_IN < after.len() {
        let text = format!("{} of {} requests are served", served(&after), after.len());
        out.push(Violation::new(Rule::Recover, from, text));
    }
}

fn requests(history: &History) -> impl Iterator<Item = &ClientCall> {
    history.calls.iter().filter(|call| call.kind != CallKind::Count)
}

fn is_served(call: &ClientCall) -> bool {
    matches!(call.answer, Some((_, Answer::Done | Answer::State(_) | Answer::Count(_))))
}

/// A process must not fail by itself.
pub fn process_fault(_connectivity: &Connectivity<'_>, history: &History, out: &mut Vec<Violation>) {
    for fault in &history.process_faults {
        out.push(Violation::new(
            Rule::ProcessFault,
            fault.at,
            format!("machine {}: {}", fault.machine, fault.text),
        ));
    }
}
