//! No log entry may be larger than what the other members of the group accept.

use log_records::{batch_payloads, MAX_BATCH_PAYLOAD_BYTES};
use messages::job::mod_Command::OneOfkind;
use messages::job::{Command, CommandBatch, JobSpec, PutConfiguration, Stage, SubmitJob};
use messages::{decode, MAX_FRAME_BYTES};

/// Number of steps of a job near the longest body that clients may send.
const LARGE_JOB_STEPS: usize = 1_000;
/// Length of a label of such a step, in bytes.
const LABEL_BYTES: usize = 200;
/// Longest configuration that the operator's API accepts, in bytes.
const LONGEST_CONFIGURATION_BYTES: usize = 4 * 1024 * 1024;

fn submission(id: u64, steps: usize) -> Command {
    let stage = Stage { count: 1, constraint: "l".repeat(LABEL_BYTES), ..Stage::default() };
    let job = JobSpec { stages: vec![stage; steps], ..JobSpec::default() };
    Command { kind: OneOfkind::submit_job(SubmitJob { id, job: Some(job), ..SubmitJob::default() }) }
}

fn configuration(bytes: usize) -> Command {
    let put = PutConfiguration { body: vec![b'x'; bytes], version: 1, builds_on: 0 };
    Command { kind: OneOfkind::put_configuration(put) }
}

fn decoded(payloads: &[Vec<u8>]) -> Vec<CommandBatch> {
    payloads.iter().map(|payload| decode(payload).expect("a batch")).collect()
}

/// Guards against one entry for all large jobs of a turn, which no other member accepts: the group would commit
/// nothing any more.
#[test]
fn large_jobs_of_one_turn_are_spread_over_several_entries() {
    let commands: Vec<Command> = (1..=60).map(|id| submission(id, LARGE_JOB_STEPS)).collect();
    let payloads = batch_payloads(CommandBatch { commands: commands.clone() });
    assert!(payloads.iter().all(|payload| payload.len() <= MAX_BATCH_PAYLOAD_BYTES));
    let spread: Vec<Command> = decoded(&payloads).into_iter().flat_map(|batch| batch.commands).collect();
    assert_eq!(spread, commands);
}

#[test]
fn entries_are_filled_up_to_the_limit() {
    let commands: Vec<Command> = (1..=60).map(|id| submission(id, LARGE_JOB_STEPS)).collect();
    let bytes: usize = commands.iter().map(messages::encoded_len).sum();
    let payloads = batch_payloads(CommandBatch { commands });
    assert!(payloads.len() <= 2 * bytes.div_ceil(MAX_BATCH_PAYLOAD_BYTES));
}

#[test]
fn usual_turn_is_one_entry() {
    let commands: Vec<Command> = (1..=100).map(|id| submission(id, 4)).collect();
    let batch = CommandBatch { commands };
    assert_eq!(decoded(&batch_payloads(batch.clone())), [batch]);
}

#[test]
fn single_large_command_is_one_entry_within_a_frame() {
    let commands = vec![submission(1, 1), configuration(LONGEST_CONFIGURATION_BYTES), submission(2, 1)];
    let payloads = batch_payloads(CommandBatch { commands: commands.clone() });
    assert!(payloads.iter().all(|payload| payload.len() < MAX_FRAME_BYTES));
    let spread: Vec<Command> = decoded(&payloads).into_iter().flat_map(|batch| batch.commands).collect();
    assert_eq!(spread, commands);
}

#[test]
fn empty_batch_is_one_entry() {
    assert_eq!(batch_payloads(CommandBatch::default()), [Vec::<u8>::new()]);
}
