//! Gangs whose starts are committed but whose orders have not been sent.

use crate::ids::AttemptKey;

/// One run of a gang whose orders are held. Its members share the step and the attempt number.
#[derive(Debug)]
pub(super) struct HeldGang {
    /// When the leader began to hold the orders, in nanoseconds of the monotonic clock.
    pub(super) since: u64,
    pub(super) members: Vec<AttemptKey>,
}

impl HeldGang {
    fn includes(&self, key: AttemptKey) -> bool {
        let same = |member: &AttemptKey| {
            member.task.step_key() == key.task.step_key() && member.attempt == key.attempt
        };
        self.members.first().is_some_and(same)
    }
}

/// All gangs whose orders are held, oldest first.
#[derive(Debug, Default)]
pub(super) struct HeldGangs {
    gangs: Vec<HeldGang>,
}

impl HeldGangs {
    /// Adds a member to its gang. The first member adds the gang, held since `now`.
    pub(super) fn add(&mut self, key: AttemptKey, now: u64) {
        match self.gangs.iter_mut().rev().find(|gang| gang.includes(key)) {
            Some(gang) => gang.members.push(key),
            None => self.gangs.push(HeldGang { since: now, members: vec![key] }),
        }
    }

    /// Takes out all gangs.
    pub(super) fn take(&mut self) -> Vec<HeldGang> {
        std::mem::take(&mut self.gangs)
    }

    /// Puts back a gang that must be held longer.
    pub(super) fn put_back(&mut self, gang: HeldGang) {
        self.gangs.push(gang);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.gangs.is_empty()
    }
}
