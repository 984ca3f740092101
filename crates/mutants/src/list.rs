//! The wrong changes. The changes of a module break the same point of `docs/control-safety.md`.

mod answers;
mod cancellations;
mod configuration_changes;
mod foundings;
mod listings;
mod membership_changes;
mod relays;
mod snapshots;
mod terms_and_leases;

use crate::mutant::Mutant;

/// All changes, in the order of the modules.
pub fn mutants() -> Vec<Mutant> {
    [
        terms_and_leases::MUTANTS,
        configuration_changes::MUTANTS,
        membership_changes::MUTANTS,
        foundings::MUTANTS,
        snapshots::MUTANTS,
        answers::MUTANTS,
        cancellations::MUTANTS,
        listings::MUTANTS,
        relays::MUTANTS,
    ]
    .concat()
}
