//! What the admission of one turn may cost: a turn stays short whatever waits.

/// Attempts that are started in one turn before no further step has its turn.
const STARTS_PER_TURN: u64 = 128;
/// Workers that searches for capacity may examine in one turn before no further search begins.
const WORKERS_PER_TURN: u64 = 50_000;

/// What the admission of one turn may still cost.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TurnBudget {
    /// The time of the turn.
    turn: u64,
    starts: u64,
    workers: u64,
}

impl TurnBudget {
    /// The budget as it is at `now`: that of another turn is not spent.
    pub(super) fn for_turn(self, now: u64) -> Self {
        if self.turn == now {
            return self;
        }
        TurnBudget { turn: now, starts: STARTS_PER_TURN, workers: WORKERS_PER_TURN }
    }

    /// Whether nothing more may be searched for or started.
    pub(super) fn is_spent(self) -> bool {
        self.starts == 0 || self.workers == 0
    }

    /// How many workers may still be examined.
    pub(super) fn workers(self) -> u64 {
        self.workers
    }

    /// So many attempts were started. A gang starts at once, beyond the budget if need be.
    pub(super) fn spend_starts(&mut self, starts: u64) {
        self.starts = self.starts.saturating_sub(starts);
    }

    /// So many workers were examined.
    pub(super) fn spend_workers(&mut self, workers: u64) {
        self.workers = self.workers.saturating_sub(workers);
    }
}
