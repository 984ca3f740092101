//! Searches for violations of a rule: plays a scenario with random faults, and shrinks a scenario that
//! violates a rule.

use crate::oracle::{Breach, Rule};
use crate::scenario::{Fault, Scenario, Trouble};
use crate::world::play;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rayon::prelude::*;

/// The maximum number of random faults in a scenario.
const MAX_FAULTS: usize = 8;
/// The kinds of faults that are drawn.
const FAULT_KINDS: [Trouble; 12] = [
    Trouble::Kill,
    Trouble::Silent,
    Trouble::Slow,
    Trouble::Fail,
    Trouble::Release,
    Trouble::Cut,
    Trouble::Restart,
    Trouble::Rolling,
    Trouble::Pause,
    Trouble::ListDown,
    Trouble::Flood,
    Trouble::MeterDown,
];

/// A scenario that violates a rule, with the seed of the play.
#[derive(Debug)]
pub struct Found {
    pub scenario: Scenario,
    pub seed: u64,
    pub breach: Box<Breach>,
}

/// Returns the scenario with its faults replaced by faults drawn with the seed. The faults may overlap.
pub fn with_random_faults(base: &Scenario, seed: u64) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut scenario = base.clone();
    let seconds = base.seconds;
    let count = rng.random_range(1..=MAX_FAULTS);
    scenario.faults = (0..count)
        .map(|_| {
            let kind = *FAULT_KINDS.choose(&mut rng).unwrap_or(&Trouble::Kill);
            let zone =
                base.zones.choose(&mut rng).filter(|_| kind == Trouble::Cut || rng.random::<f64>() < 0.5);
            // Some cuts affect only one direction: from the gateways of one zone to the servers of another,
            // or back.
            let target_zone =
                base.zones.choose(&mut rng).filter(|_| kind == Trouble::Cut && rng.random::<f64>() < 0.3);
            let link = zone.zip(target_zone).map(|(zone, target)| format!("zone {zone} -> zone {target}"));
            // Values are rounded to tenths, so that the scenario found is easy to read.
            let mut tenths = |least: f64, most: f64| (rng.random_range(least..=most) * 10.0).round() / 10.0;
            Fault {
                kind,
                at_s: tenths(0.0, seconds * 0.8),
                for_s: tenths(0.1, seconds / 2.0),
                zone: zone.cloned().filter(|_| link.is_none()),
                link,
                share: tenths(0.1, 1.0),
                factor: match kind {
                    Trouble::Fail => tenths(0.1, 1.0),
                    _ => tenths(0.2, 8.0),
                },
            }
        })
        .collect();
    scenario.name = format!("found-{seed}");
    scenario
}

/// Plays `count` scenarios with random faults and shrinks the first one that violates a rule. The scenarios
/// depend only on the first seed, not on the number of threads.
pub fn search(base: &Scenario, first: u64, count: u64) -> Option<Found> {
    let violation =
        |seed: u64| play(&with_random_faults(base, seed), seed).err().map(|breach| (seed, breach));
    let (seed, breach) = (first..first.saturating_add(count)).into_par_iter().find_map_first(violation)?;
    Some(shrink(with_random_faults(base, seed), seed, breach, |scenario, seed| play(scenario, seed).err()))
}

/// Removes and shortens faults, and shortens the play, while the same rule is violated.
fn shrink(
    scenario: Scenario,
    seed: u64,
    breach: Box<Breach>,
    violation: impl Fn(&Scenario, u64) -> Option<Box<Breach>>,
) -> Found {
    let mut found = Found { scenario, seed, breach };
    let rule: Rule = found.breach.rule;
    loop {
        let candidates = reductions(&found.scenario);
        let next = candidates.into_iter().find_map(|scenario| {
            let breach = violation(&scenario, seed).filter(|breach| breach.rule == rule)?;
            Some((scenario, breach))
        });
        match next {
            Some((scenario, breach)) => (found.scenario, found.breach) = (scenario, breach),
            None => return found,
        }
    }
}

/// Returns scenarios that are slightly smaller than the given one, the largest reductions first.
fn reductions(scenario: &Scenario) -> Vec<Scenario> {
    let mut candidates = Vec::new();
    let mut add = |change: &dyn Fn(&mut Scenario)| {
        let mut reduced = scenario.clone();
        change(&mut reduced);
        candidates.push(reduced);
    };
    for n in 0..scenario.faults.len() {
        add(&|s| drop(s.faults.remove(n)));
    }
    for (n, fault) in scenario.faults.iter().enumerate() {
        if fault.for_s >= 0.4 {
            add(&|s| s.faults[n].for_s = (s.faults[n].for_s * 5.0).round() / 10.0);
        }
        if fault.share >= 0.2 {
            add(&|s| s.faults[n].share = (s.faults[n].share * 5.0).round() / 10.0);
        }
    }
    let end_s = scenario.faults.iter().map(|f| f.at_s + f.for_s).fold(0.0, f64::max) + 5.0;
    if end_s < scenario.seconds {
        add(&|s| s.seconds = end_s.max(s.uncounted_s + 1.0));
        candidates.retain(|s| s.seconds <= scenario.seconds);
    }
    candidates
}

#[cfg(test)]
mod tests;
