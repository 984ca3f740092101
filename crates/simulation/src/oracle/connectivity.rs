//! Which machines are in contact at which times, derived from the injected faults.

use configuration::Bounds;

use crate::history::{History, Machine};
use crate::time::ms;

/// Answers questions on contact and stability from the faults of a day.
pub struct Connectivity<'a> {
    /// Time limits of the rules.
    pub bounds: &'a Bounds,
    history: &'a History,
    contact: u64,
}

impl<'a> Connectivity<'a> {
    /// Uses the faults of the given history.
    pub fn new(bounds: &'a Bounds, history: &'a History) -> Connectivity<'a> {
        Connectivity { bounds, history, contact: ms(bounds.contact_ms) }
    }

    /// Whether the core was stable at a time.
    pub fn is_stable(&self, at: u64) -> bool {
        self.is_stable_through(at, at)
    }

    /// Whether the core was stable throughout a span.
    pub fn is_stable_through(&self, from: u64, until: u64) -> bool {
        let since = from.saturating_sub(self.contact);
        !self.history.core_faults.iter().any(|span| span.touches(since, until))
    }

    /// Whether a machine was in contact at a time.
    pub fn is_in_contact(&self, machine: Machine, at: u64) -> bool {
        self.is_in_contact_through(machine, at, at)
    }

    /// Whether a machine was in contact throughout a span.
    pub fn is_in_contact_through(&self, machine: Machine, from: u64, until: u64) -> bool {
        let since = from.saturating_sub(self.contact);
        let faults = &self.history.machine_faults;
        let own = faults.iter().any(|(faulty, span)| *faulty == machine && span.touches(since, until));
        !own && self.is_stable_through(from, until)
    }

    /// Whether no fault of machines, workers or orders overlaps a span.
    pub fn is_fault_free(&self, from: u64, until: u64) -> bool {
        let since = from.saturating_sub(self.contact);
        let history = self.history;
        let machines = history.machine_faults.iter().any(|(_, span)| span.touches(since, until));
        let workers = history.worker_faults.iter().any(|(_, span, _)| span.touches(since, until));
        !machines && !workers && self.orders_are_prompt(from, until) && self.is_stable_through(from, until)
    }

    /// Whether no order can be carried out late in a span.
    pub fn orders_are_prompt(&self, from: u64, until: u64) -> bool {
        let since = from.saturating_sub(MAX_LATENESS_NS);
        !self.history.late_orders.iter().any(|span| span.touches(since, until))
    }
}

/// Longest time after its sending at which a late order may be carried out, in nanoseconds.
const MAX_LATENESS_NS: u64 = 13_000_000_000;
