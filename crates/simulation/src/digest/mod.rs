//! The digest of a day: a short text that changes whenever anything that happened on the day changes.
//!
//! Times, numbers, texts and messages are hashed one by one, and each kind of item has a number that is
//! written in this module. No name of a type or field is hashed, so renames do not change a digest: it
//! changes only with the behaviour of the system. A message counts when it is sent, whether or not it
//! arrives.

mod events;
mod frames;
mod history;
mod worker_calls;

use std::fmt::Write;

use sha2::{Digest, Sha256};
use storage::model::ModelDirectory;
use storage::Directory;

use crate::core_process::CoreOutput;
use crate::history::History;
use crate::world::Event;
use data_plane::upstream::UpstreamOutput;

/// Hashes a day while it is simulated.
#[derive(Default)]
pub(crate) struct DayDigest {
    hash: Sha256,
}

impl DayDigest {
    /// Hashes an event.
    pub(crate) fn event(&mut self, now: u64, event: &Event) {
        self.numbers(&[1, now]);
        events::event(self, event);
    }

    /// Hashes an output of a core process: a message, an answer, a call or a write.
    pub(crate) fn core_output(&mut self, now: u64, machine: usize, output: &CoreOutput) {
        self.numbers(&[2, now, machine as u64]);
        frames::core_output(self, output);
    }

    /// Hashes an output of an edge process.
    pub(crate) fn edge_output(&mut self, now: u64, edge: usize, output: &UpstreamOutput) {
        self.numbers(&[3, now, edge as u64]);
        frames::edge_output(self, output);
    }

    /// Hashes the contents of a core machine's disk, including the log with all its entries.
    pub(crate) fn disk(&mut self, machine: usize, directory: &ModelDirectory) {
        self.numbers(&[4, machine as u64]);
        let mut names = directory.list().unwrap_or_default();
        names.sort_unstable();
        for name in names {
            self.text(&name);
            self.bytes(&directory.read(&name).unwrap_or_default());
        }
    }

    /// Hashes everything that was observed on the day.
    pub(crate) fn history(&mut self, history: &History) {
        self.number(5);
        history::history(self, history);
    }

    /// Returns the digest as 64 hex digits.
    pub(crate) fn finish(self) -> String {
        let mut text = String::new();
        for byte in self.hash.finalize() {
            // Writing to a `String` cannot fail.
            let _ = write!(text, "{byte:02x}");
        }
        text
    }

    fn number(&mut self, number: u64) {
        self.hash.update(number.to_le_bytes());
    }

    fn numbers(&mut self, numbers: &[u64]) {
        numbers.iter().for_each(|number| self.number(*number));
    }

    fn flag(&mut self, flag: bool) {
        self.number(u64::from(flag));
    }

    fn optional(&mut self, number: Option<u64>) {
        match number {
            Some(number) => self.numbers(&[1, number]),
            None => self.number(0),
        }
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.hash.update(bytes);
    }

    fn text(&mut self, text: &str) {
        self.bytes(text.as_bytes());
    }

    fn each<T>(&mut self, items: &[T], mut item: impl FnMut(&mut DayDigest, &T)) {
        self.number(items.len() as u64);
        items.iter().for_each(|one| item(self, one));
    }
}
