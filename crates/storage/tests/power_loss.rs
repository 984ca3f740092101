//! Random scripts of operations, faults, kills and losses of power: all that was reported durable is there
//! afterwards, in order, and nothing that was never written.

mod support;

use quickcheck::{Gen, QuickCheck, TestResult};
use support::script::{Failure, Player, Step};

/// Steps of a script.
const STEPS: usize = 60;
/// Steps of a script that is stopped at each of its operations.
const STEPS_STOPPED_EVERYWHERE: usize = 12;

fn to_test_result(result: Result<(), Failure>) -> TestResult {
    match result {
        Ok(()) => TestResult::passed(),
        Err(failure) => TestResult::error(failure),
    }
}

fn segment_bytes(seed: u64) -> u64 {
    [150, 400, 1500, 1 << 20][(seed % 4) as usize]
}

/// Two losses of power with a write between: what was recovered is durable, and the store goes on.
fn finish(player: &mut Player) -> Result<(), Failure> {
    player.lose_power();
    for bytes in [10, 20] {
        while !player.start()? {}
        player.play(&Step::Append { count: 2, bytes, vote: true })?;
        player.lose_power();
    }
    while !player.start()? {}
    Ok(())
}

fn play(seed: u64, steps: &[Step]) -> Result<(), Failure> {
    let mut player = Player::new(seed, segment_bytes(seed));
    for step in steps {
        player.play(step)?;
    }
    finish(&mut player)
}

/// Plays the script once for each of its operations, which is the one that is not finished.
fn play_stopped_everywhere(seed: u64, steps: &[Step]) -> Result<(), Failure> {
    for operations in 0.. {
        let mut player = Player::new(seed.wrapping_add(operations), segment_bytes(seed));
        player.disk.halt_after(operations);
        for step in steps {
            player.play(step)?;
        }
        let reached = player.disk.operations() > operations;
        finish(&mut player)?;
        if !reached {
            break;
        }
    }
    Ok(())
}

#[test]
fn what_was_reported_durable_survives_any_script() {
    fn property(seed: u64, steps: Vec<Step>) -> TestResult {
        to_test_result(play(seed, &steps))
    }
    let mut check = QuickCheck::new().rng(Gen::new(STEPS)).tests(3000);
    check.quickcheck(property as fn(u64, Vec<Step>) -> TestResult);
}

#[test]
fn what_was_reported_durable_survives_a_stop_at_every_operation() {
    fn property(seed: u64, steps: Vec<Step>) -> TestResult {
        to_test_result(play_stopped_everywhere(seed, &steps))
    }
    let mut check = QuickCheck::new().rng(Gen::new(STEPS_STOPPED_EVERYWHERE)).tests(300);
    check.quickcheck(property as fn(u64, Vec<Step>) -> TestResult);
}
