//! Random scripts of operations, faults, kills and power losses. After each restart, the store holds all data
//! that was reported durable, in order, and nothing that was never written.

mod support;

use quickcheck::{Gen, QuickCheck, TestResult};
use support::script::{Failure, ScriptRunner, Step};

/// Maximum number of steps of a random script.
const STEPS: usize = 60;
/// Maximum number of steps of a script that is run once for each operation at which it can be halted.
const STEPS_HALTED_EVERYWHERE: usize = 12;

fn to_test_result(result: Result<(), Failure>) -> TestResult {
    match result {
        Ok(()) => TestResult::passed(),
        Err(failure) => TestResult::error(failure),
    }
}

fn segment_bytes(seed: u64) -> u64 {
    [150, 400, 1500, 1 << 20][(seed % 4) as usize]
}

/// Loses power several times with writes in between: the recovered state is durable, and the store accepts
/// writes.
fn finish(runner: &mut ScriptRunner) -> Result<(), Failure> {
    runner.lose_power();
    for bytes in [10, 20] {
        while !runner.start()? {}
        runner.run_step(&Step::Append { count: 2, bytes, vote: true })?;
        runner.lose_power();
    }
    while !runner.start()? {}
    Ok(())
}

fn run_script(seed: u64, steps: &[Step]) -> Result<(), Failure> {
    let mut runner = ScriptRunner::new(seed, segment_bytes(seed));
    for step in steps {
        runner.run_step(step)?;
    }
    finish(&mut runner)
}

/// Runs the script once for each of its operations and halts that operation.
fn run_halted_everywhere(seed: u64, steps: &[Step]) -> Result<(), Failure> {
    for operations in 0.. {
        let mut runner = ScriptRunner::new(seed.wrapping_add(operations), segment_bytes(seed));
        runner.disk.halt_after(operations);
        for step in steps {
            runner.run_step(step)?;
        }
        let reached = runner.disk.operations() > operations;
        finish(&mut runner)?;
        if !reached {
            break;
        }
    }
    Ok(())
}

#[test]
fn durable_state_survives_random_scripts() {
    fn property(seed: u64, steps: Vec<Step>) -> TestResult {
        to_test_result(run_script(seed, &steps))
    }
    let mut check = QuickCheck::new().rng(Gen::new(STEPS)).tests(3000);
    check.quickcheck(property as fn(u64, Vec<Step>) -> TestResult);
}

#[test]
fn durable_state_survives_halt_at_every_operation() {
    fn property(seed: u64, steps: Vec<Step>) -> TestResult {
        to_test_result(run_halted_everywhere(seed, &steps))
    }
    let mut check = QuickCheck::new().rng(Gen::new(STEPS_HALTED_EVERYWHERE)).tests(300);
    check.quickcheck(property as fn(u64, Vec<Step>) -> TestResult);
}
