//! Tests of machines that start for the first time while faults are injected: one group is formed, it accepts
//! commands after the faults have ended, it loses no committed command, and no second group ever commits
//! anything.

mod support;

use fastrand::Rng;
use support::cluster::{MILLISECOND, SECOND};
use support::first_start::{Deployment, Fault, Layout};

/// All faults except the last one are injected before this time. The last one is injected later, while
/// clients propose commands.
const FAULTS_END_NS: u64 = 3 * SECOND;
const LAST_FAULT_NS: u64 = 8 * SECOND;
/// Maximum time until the group accepts commands after the faults have ended.
const RECOVERY_TIMEOUT_NS: u64 = 15 * SECOND;
/// Maximum time until all machines follow one leader.
const CONVERGENCE_TIMEOUT_NS: u64 = 20 * SECOND;
/// Number of runs for each layout, unless the environment variable `FIRST_STARTS` sets another number.
const DEFAULT_RUNS: u64 = 100;

const LAYOUTS: [Layout; 4] = [
    Layout { machines: 3, tolerated_losses: 1 },
    Layout { machines: 4, tolerated_losses: 1 },
    Layout { machines: 5, tolerated_losses: 2 },
    Layout { machines: 9, tolerated_losses: 2 },
];

/// Returns random faults and their times, derived from the seed.
fn random_script(seed: u64, machines: usize) -> Vec<(u64, Fault)> {
    let mut rng = Rng::with_seed(seed);
    let count = rng.usize(1..=6);
    let mut script: Vec<(u64, Fault)> = (0..count)
        .map(|_| {
            let latest = if rng.bool() { 400 * MILLISECOND } else { FAULTS_END_NS };
            (rng.u64(0..latest), Fault::random(&mut rng, machines))
        })
        .collect();
    script.push((rng.u64(FAULTS_END_NS..LAST_FAULT_NS), Fault::random(&mut rng, machines)));
    script.sort_by_key(|(at, _)| *at);
    script
}

/// Runs a script of faults, then runs without faults and checks that the group recovers. Returns how many
/// times a process founded a group by agreement.
fn run_script(layout: Layout, seed: u64, script: &[(u64, Fault)]) -> usize {
    let mut deployment = Deployment::new(layout, seed);
    for (at, fault) in script {
        while deployment.now < *at {
            deployment.step();
            if deployment.rng.u8(0..10) == 0 {
                deployment.propose();
            }
        }
        deployment.inject(fault);
    }
    let healed_at = deployment.now + 3 * SECOND;
    while deployment.now < healed_at {
        deployment.step();
    }
    deployment.heal();
    let (before, deadline) = (deployment.committed_commands(), deployment.now + RECOVERY_TIMEOUT_NS);
    while deployment.committed_commands() < before + 3 {
        assert!(
            deployment.now < deadline,
            "{layout:?}, seed {seed}, {script:?}: nothing is committed after the faults have ended:{}",
            deployment.describe()
        );
        deployment.step();
        if deployment.now % (100 * MILLISECOND) == 0 {
            deployment.propose();
        }
    }
    deployment.check_no_command_is_lost();
    let deadline = deployment.now + CONVERGENCE_TIMEOUT_NS;
    while !deployment.all_follow_one_leader() {
        assert!(
            deployment.now < deadline,
            "{layout:?}, seed {seed}, {script:?}: not one group:{}",
            deployment.describe()
        );
        deployment.step();
    }
    deployment.foundings
}

fn run_random_scripts(layout: Layout) {
    let runs =
        std::env::var("FIRST_STARTS").ok().and_then(|number| number.parse().ok()).unwrap_or(DEFAULT_RUNS);
    let run_seed = |seed| {
        let script = random_script(seed, layout.machines);
        let result = std::panic::catch_unwind(|| run_script(layout, seed, &script));
        result.unwrap_or_else(|_| panic!("{layout:?}, seed {seed}: {script:?}"))
    };
    let foundings: usize = (1..=runs).map(run_seed).sum();
    println!("{layout:?}: {runs} runs, {foundings} processes founded a group by agreement");
    assert!(foundings > runs as usize / 10, "too few of the runs found a group by agreement");
}

#[test]
fn three_machines_form_one_group_despite_faults_during_the_first_start() {
    run_random_scripts(LAYOUTS[0]);
}

#[test]
fn four_machines_form_one_group_despite_faults_during_the_first_start() {
    run_random_scripts(LAYOUTS[1]);
}

#[test]
fn five_machines_form_one_group_despite_faults_during_the_first_start() {
    run_random_scripts(LAYOUTS[2]);
}

#[test]
fn nine_machines_form_one_group_despite_faults_during_the_first_start() {
    run_random_scripts(LAYOUTS[3]);
}

/// The seeds are replaced by machines that are partitioned from the others from the start, for longer than
/// any timeout of a group.
fn partitioned_seeds(partitioned: &[usize], seeds: [usize; 3]) -> Vec<(u64, Fault)> {
    let duration_ns = 7 * SECOND;
    vec![
        (0, Fault::Partition { machines: partitioned.iter().copied().collect(), duration_ns }),
        (400 * MILLISECOND, Fault::ReplaceSeeds { seeds: seeds.into() }),
        (duration_ns, Fault::DisableBootstrap),
    ]
}

#[test]
fn two_groups_without_commands_merge() {
    for seed in 1..=20 {
        run_script(LAYOUTS[2], seed, &partitioned_seeds(&[2, 3, 4], [2, 3, 4]));
    }
}

#[test]
fn group_without_commands_joins_a_group_that_accepts_commands() {
    for seed in 1..=20 {
        run_script(LAYOUTS[3], seed, &partitioned_seeds(&[5, 6, 7, 8], [5, 6, 7]));
    }
}
