//! Measures stalls of this process: periods in which the process neither sent nor read anything.

use crate::clock::MILLISECOND;

/// A shorter stall counts as an ordinary turn.
const MIN_STALL_NS: u64 = 20 * MILLISECOND;

/// Measures stalls between the starts of turns. Times are nanoseconds of the process's clock.
#[derive(Debug, Default)]
pub struct StallMeter {
    turn_began: u64,
    turn_ended: u64,
}

impl StallMeter {
    /// Records the start of a turn; the first timer after the previous turn was due at `next_timer`. Returns
    /// how long the process was stalled since the previous turn began: the length of that turn plus the time
    /// by which the timer was late. Returns 0 if the stall is shorter than `MIN_STALL_NS`.
    pub fn begin_turn(&mut self, now: u64, next_timer: u64) -> u64 {
        let turn = self.turn_ended.saturating_sub(self.turn_began);
        let overdue = now.saturating_sub(next_timer.max(self.turn_ended));
        self.turn_began = now;
        self.turn_ended = now;
        match turn.saturating_add(overdue) {
            stall if stall < MIN_STALL_NS => 0,
            stall => stall,
        }
    }

    /// Records the end of the turn.
    pub fn end_turn(&mut self, now: u64) {
        self.turn_ended = now;
    }
}
