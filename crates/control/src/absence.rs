//! How late the turns of this process are: time in which it neither sent nor read anything.

use crate::clock::MILLISECOND;

/// A shorter absence is an ordinary turn, in nanoseconds.
const MIN_ABSENCE: u64 = 20 * MILLISECOND;

/// Measures the absence of a process between the starts of its turns. Times are nanoseconds of its clock.
#[derive(Debug, Default)]
pub struct AbsenceMeter {
    turn_began: u64,
    turn_ended: u64,
}

impl AbsenceMeter {
    /// A turn begins; the next timer after the last turn was due at `next_timer`. Gives how long the process was absent
    /// since the last turn began: during that turn, and from when the timer was due. Zero if that is as usual.
    pub fn turn_began(&mut self, now: u64, next_timer: u64) -> u64 {
        let turn = self.turn_ended.saturating_sub(self.turn_began);
        let overdue = now.saturating_sub(next_timer.max(self.turn_ended));
        self.turn_began = now;
        self.turn_ended = now;
        match turn.saturating_add(overdue) {
            absence if absence < MIN_ABSENCE => 0,
            absence => absence,
        }
    }

    /// The turn ends.
    pub fn turn_ended(&mut self, now: u64) {
        self.turn_ended = now;
    }
}
