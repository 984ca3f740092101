//! A worker as placement sees it, and numbers for what is compared often.

use std::collections::BTreeMap;

use super::resources::Resources;
use crate::ids::StepKey;

/// The caller's identifier of a worker.
pub type WorkerKey = u64;

/// A text that was given a number, to be compared fast.
pub(super) type Symbol = u32;

/// Numbers for labels and racks.
#[derive(Clone, Debug, Default)]
pub(super) struct Symbols {
    numbers: BTreeMap<String, Symbol>,
}

impl Symbols {
    pub(super) fn number(&mut self, text: &str) -> Symbol {
        if let Some(number) = self.numbers.get(text) {
            return *number;
        }
        let number = Symbol::try_from(self.numbers.len()).unwrap_or(Symbol::MAX);
        self.numbers.insert(text.to_owned(), number);
        number
    }

    /// The number of a text, if a worker has ever had it.
    pub(super) fn find(&self, text: &str) -> Option<Symbol> {
        self.numbers.get(text).copied()
    }
}

/// How many tasks of a step have a reservation on a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepCount {
    pub(super) step: StepKey,
    pub(super) tasks: u32,
}

/// A worker as placement sees it.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) key: WorkerKey,
    pub(super) capacity: Resources,
    pub(super) reserved: Resources,
    pub(super) usable: bool,
    pub(super) ejected: bool,
    /// Pace times success rate.
    pub(super) quality: f64,
    pub(super) rack: Option<Symbol>,
    pub(super) labels: Vec<Symbol>,
    pub(super) steps: Vec<StepCount>,
}

impl Slot {
    /// What is left for further tasks.
    pub(super) fn free(&self) -> Resources {
        self.capacity.minus(self.reserved)
    }

    /// Whether it may take starts, if only as the last resort.
    pub(super) fn may_take_starts(&self) -> bool {
        self.usable || self.ejected
    }

    /// How many tasks of a step have a reservation here.
    pub(super) fn tasks_of(&self, step: &StepKey) -> u32 {
        self.steps.iter().find(|count| count.step == *step).map_or(0, |count| count.tasks)
    }
}
