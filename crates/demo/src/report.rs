//! Results of the clients.

use std::fmt;
use std::time::{Duration, Instant};

/// Outcome of one job from the view of its client.
#[derive(Debug, Clone)]
pub struct JobOutcome {
    /// Time of the first call.
    pub began: Instant,
    /// Time from the first call to the acceptance; `None` if the job was not accepted.
    pub accepted_in: Option<Duration>,
    /// Time from the first call until the client saw the completion; `None` if it did not.
    pub completed_in: Option<Duration>,
    /// Number of calls that failed before the acceptance.
    pub failed_calls: u32,
}

/// Outcomes of all finished jobs.
#[derive(Debug, Default)]
pub struct OutcomeLog {
    outcomes: Vec<JobOutcome>,
}

impl OutcomeLog {
    /// Adds the outcome of a finished job.
    pub fn record(&mut self, outcome: JobOutcome) {
        self.outcomes.push(outcome);
    }

    /// Creates the report of a demonstration that began at `began`. The leader `killed_leader` was killed
    /// after `killed_at`, and `final_leader` led at the end.
    pub fn report(
        &self,
        began: Instant,
        killed_at: Duration,
        killed_leader: &str,
        final_leader: &str,
    ) -> Report {
        let mut seconds: Vec<SecondTotals> = Vec::new();
        for outcome in &self.outcomes {
            let second = outcome.began.saturating_duration_since(began).as_secs() as usize;
            if seconds.len() <= second {
                seconds.resize(second + 1, SecondTotals::default());
            }
            seconds[second].add(outcome);
        }
        Report {
            seconds,
            killed_at,
            killed_leader: killed_leader.to_owned(),
            final_leader: final_leader.to_owned(),
        }
    }
}

/// Totals of the jobs that were first sent within one second of the demonstration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SecondTotals {
    /// Number of jobs that were sent.
    pub sent: u32,
    /// Number of these jobs that were accepted.
    pub accepted: u32,
    /// Number of these jobs that were completed.
    pub completed: u32,
    /// Number of calls that failed before an acceptance.
    pub failed_calls: u32,
    /// Longest time from the first call to the acceptance.
    pub slowest_acceptance: Duration,
    /// Longest time from the first call until the completion was seen.
    pub slowest_completion: Duration,
}

impl SecondTotals {
    fn add(&mut self, outcome: &JobOutcome) {
        self.sent += 1;
        self.accepted += u32::from(outcome.accepted_in.is_some());
        self.completed += u32::from(outcome.completed_in.is_some());
        self.failed_calls += outcome.failed_calls;
        self.slowest_acceptance = self.slowest_acceptance.max(outcome.accepted_in.unwrap_or_default());
        self.slowest_completion = self.slowest_completion.max(outcome.completed_in.unwrap_or_default());
    }
}

/// Report of a complete demonstration.
#[derive(Debug, Clone)]
pub struct Report {
    /// Totals for each second of the demonstration.
    pub seconds: Vec<SecondTotals>,
    /// Time from the start of the demonstration to the kill of the leader.
    pub killed_at: Duration,
    /// Name of the leader that was killed.
    pub killed_leader: String,
    /// Name of the leader at the end.
    pub final_leader: String,
}

impl Report {
    /// Returns the numbers of jobs that were sent, accepted and completed.
    pub fn totals(&self) -> (u32, u32, u32) {
        self.seconds.iter().fold((0, 0, 0), |(sent, accepted, completed), line| {
            (sent + line.sent, accepted + line.accepted, completed + line.completed)
        })
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "second  sent  accepted  completed  failed calls  slowest accept  slowest completion"
        )?;
        for (second, line) in self.seconds.iter().enumerate() {
            let mark =
                if self.killed_at.as_secs() as usize == second { "  <- the leader was killed" } else { "" };
            writeln!(
                formatter,
                "{second:6}  {:4}  {:8}  {:9}  {:12}  {:11} ms  {:15} ms{mark}",
                line.sent,
                line.accepted,
                line.completed,
                line.failed_calls,
                line.slowest_acceptance.as_millis(),
                line.slowest_completion.as_millis(),
            )?;
        }
        let (sent, accepted, completed) = self.totals();
        writeln!(formatter, "{sent} jobs sent, {accepted} accepted, {completed} completed")?;
        writeln!(
            formatter,
            "{} led and was killed, {} leads at the end",
            self.killed_leader, self.final_leader
        )
    }
}
