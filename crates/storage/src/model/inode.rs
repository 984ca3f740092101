//! Content of a simulated file: the durable content and the changes that were not synced.

use fastrand::Rng;

/// A change that has not been synced.
#[derive(Debug, Clone)]
enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    SetLength(usize),
}

/// Content of a file, independent of its name.
#[derive(Debug, Clone, Default)]
pub(super) struct Inode {
    content: Vec<u8>,
    durable: Vec<u8>,
    /// Changes that lead from `durable` to `content`, in order.
    changes: Vec<Change>,
}

impl Inode {
    pub(super) fn durable(content: &[u8]) -> Self {
        Inode { content: content.to_vec(), durable: content.to_vec(), changes: Vec::new() }
    }

    pub(super) fn content(&self) -> &[u8] {
        &self.content
    }

    pub(super) fn append(&mut self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        self.changes.push(Change::Write { offset: self.content.len(), bytes: bytes.to_vec() });
        self.content.extend_from_slice(bytes);
    }

    pub(super) fn set_length(&mut self, length: usize) {
        self.changes.push(Change::SetLength(length));
        self.content.resize(length, 0);
    }

    pub(super) fn sync(&mut self) {
        for change in self.changes.drain(..) {
            apply(&mut self.durable, change);
        }
    }

    /// Chooses randomly for each change that was not synced whether it is kept, lost or torn. `lose_all`
    /// loses all of them.
    pub(super) fn lose_power(&mut self, rng: &mut Rng, lose_all: bool) {
        for change in std::mem::take(&mut self.changes) {
            let survives = !lose_all && rng.bool();
            if survives {
                let surviving = if rng.bool() { change } else { tear(change, rng) };
                apply(&mut self.durable, surviving);
            }
        }
        self.content.clone_from(&self.durable);
    }
}

fn apply(content: &mut Vec<u8>, change: Change) {
    match change {
        Change::SetLength(length) => content.resize(length, 0),
        Change::Write { offset, bytes } => {
            let end = offset + bytes.len();
            if content.len() < end {
                content.resize(end, 0);
            }
            content[offset..end].copy_from_slice(&bytes);
        }
    }
}

/// Reduces a write to the part that reached the disk: a random prefix, or a random range that starts later.
fn tear(change: Change, rng: &mut Rng) -> Change {
    match change {
        Change::SetLength(length) => Change::SetLength(length),
        Change::Write { offset, bytes } => {
            let end = rng.usize(0..=bytes.len());
            let start = if rng.bool() { 0 } else { rng.usize(0..=end) };
            Change::Write { offset: offset + start, bytes: bytes[start..end].to_vec() }
        }
    }
}
