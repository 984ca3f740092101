//! How long a worker needs to be held: as long as what it carries, with a margin, and no longer.
//!
//! While a worker can't be reached, nobody knows what becomes of its attempts until its hold has lapsed. A hold that
//! is as long as its work keeps that doubt short; one that is shorter would throw work away whenever the core is
//! silent for a moment.

use crate::ids::AttemptKey;

use super::attempts::{Attempt, Attempts};
use super::mechanisms::Mechanism;
use super::LeaderSettings;

/// Least hold, in milliseconds: an election, and a round of holds by the next leader, take less.
const LEAST_HOLD_MS: u64 = 2_500;
/// What is added to the time that an attempt is expected to take still, in milliseconds.
const MARGIN_MS: u64 = 1_500;

/// The hold that these attempts need, in milliseconds.
pub(super) fn hold_need_ms(
    attempts: &Attempts,
    carried: &[AttemptKey],
    settings: &LeaderSettings,
    now: u64,
) -> u64 {
    let longest = settings.hold_ms;
    if !settings.mechanisms.uses(Mechanism::HoldByNeed) {
        return longest;
    }
    let needs =
        carried.iter().filter_map(|key| attempts.get(key)).map(|attempt| need_ms(attempt, longest, now));
    needs.max().unwrap_or(0).max(LEAST_HOLD_MS).min(longest)
}

/// The hold that one attempt needs, in milliseconds. Lasting tasks and gangs that save nothing lose most by a lapse.
fn need_ms(attempt: &Attempt, longest: u64, now: u64) -> u64 {
    if attempt.lasting || (attempt.gang && !attempt.checkpoints) {
        return longest;
    }
    attempt.left_ms(now).saturating_add(MARGIN_MS)
}
