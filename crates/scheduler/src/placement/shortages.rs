//! What no worker has had the capacity for since some was last freed: such a search need not be made again.

use super::resources::Resources;
use super::slot::Symbol;

/// A search that found no worker.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    need: Resources,
    constraint: Option<Symbol>,
}

/// The searches that found no worker, without those that follow from others.
#[derive(Clone, Debug, Default)]
pub(super) struct Shortages {
    known: Vec<Shortage>,
}

impl Shortages {
    /// Capacity was freed, or a worker changed: all may fit again.
    pub(super) fn clear(&mut self) {
        self.known.clear();
    }

    /// No worker with the label has the capacity, whatever else is asked for.
    pub(super) fn add(&mut self, need: Resources, constraint: Option<Symbol>) {
        let follows = |known: &Shortage| follows_from(known.need, known.constraint, need, constraint);
        self.known.retain(|known| !follows(known));
        self.known.push(Shortage { need, constraint });
    }

    /// Whether a known shortage shows that no worker with the label has the capacity.
    pub(super) fn cover(&self, need: Resources, constraint: Option<Symbol>) -> bool {
        self.known.iter().any(|known| follows_from(need, constraint, known.need, known.constraint))
    }
}

/// Whether a search fails if one for `lesser` need and a label, or any, has failed.
fn follows_from(
    need: Resources,
    constraint: Option<Symbol>,
    lesser: Resources,
    lesser_constraint: Option<Symbol>,
) -> bool {
    lesser.fits_in(need) && (lesser_constraint.is_none() || lesser_constraint == constraint)
}
