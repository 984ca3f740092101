//! Fencing tokens of calls to workers.

/// Bits of the token that count the changes of a worker's route within a term.
const ROUTE_CHANGE_BITS: u32 = 20;
/// Changes of one worker's route that a term has tokens for.
pub(super) const MAX_ROUTE_CHANGES: u64 = (1 << ROUTE_CHANGE_BITS) - 1;

/// The token of calls in `term` to a worker whose route has changed so many times in it. It rises with the term, and within a
/// term with each change.
pub fn fencing_token(term: u64, route_changes: u64) -> u64 {
    (term << ROUTE_CHANGE_BITS) | route_changes.min(MAX_ROUTE_CHANGES)
}
