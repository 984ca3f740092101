//! Fencing tokens of calls to workers.

/// Number of low bits of the token that count the changes of a worker's route within a term.
const ROUTE_CHANGE_BITS: u32 = 20;
/// Maximum number of route changes of one worker that the tokens of a term can express.
pub(super) const MAX_ROUTE_CHANGES: u64 = (1 << ROUTE_CHANGE_BITS) - 1;

/// The fencing token of calls in `term` to a worker whose route has changed `route_changes` times in that
/// term. The token rises with the term and, within a term, with each route change.
pub fn fencing_token(term: u64, route_changes: u64) -> u64 {
    (term << ROUTE_CHANGE_BITS) | route_changes.min(MAX_ROUTE_CHANGES)
}
