//! State of a worker for placement, and symbols for texts that are compared often.

use std::collections::BTreeMap;

use super::resources::Resources;
use crate::ids::StepKey;

/// The caller's key of a worker.
pub type WorkerKey = u64;

/// Number of an interned text, for fast comparison.
pub(super) type Symbol = u32;

/// Interned labels or racks.
#[derive(Clone, Debug, Default)]
pub(super) struct Symbols {
    symbols: BTreeMap<String, Symbol>,
}

impl Symbols {
    pub(super) fn intern(&mut self, text: &str) -> Symbol {
        if let Some(symbol) = self.symbols.get(text) {
            return *symbol;
        }
        let symbol = Symbol::try_from(self.symbols.len()).unwrap_or(Symbol::MAX);
        self.symbols.insert(text.to_owned(), symbol);
        symbol
    }

    /// The symbol of a text; `None` if no worker has ever had the text.
    pub(super) fn find(&self, text: &str) -> Option<Symbol> {
        self.symbols.get(text).copied()
    }
}

/// Number of tasks of a step that have a reservation on a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepCount {
    pub(super) step: StepKey,
    pub(super) tasks: u32,
}

/// State of a worker for placement.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) key: WorkerKey,
    pub(super) capacity: Resources,
    pub(super) reserved: Resources,
    pub(super) usable: bool,
    pub(super) ejected: bool,
    /// Pace times success rate, 0 to 1.
    pub(super) quality: f64,
    pub(super) rack: Option<Symbol>,
    pub(super) labels: Vec<Symbol>,
    pub(super) steps: Vec<StepCount>,
    /// Number of starts that the worker has not confirmed.
    pub(super) pending_starts: u32,
    /// Since when the worker takes no further single task, in the caller's time; `None` if it takes some. It does
    /// again once it has confirmed some starts.
    pub(super) awaits_confirmations_since: Option<u64>,
}

impl Slot {
    /// Capacity left for further tasks.
    pub(super) fn free(&self) -> Resources {
        self.capacity.minus(self.reserved)
    }

    /// Whether the worker may take starts, if only as an ejected worker of last resort.
    pub(super) fn may_take_starts(&self) -> bool {
        self.usable || self.ejected
    }

    /// Whether the worker takes starts of single tasks now, and not as a last resort only.
    pub(super) fn takes_single_tasks(&self) -> bool {
        self.usable && self.awaits_confirmations_since.is_none()
    }

    /// Whether the worker has a label, if one is required.
    pub(super) fn has_label(&self, required: Option<Symbol>) -> bool {
        required.is_none_or(|label| self.labels.contains(&label))
    }

    /// Number of tasks of `step` that have a reservation on the worker.
    pub(super) fn tasks_of(&self, step: &StepKey) -> u32 {
        self.steps.iter().find(|count| count.step == *step).map_or(0, |count| count.tasks)
    }
}
