//! Formats the report on a job as text for the terminal.

use crate::error::CtlError;
use crate::output;
use crate::table::Table;
use admin::{AttemptPhase, AttemptReport, JobReport, ObstacleCount, PastAttempt, StepReport, Waiting};
use std::io::Write;

/// Writes the report on a job.
pub fn write(report: &JobReport, out: &mut dyn Write) -> Result<(), CtlError> {
    output::line(&headline(report), out)?;
    if !report.steps.is_empty() {
        output::line("\nSteps", out)?;
        output::table(&steps_table(&report.steps), out)?;
    }
    if !report.attempts.is_empty() {
        output::line("\nAttempts on workers", out)?;
        output::table(&attempts_table(&report.attempts), out)?;
    }
    if !report.past_attempts.is_empty() {
        output::line("\nAttempts that are over, as far as this leader remembers", out)?;
        output::table(&past_table(&report.past_attempts), out)?;
    }
    Ok(())
}

fn headline(report: &JobReport) -> String {
    let mut line = format!("job {} is {}; queue {}", report.id, report.state, report.queue);
    if !report.service.is_empty() {
        line.push_str(&format!(
            "; service {}, priority {}, fails with {} failed runs of a task",
            report.service, report.priority, report.max_retries
        ));
    }
    line
}

fn steps_table(steps: &[StepReport]) -> Table {
    let mut table = Table::new(&["TIME", "STEP", "TASKS", "DONE", "ACTIVE", "FAILURES", "WAITS FOR"]);
    for step in steps {
        table.row(vec![
            step.time.to_string(),
            step.step.to_string(),
            step.count.to_string(),
            step.done.to_string(),
            step.active.to_string(),
            step.failures.to_string(),
            waiting_text(&step.waiting),
        ]);
    }
    table
}

fn waiting_text(waiting: &Waiting) -> String {
    match waiting {
        Waiting::Done => "nothing: done".to_owned(),
        Waiting::Attempts => "its attempts".to_owned(),
        Waiting::DueTime { at_ms } => format!("its time, {at_ms} ms since 1970"),
        Waiting::Occurrences => {
            "earlier times of the job, or those of other jobs: too many are open".to_owned()
        }
        Waiting::Steps { steps } => {
            let steps: Vec<String> = steps.iter().map(ToString::to_string).collect();
            format!("steps {}", steps.join(", "))
        }
        Waiting::Worker { tasks, obstacles } if obstacles.is_empty() => {
            format!("a worker for {tasks} tasks: none of its service is known")
        }
        Waiting::Worker { tasks, obstacles } => {
            let obstacles: Vec<String> = obstacles.iter().map(obstacle_text).collect();
            format!("a worker for {tasks} tasks: {}", obstacles.join("; "))
        }
    }
}

fn obstacle_text(count: &ObstacleCount) -> String {
    format!("{} {} (as {})", count.workers, count.obstacle, count.example)
}

fn attempts_table(attempts: &[AttemptReport]) -> Table {
    let mut table = Table::new(&[
        "TASK", "ATTEMPT", "INSTANCE", "ADDRESS", "PHASE", "RUNS MS", "DONE %", "QUIET MS", "SAVED", "AVOIDS",
    ]);
    for attempt in attempts {
        table.row(vec![
            attempt.task.clone(),
            attempt.attempt.to_string(),
            attempt.instance.clone(),
            attempt.address.clone(),
            phase_text(attempt.phase).to_owned(),
            optional(attempt.running_for_ms),
            attempt.percent.to_string(),
            attempt.quiet_for_ms.to_string(),
            if attempt.saved { "yes" } else { "no" }.to_owned(),
            attempt.avoided.join(","),
        ]);
    }
    table
}

fn phase_text(phase: AttemptPhase) -> &'static str {
    match phase {
        AttemptPhase::Proposed => "proposed",
        AttemptPhase::Ordered => "ordered",
        AttemptPhase::Running => "running",
        AttemptPhase::Stopping => "stopping",
    }
}

fn past_table(attempts: &[PastAttempt]) -> Table {
    let mut table = Table::new(&["TASK", "ATTEMPT", "INSTANCE", "ENDED MS AGO", "RAN MS", "DONE %", "HOW"]);
    for attempt in attempts {
        table.row(vec![
            attempt.task.clone(),
            attempt.attempt.to_string(),
            attempt.instance.clone(),
            attempt.ended_ago_ms.to_string(),
            optional(attempt.ran_for_ms),
            attempt.percent.to_string(),
            attempt.how.clone(),
        ]);
    }
    table
}

fn optional(value: Option<u64>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
