//! Simulates a day and checks the rules.

use std::collections::BTreeMap;

use crate::history::{Answer, CallKind, History};
use crate::oracle::{self, Violation};
use crate::script::Script;
use crate::site::Site;
use crate::world::World;

/// Result of a day.
#[derive(Debug)]
pub struct DayReport {
    /// The script of the day.
    pub script: Script,
    /// Violations of the rules.
    pub violations: Vec<Violation>,
    /// Statistics of the day.
    pub figures: Figures,
}

/// Statistics of a day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Jobs that clients submitted.
    pub jobs: usize,
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Jobs that clients last saw as completed.
    pub completed: usize,
    /// Jobs that clients last saw as failed.
    pub failed: usize,
    /// Runs that workers started.
    pub runs: usize,
}

/// Simulates a day and checks the rules.
pub fn play(site: &Site, script: &Script, trace: bool) -> DayReport {
    let mut world = World::new(site.clone(), script.clone());
    if trace {
        world = world.with_trace();
    }
    let history = world.play();
    let violations = oracle::check(site, &history);
    DayReport { script: script.clone(), violations, figures: figures(&history) }
}

/// Simulates a day and returns the digest of all its events: every message, log entry, answer, start and end,
/// with times. The digest is 64 hex digits.
pub fn digest(site: &Site, script: &Script) -> String {
    World::new(site.clone(), script.clone()).play_for_digest()
}

/// Computes the statistics of a day.
pub fn figures(history: &History) -> Figures {
    let mut last_state: BTreeMap<u64, &str> = BTreeMap::new();
    let mut accepted = BTreeMap::new();
    for call in &history.calls {
        match (&call.kind, &call.answer) {
            (CallKind::Submit, Some((at, Answer::Done))) => {
                accepted.entry(call.job).or_insert(*at);
            }
            (CallKind::Read, Some((_, Answer::State(state)))) => {
                last_state.insert(call.job, state);
            }
            _ => {}
        }
    }
    let in_state = |wanted: &str| last_state.values().filter(|state| **state == wanted).count();
    Figures {
        jobs: history.jobs.len(),
        accepted: accepted.len(),
        completed: in_state("completed"),
        failed: in_state("failed"),
        runs: history.runs.len(),
    }
}
