//! The oracle: one check for each rule, based only on the observed history.

mod configuration;
mod connectivity;
mod jobs;
mod recovery;
mod tasks;

use crate::history::History;
use crate::site::Site;
use crate::time::seconds;

pub use connectivity::Connectivity;

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A task must not run twice at the same time, nor again after its end was recorded.
    Twice,
    /// A task must not start before its dependencies or its due time.
    Order,
    /// A task must start only on a worker that its service, label and spread constraints allow.
    Route,
    /// A task must not start after its last allowed failure.
    Budget,
    /// A member of a gang must not time out waiting for the others.
    Gang,
    /// A task must not start unless a client asked for it.
    Unasked,
    /// A task of a job that was never accepted must not start.
    Refused,
    /// A task must not start on a draining worker.
    Drain,
    /// A job must not be shown as completed before it is.
    Mixed,
    /// An accepted job must stay known, must make progress, and must not end without a cause.
    Lost,
    /// The rules on configurations.
    Config,
    /// A task must not start beyond a worker's resources.
    Limit,
    /// After the final fault, enough requests must be served.
    Recover,
    /// A process must not fail by itself.
    ProcessFault,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// When the violation was observed.
    pub at: u64,
    /// What was observed.
    pub text: String,
}

impl Violation {
    fn new(rule: Rule, at: u64, text: String) -> Violation {
        Violation { rule, at, text }
    }
}

impl std::fmt::Display for Violation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:?} at {:.3} s: {}", self.rule, seconds(self.at), self.text)
    }
}

/// Checks a rule and adds its violations.
type RuleCheck = fn(&Connectivity<'_>, &History, &mut Vec<Violation>);

/// The check of each rule.
pub const RULE_CHECKS: [(Rule, RuleCheck); 14] = [
    (Rule::Twice, tasks::twice),
    (Rule::Order, tasks::order),
    (Rule::Route, tasks::route),
    (Rule::Budget, tasks::budget),
    (Rule::Gang, tasks::gang),
    (Rule::Unasked, tasks::unasked),
    (Rule::Refused, jobs::refused),
    (Rule::Drain, tasks::drain),
    (Rule::Mixed, jobs::mixed),
    (Rule::Lost, jobs::lost),
    (Rule::Config, configuration::config),
    (Rule::Limit, tasks::limit),
    (Rule::Recover, recovery::recover),
    (Rule::ProcessFault, recovery::process_fault),
];

/// Checks all rules on a history. Violations are sorted by time.
pub fn check(site: &Site, history: &History) -> Vec<Violation> {
    let connectivity = Connectivity::new(&site.bounds, history);
    let mut violations = Vec::new();
    for (_, check) in RULE_CHECKS {
        check(&connectivity, history, &mut violations);
    }
    violations.sort_by_key(|violation| violation.at);
    violations
}
