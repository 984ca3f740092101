//! Checks of the rule CONFIG.

use super::{Connectivity, Rule, Violation};
use crate::history::{Answer, CallKind, ClientCall, ConfigurationOrder, History};
use crate::time::ms;

/// Checks all parts of the rule CONFIG.
pub fn config(connectivity: &Connectivity<'_>, history: &History, out: &mut Vec<Violation>) {
    acknowledged_invalid(history, out);
    both_acknowledged(history, out);
    refused_after_acceptance(history, out);
    read_back(history, out);
    reads_are_linearizable(history, out);
    applied_in_time(connectivity, history, out);
}

fn acknowledgement(order: &ConfigurationOrder) -> Option<u64> {
    order.accepted_at.or(order.acknowledged_at)
}

/// An invalid configuration must not be acknowledged.
fn acknowledged_invalid(history: &History, out: &mut Vec<Violation>) {
    for order in history.configurations.iter().filter(|order| order.invalid) {
        if let Some(at) = acknowledgement(order) {
            let text = format!("an invalid configuration was acknowledged (version {})", order.version);
            out.push(Violation::new(Rule::Config, at, text));
        }
    }
}

/// Of two changes based on the same version, at most one may be acknowledged.
fn both_acknowledged(history: &History, out: &mut Vec<Violation>) {
    let orders = &history.configurations;
    for (position, order) in orders.iter().enumerate() {
        let Some(at) = acknowledgement(order) else { continue };
        let conflicting = orders[..position].iter().find(|earlier| {
            earlier.builds_on == order.builds_on
                && earlier.body != order.body
                && acknowledgement(earlier).is_some()
        });
        if let Some(conflicting) = conflicting {
            let text = format!(
                "versions {} and {} both build on {}",
                conflicting.version, order.version, order.builds_on
            );
            out.push(Violation::new(Rule::Config, at, text));
        }
    }
}

/// An acknowledged change must not be refused when it is sent again, and a refused change must not take
/// effect.
fn refused_after_acceptance(history: &History, out: &mut Vec<Violation>) {
    for order in history.configurations.iter().filter(|order| !order.invalid) {
        let (Some(taken), Some((refused, status))) = (order.accepted_at, order.refused.first()) else {
            continue;
        };
        let superseded = history.configurations.iter().any(|other| {
            other.body != order.body && acknowledgement(other).is_some_and(|at| at > taken && at < *refused)
        });
        if !superseded {
            let text = format!("version {} was taken and refused with {status}", order.version);
            out.push(Violation::new(Rule::Config, *refused, text));
        }
    }
}

/// The configuration read back at the end must be available, must have been sent, and must not be older than
/// the newest acknowledged version.
fn read_back(history: &History, out: &mut Vec<Violation>) {
    let at = history.ended_at;
    let newest = history.configurations.iter().filter(|order| acknowledgement(order).is_some());
    let newest = newest.max_by_key(|order| order.version);
    let Some(body) = &history.read_back else {
        if newest.is_some() {
            out.push(Violation::new(Rule::Config, at, "the configuration is not read back".to_owned()));
        }
        return;
    };
    let Some(found) = history.configurations.iter().find(|order| order.body == *body) else {
        out.push(Violation::new(Rule::Config, at, "what is read back was never sent".to_owned()));
        return;
    };
    if let Some(newest) = newest.filter(|newest| newest.version > found.version) {
        let text = format!("version {} is read back, {} was acknowledged", found.version, newest.version);
        out.push(Violation::new(Rule::Config, at, text));
    }
    if found.invalid || (!found.refused.is_empty() && acknowledgement(found).is_none()) {
        let text = format!("version {} is in force though it was refused or is invalid", found.version);
        out.push(Violation::new(Rule::Config, at, text));
    }
}

/// A configuration that is read must not be older than any version that was acknowledged or read before this
/// read began.
fn reads_are_linearizable(history: &History, out: &mut Vec<Violation>) {
    // Times from which an outside observer knows that a version, or a newer one, is in force.
    let mut known: Vec<(u64, u64)> = Vec::new();
    for order in history.configurations.iter().filter(|order| !order.invalid) {
        known.extend(acknowledgement(order).map(|at| (at, order.version)));
    }
    let mut readings = Vec::new();
    for query in &history.configuration_queries {
        let Some((at, body)) = &query.answer else { continue };
        let Some(order) = history.configurations.iter().find(|order| order.body == *body) else {
            out.push(Violation::new(Rule::Config, *at, "what is read was never sent".to_owned()));
            continue;
        };
        if order.invalid || order.sent_at > *at {
            let text = format!("version {} is read, which is invalid or not yet sent", order.version);
            out.push(Violation::new(Rule::Config, *at, text));
        }
        known.push((*at, order.version));
        readings.push((query.sent_at, *at, order.version));
    }
    for (sent_at, at, version) in readings {
        let before = known.iter().filter(|(known_at, _)| *known_at < sent_at);
        let newest = before.map(|(_, version)| *version).max().unwrap_or(0);
        if version < newest {
            let text = format!("version {version} is read after version {newest} was in force");
            out.push(Violation::new(Rule::Config, at, text));
        }
    }
}

/// Machines in contact must apply a version in time. Observed through counts of the queues that the version
/// adds or removes.
fn applied_in_time(connectivity: &Connectivity<'_>, history: &History, out: &mut Vec<Violation>) {
    for call in history.calls.iter().filter(|call| call.kind == CallKind::Count) {
        let Some((at, answer)) = &call.answer else { continue };
        let has_queue = match answer {
            Answer::Count(_) => true,
            Answer::NoRoute => false,
            _ => continue,
        };
        if !connectivity.is_in_contact_through(call.edge, call.sent_at, *at) {
            continue;
        }
        if !may_be_answered(connectivity, history, call, *at, has_queue) {
            let text = format!(
                "a count of {} was answered {answer:?}, as only an older version allows",
                call.prefix
            );
            out.push(Violation::new(Rule::Config, *at, text));
        }
    }
}

/// Whether some version that may be in force has the queue, or lacks it if `has_queue` is false.
fn may_be_answered(
    connectivity: &Connectivity<'_>,
    history: &History,
    call: &ClientCall,
    at: u64,
    has_queue: bool,
) -> bool {
    let apply = ms(connectivity.bounds.config_apply_ms);
    let valid = history.configurations.iter().filter(|order| !order.invalid);
    let settled =
        |order: &&ConfigurationOrder| order.acknowledged_at.is_some_and(|acked| acked + apply < call.sent_at);
    let min_version = valid.clone().filter(settled).map(|order| order.version).max();
    let mut candidates = valid.filter(|order| {
        order.sent_at <= at && min_version.is_none_or(|min_version| order.version >= min_version)
    });
    let fits = |order: &ConfigurationOrder| order.prefixes.contains(&call.prefix) == has_queue;
    candidates.any(fits) || (min_version.is_none() && !has_queue)
}
