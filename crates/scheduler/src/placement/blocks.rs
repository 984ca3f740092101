//! What a run of workers has: searches skip whole blocks in which none is large enough.

use std::ops::Range;

use super::resources::Resources;
use super::slot::Slot;

/// Slots of a block. About the square root of a large fleet, so that neither blocks nor slots are many to examine.
pub(super) const BLOCK_SIZE: usize = 16;

/// The greatest amounts among the slots of a block, of each resource by itself: no single slot need have them all.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Block {
    /// What workers that may take starts have.
    pub(super) capacity: Resources,
    /// What ejected workers have.
    pub(super) ejected_capacity: Resources,
    /// What any worker has.
    pub(super) largest: Resources,
}

impl Block {
    /// The block of these slots.
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

/// The position of a block's first slot.
pub(super) fn first_of_block(number: usize) -> usize {
    number * BLOCK_SIZE
}

/// The positions of a block's slots in a fleet of so many.
pub(super) fn position_range(number: usize, slots: usize) -> Range<usize> {
    first_of_block(number)..first_of_block(number + 1).min(slots)
}
