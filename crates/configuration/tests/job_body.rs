//! Job bodies and job IDs.

mod documents;

use configuration::job_body::{self, MAX_REPEAT, MAX_SPEC_CHARS, MAX_STEPS, MAX_TASKS};
use configuration::{job_id, JobError, JsonError};
use documents::{changed, JOB};
use messages::job::JobSpec;
use quickcheck::quickcheck;

fn read(text: &str) -> Result<JobSpec, JobError> {
    job_body::read(text.as_bytes())
}

fn valid(text: &str) -> JobSpec {
    read(text).unwrap_or_else(|error| panic!("{text}: {error}"))
}

fn error(from: &str, to: &str) -> JobError {
    read(&changed(JOB, from, to)).expect_err("the change makes it invalid")
}

#[test]
fn every_field_is_read() {
    let job = valid(JOB);
    assert_eq!(job.spec, "sort \"all\" é\n");
    assert_eq!((job.start_at_ms, job.interval_ms, job.repeat), (1_700_000_000_000, 60_000, 4));
    let first = &job.stages[0];
    assert_eq!((first.count, first.cpu, first.mem_mb, first.gpu), (3, 250, 128, 0));
    assert_eq!((first.est_runtime_ms, first.affinity.as_str()), (700, "rack-2"));
    assert!(!first.checkpoints && !first.gang && !first.rack_local);
    assert!(!first.speculative && !first.long_running);
    assert!(first.depends_on.is_empty() && first.constraint.is_empty());
    let second = &job.stages[1];
    assert_eq!((second.count, second.cpu, second.mem_mb, second.gpu), (5, 1000, 512, 1));
    assert_eq!(second.depends_on, [0]);
    assert!(second.checkpoints && second.gang && second.rack_local);
    assert!(second.speculative && second.long_running);
    assert_eq!((second.constraint.as_str(), second.anti_affinity), ("fast", 2));
}

#[test]
fn all_fields_except_one_task_are_optional() {
    let job = valid(r#"{"Stages":[{"Count":1}]}"#);
    assert_eq!(job.stages.len(), 1);
    assert_eq!((job.spec.as_str(), job.start_at_ms, job.interval_ms, job.repeat), ("", 0, 0, 0));
}

#[test]
fn alternative_forms_of_fields_are_accepted() {
    assert_eq!(valid(r#"{"Stages":[{"Count":2.0,"Cpu":1e3}]}"#).stages[0].cpu, 1000);
    assert_eq!(valid(r#"{"Stages":[{"Count":1,"EstRuntimeMs":99.5}]}"#).stages[0].est_runtime_ms, 99);
    assert_eq!(valid(r#"{"Stages":[{"Count":1,"Constraints":["b"]}]}"#).stages[0].constraint, "b");
    assert_eq!(valid(r#"{"Stages":[{"Count":1,"Constraints":[]}]}"#).stages[0].constraint, "");
    assert_eq!(valid(r#"{"Stages":[{"Count":1,"Constraints":null}]}"#).stages[0].constraint, "");
    let duplicate = r#"{"Stages":[{"Count":1},{"Count":1},{"Count":1,"DependsOn":[1,0,1]}]}"#;
    assert_eq!(valid(duplicate).stages[2].depends_on, [0, 1]);
}

#[test]
fn flags_of_the_job_apply_to_all_steps() {
    let job = valid(r#"{"LongRunning":true,"Speculative":true,"Stages":[{"Count":1},{"Count":1}]}"#);
    assert!(job.stages.iter().all(|stage| stage.long_running && stage.speculative));
}

#[test]
fn job_without_tasks_is_rejected() {
    assert_eq!(read("{}"), Err(JobError::NoSteps));
    assert_eq!(read(r#"{"Stages":[]}"#), Err(JobError::NoSteps));
    assert_eq!(read(r#"{"Stages":null}"#), Err(JobError::NoSteps));
    assert_eq!(error(r#""Count":5"#, r#""Count":0"#), JobError::NoTasks(1));
    assert_eq!(error(r#""Count":5,"#, ""), JobError::NoTasks(1));
}

#[test]
fn dependency_on_the_same_or_a_later_step_is_rejected() {
    assert_eq!(error("[0]", "[1]"), JobError::DependencyNotEarlier(1, 1));
    assert_eq!(error("[0]", "[0,2]"), JobError::DependencyNotEarlier(1, 2));
    assert_eq!(error(r#""Count":3"#, r#""Count":3,"DependsOn":[0]"#), JobError::DependencyNotEarlier(0, 0));
}

#[test]
fn spec_over_the_limit_in_characters_is_rejected() {
    let with_spec = |spec: String| read(&format!(r#"{{"Spec":"{spec}","Stages":[{{"Count":1}}]}}"#));
    assert!(with_spec("x".repeat(MAX_SPEC_CHARS)).is_ok());
    assert!(with_spec("é".repeat(MAX_SPEC_CHARS)).is_ok());
    let too_long = Err(JobError::SpecTooLong(MAX_SPEC_CHARS + 1));
    assert_eq!(with_spec("x".repeat(MAX_SPEC_CHARS + 1)), too_long);
}

#[test]
fn sizes_over_the_limits_are_rejected() {
    let steps =
        |count: usize| read(&format!(r#"{{"Stages":[{}]}}"#, vec![r#"{"Count":1}"#; count].join(",")));
    assert!(steps(MAX_STEPS).is_ok());
    assert_eq!(steps(MAX_STEPS + 1), Err(JobError::TooManySteps(MAX_STEPS + 1)));
    let tasks = |count: u64| read(&format!(r#"{{"Stages":[{{"Count":1}},{{"Count":{count}}}]}}"#));
    assert!(tasks(MAX_TASKS - 1).is_ok());
    assert_eq!(tasks(MAX_TASKS), Err(JobError::TooManyTasks(MAX_TASKS + 1)));
    let repeat = |count: u32| read(&format!(r#"{{"Stages":[{{"Count":1}}],"Repeat":{count}}}"#));
    assert!(repeat(MAX_REPEAT).is_ok());
    assert_eq!(repeat(MAX_REPEAT + 1), Err(JobError::RepeatTooLarge(MAX_REPEAT + 1)));
    assert_eq!(error(r#""Gpu":1"#, r#""Gpu":9007199254740992"#), JobError::ResourceTooLarge(1, "Gpu"));
    assert_eq!(
        error(r#""IntervalMs":60000"#, r#""IntervalMs":9007199254740992"#),
        JobError::LastOccurrenceTooLate
    );
}

#[test]
fn unreadable_bodies_are_rejected() {
    for length in 0..JOB.len() {
        let result = job_body::read(&JOB.as_bytes()[..length]);
        assert!(matches!(result, Err(JobError::Json(_))), "truncated to {length} bytes");
    }
    assert!(matches!(read(&format!("{JOB}x")), Err(JobError::Json(JsonError::Malformed(_)))));
    assert_eq!(read(&"[".repeat(200_000)), Err(JobError::Json(JsonError::TooDeep)));
}

#[test]
fn wrong_types_are_rejected() {
    for (from, to) in [
        (r#""Count":3"#, r#""Count":-3"#),
        (r#""Count":3"#, r#""Count":2.5"#),
        (r#""Count":3"#, r#""Count":"3""#),
        (r#""Count":3"#, r#""Count":1e999"#),
        (r#""Count":3"#, r#""Count":4294967296"#),
        (r#""Cpu":250"#, r#""Cpu":-1"#),
        (r#""EstRuntimeMs":700"#, r#""EstRuntimeMs":-0.5"#),
        (r#""Gang":true"#, r#""Gang":1"#),
        (r#""DependsOn":[0]"#, r#""DependsOn":0"#),
        (r#""DependsOn":[0]"#, r#""DependsOn":["0"]"#),
        (r#""DependsOn":[0]"#, r#""DependsOn":[-1]"#),
        (r#""Constraints":"fast""#, r#""Constraints":["a","b"]"#),
        (r#""Constraints":"fast""#, r#""Constraints":[1]"#),
        (r#""Constraints":"fast""#, r#""Constraints":5"#),
        (r#""StartAtMs":1700000000000"#, r#""StartAtMs":-1"#),
        (r#""Spec":""#, r#""Spec":1,"Other":""#),
    ] {
        let result = error(from, to);
        assert!(matches!(result, JobError::Json(JsonError::WrongType(..))), "{to}: {result}");
    }
}

#[test]
fn job_id_has_16_lower_case_hex_digits() {
    assert_eq!(job_id::parse("00000000000000af"), Ok(0xaf));
    assert_eq!(job_id::parse("ffffffffffffffff"), Ok(u64::MAX));
    for bad in ["", "af", "00000000000000a", "00000000000000aff", "00000000000000AF", "000000000000000g"] {
        assert_eq!(job_id::parse(bad), Err(JobError::BadId), "{bad}");
    }
    for bad in ["+0000000000000af", "0000000000000/af", "00000000000000é"] {
        assert_eq!(job_id::parse(bad), Err(JobError::BadId), "{bad}");
    }
}

quickcheck! {
    fn formatted_job_id_parses_to_the_same_id(id: u64) -> bool {
        job_id::parse(&job_id::format(id)) == Ok(id)
    }

    fn parsed_job_id_formats_to_the_same_text(text: String) -> bool {
        job_id::parse(&text).map_or(true, |id| job_id::format(id) == text)
    }
}
