//! Limits on the cost of admission in one turn, which keep a turn short regardless of the number of waiting
//! steps.

/// Number of starts in one turn after which no further step is scanned.
const STARTS_PER_TURN: u64 = 128;
/// Number of examined workers in one turn after which no further search for capacity begins.
const WORKERS_PER_TURN: u64 = 50_000;
/// Number of steps in one turn for which a worker was searched, after which no further search begins.
const STEPS_PER_TURN: u64 = 4_000;

/// The remaining admission budget of a turn.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TurnBudget {
    /// The time of the turn.
    turn: u64,
    /// Number of starts left.
    starts: u64,
    /// Number of workers that may still be examined.
    workers: u64,
    /// Number of steps for which a worker may still be searched.
    steps: u64,
}

impl TurnBudget {
    /// Returns the budget at `now`, which is a full budget if `now` belongs to a new turn.
    pub(super) fn for_turn(self, now: u64) -> Self {
        if self.turn == now {
            return self;
        }
        TurnBudget { turn: now, starts: STARTS_PER_TURN, workers: WORKERS_PER_TURN, steps: STEPS_PER_TURN }
    }

    /// Returns whether the budget allows no further search or start.
    pub(super) fn is_spent(self) -> bool {
        self.starts == 0 || self.workers == 0 || self.steps == 0
    }

    /// Returns how many workers may still be examined.
    pub(super) fn workers(self) -> u64 {
        self.workers
    }

    /// Returns for how many steps a worker may still be searched.
    pub(super) fn steps(self) -> u64 {
        self.steps
    }

    /// Deducts steps for which a worker was searched.
    pub(super) fn spend_steps(&mut self, steps: u64) {
        self.steps = self.steps.saturating_sub(steps);
    }

    /// Deducts started attempts. A gang starts as a whole, even beyond the budget.
    pub(super) fn spend_starts(&mut self, starts: u64) {
        self.starts = self.starts.saturating_sub(starts);
    }

    /// Deducts examined workers.
    pub(super) fn spend_workers(&mut self, workers: u64) {
        self.workers = self.workers.saturating_sub(workers);
    }
}
