//! Soak test: real processes under overlapping series of signals, restarts, lost disks and configuration
//! changes, while clients keep using their open connections and loads that once stopped the service come and go.
//!
//! Checks that no process ends by itself, that the system serves after each series, that nothing acknowledged
//! is lost, that no job is accepted after its cancellation was acknowledged, and that a process that receives
//! SIGTERM ends with success within the grace period.
//!
//! `SOAK_SEEDS=1-50 cargo test -p sprucehatch-node --test soak -- --nocapture` runs other seeds than the
//! default ones.

mod clients;
mod http;
mod loads;
mod process;
mod site;
mod soak_run;

/// Seeds to run if the environment variable is not set.
const DEFAULT_SEEDS: std::ops::RangeInclusive<u64> = 1..=10;
/// Environment variable with the first and the last seed, for example `1-50`.
const SEEDS_VARIABLE: &str = "SOAK_SEEDS";

fn seeds() -> std::ops::RangeInclusive<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else { return DEFAULT_SEEDS };
    let bounds = text.split_once('-').unwrap_or((&text, &text));
    let read = |bound: &str| bound.parse().expect("SOAK_SEEDS is FIRST-LAST");
    read(bounds.0)..=read(bounds.1)
}

#[test]
fn system_survives_overlapping_series_of_faults() {
    for seed in seeds() {
        soak_run::run_seed(seed);
    }
}
