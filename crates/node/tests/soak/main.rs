//! Soak: real processes under series of signals, restarts, lost disks and changes that overlap, while clients
//! keep using their open connections. No process ends by itself, the system serves after each series, nothing
//! acknowledged is lost, and a process that is asked to stop ends in order within the grace period.
//!
//! `SOAK_SEEDS=1-50 cargo test -p sprucehatch-node --test soak -- --nocapture` plays other seeds than the few
//! of CI.

mod clients;
mod http;
mod play;
mod process;
mod site;

/// Seeds that are played if the environment names none.
const USUAL_SEEDS: std::ops::RangeInclusive<u64> = 1..=10;
/// Variable that names a first and a last seed, as in `1-50`.
const SEEDS_VARIABLE: &str = "SOAK_SEEDS";

fn seeds() -> std::ops::RangeInclusive<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else { return USUAL_SEEDS };
    let bounds = text.split_once('-').unwrap_or((&text, &text));
    let read = |bound: &str| bound.parse().expect("SOAK_SEEDS is FIRST-LAST");
    read(bounds.0)..=read(bounds.1)
}

#[test]
fn the_system_outlasts_overlapping_series_of_faults() {
    for seed in seeds() {
        play::play(seed);
    }
}
