//! Event queue, ordered by time. Events at the same time keep the order in which they were added.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Entry<E> {
    at: u64,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        // `BinaryHeap` is a max-heap, so the order is reversed.
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Pending events.
pub struct Queue<E> {
    heap: BinaryHeap<Entry<E>>,
    next_number: u64,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Queue { heap: BinaryHeap::new(), next_number: 0 }
    }
}

impl<E> Queue<E> {
    /// Adds an event.
    pub fn push(&mut self, at: u64, event: E) {
        let number = self.next_number;
        self.next_number += 1;
        self.heap.push(Entry { at, number, event });
    }

    /// Removes and returns the earliest event.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        let entry = self.heap.pop()?;
        Some((entry.at, entry.event))
    }
}
