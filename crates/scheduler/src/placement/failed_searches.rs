//! Searches that failed for lack of capacity since capacity was last released. A search that is at least as
//! demanding as one of them fails too and need not be repeated.

use super::resources::Resources;
use super::slot::Symbol;

/// A search for which no worker had the capacity.
#[derive(Clone, Copy, Debug)]
struct FailedSearch {
    need: Resources,
    constraint: Option<Symbol>,
}

/// The failed searches, without those whose failure follows from another one.
#[derive(Clone, Debug, Default)]
pub(super) struct FailedSearches {
    searches: Vec<FailedSearch>,
}

impl FailedSearches {
    /// Forgets all failed searches, because capacity was released or a worker changed.
    pub(super) fn clear(&mut self) {
        self.searches.clear();
    }

    /// Records that no worker with the label has the capacity, whatever the other requirements are.
    pub(super) fn record(&mut self, need: Resources, constraint: Option<Symbol>) {
        let follows = |search: &FailedSearch| follows_from(search.need, search.constraint, need, constraint);
        self.searches.retain(|search| !follows(search));
        self.searches.push(FailedSearch { need, constraint });
    }

    /// Whether a recorded search shows that no worker with the label has the capacity.
    pub(super) fn imply_failure(&self, need: Resources, constraint: Option<Symbol>) -> bool {
        self.searches.iter().any(|search| follows_from(need, constraint, search.need, search.constraint))
    }
}

/// Whether a search for `need` and `constraint` fails because one for `failed_need` and `failed_constraint`
/// failed. Without a failed constraint, no worker with any label had the capacity.
fn follows_from(
    need: Resources,
    constraint: Option<Symbol>,
    failed_need: Resources,
    failed_constraint: Option<Symbol>,
) -> bool {
    failed_need.fits_in(need) && (failed_constraint.is_none() || failed_constraint == constraint)
}
