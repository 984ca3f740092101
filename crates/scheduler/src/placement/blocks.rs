//! Upper bounds for blocks of consecutive worker slots, so that a search skips every block in which no
//! worker is large enough.

use std::ops::Range;

use super::resources::Resources;
use super::slot::Slot;

/// Number of slots in a block. This is about the square root of the size of a large fleet, so that a search
/// examines few blocks and few slots within a block.
pub(super) const SLOTS_PER_BLOCK: usize = 16;

/// The largest amount of each resource among the slots of a block. The maximum is taken for each resource
/// separately, so no single slot need have all of these amounts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Block {
    /// Largest capacity among the workers that are usable.
    pub(super) capacity: Resources,
    /// Largest capacity among the ejected workers.
    pub(super) ejected_capacity: Resources,
    /// Largest capacity among all workers, whether usable or not.
    pub(super) largest: Resources,
}

impl Block {
    /// Computes the block of `slots`.
    pub(super) fn of(slots: &[Slot]) -> Self {
        let mut block = Block::default();
        for slot in slots {
            block.largest = block.largest.max(slot.capacity);
            if slot.usable {
                block.capacity = block.capacity.max(slot.capacity);
            }
            if slot.ejected {
                block.ejected_capacity = block.ejected_capacity.max(slot.capacity);
            }
        }
        block
    }
}

/// Position in the fleet of the first slot of block `number`.
pub(super) fn block_start(number: usize) -> usize {
    number * SLOTS_PER_BLOCK
}

/// Positions of the slots of block `number` in a fleet of `slots` slots.
pub(super) fn slot_range(number: usize, slots: usize) -> Range<usize> {
    block_start(number)..block_start(number + 1).min(slots)
}
