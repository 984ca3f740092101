//! Replaces the placeholder addresses in list responses by a gateway's own relay addresses.

use crate::addresses::ADDRESS_PLACEHOLDER;

/// Replaces [`ADDRESS_PLACEHOLDER`] by a gateway's address prefix, also where the placeholder is split
/// between two chunks.
#[derive(Default)]
pub struct Rewriter {
    /// The end of the last chunk, if it may be the beginning of a placeholder.
    pub partial_match: Vec<u8>,
}

impl Rewriter {
    /// Rewrites a chunk in place. The end of the chunk moves to the next one if it may begin a placeholder.
    pub fn rewrite(&mut self, chunk: &mut Vec<u8>, prefix: &[u8; 12]) {
        if !self.partial_match.is_empty() {
            let mut joined = std::mem::take(&mut self.partial_match);
            joined.append(chunk);
            *chunk = joined;
        }
        let mut at = 0;
        while at + ADDRESS_PLACEHOLDER.len() <= chunk.len() {
            if &chunk[at..at + ADDRESS_PLACEHOLDER.len()] == ADDRESS_PLACEHOLDER {
                chunk[at..at + ADDRESS_PLACEHOLDER.len()].copy_from_slice(prefix);
            }
            at += 1;
        }
        let begin =
            (1..ADDRESS_PLACEHOLDER.len()).rev().find(|n| chunk.ends_with(&ADDRESS_PLACEHOLDER[..*n]));
        if let Some(begin) = begin {
            self.partial_match = chunk.split_off(chunk.len() - begin);
        }
    }
}
