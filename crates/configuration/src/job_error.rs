//! Errors in job bodies and job IDs.

use quick_error::quick_error;

use crate::job_limits::{MAX_REPEAT, MAX_RESOURCE, MAX_SPEC_CHARS, MAX_STEPS, MAX_TASKS};
use crate::json::JsonError;

quick_error! {
    /// Why a job is rejected. Step numbers count from 0.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum JobError {
        /// The body is not valid JSON, or a value in it has the wrong type.
        Json(error: JsonError) {
            from()
            display("the job cannot be read: {error}")
        }
        /// The path does not end with a valid job ID.
        BadId {
            display("a job's ID must be 16 hex digits in lower case: choose another one")
        }
        /// `Spec` is longer than `MAX_SPEC_CHARS`.
        SpecTooLong(chars: usize) {
            display("Spec has {chars} characters, at most {MAX_SPEC_CHARS} are taken: shorten it")
        }
        /// There are no steps.
        NoSteps {
            display("the job has no Stages: give at least one")
        }
        /// There are more than `MAX_STEPS` steps.
        TooManySteps(steps: usize) {
            display("the job has {steps} Stages, at most {MAX_STEPS} are taken: split it into several jobs")
        }
        /// A step has no tasks.
        NoTasks(step: usize) {
            display("Stages[{step}] has Count 0: give it at least one task, or leave it out")
        }
        /// All steps together have more than `MAX_TASKS` tasks.
        TooManyTasks(tasks: u64) {
            display("the job has {tasks} tasks or more, at most {MAX_TASKS} are taken: split it into several jobs")
        }
        /// A step depends on itself or on a later step.
        DependencyNotEarlier(step: usize, on: u32) {
            display("Stages[{step}] depends on step {on}: DependsOn may name earlier steps only, counted from 0")
        }
        /// A task requests more than `MAX_RESOURCE` of a resource.
        ResourceTooLarge(step: usize, field: &'static str) {
            display("{field} of Stages[{step}] is over {MAX_RESOURCE}, more than any worker has: ask for less")
        }
        /// `Repeat` is greater than `MAX_REPEAT`.
        RepeatTooLarge(repeat: u32) {
            display("Repeat is {repeat}, at most {MAX_REPEAT} is taken: hand the job in anew for the rest")
        }
        /// The last occurrence is due at a time beyond 2^53 ms.
        LastOccurrenceTooLate {
            display("the last of the job's times falls due beyond 2^53 ms: lower StartAtMs, IntervalMs or Repeat")
        }
    }
}
