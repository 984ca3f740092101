//! Machines that start for the first time while faults strike: one group comes about, it serves once all is left alone,
//! it keeps what it has committed, and no second group ever commits anything.

mod support;

use fastrand::Rng;
use support::cluster::{MILLISECOND, SECOND};
use support::first_start::{Fault, Layout, Site};

/// Faults strike until then, and one more once clients come.
const FAULTS_END: u64 = 3 * SECOND;
const LAST_FAULT: u64 = 8 * SECOND;
/// The longest time until the group serves once it is left alone.
const RECOVERY: u64 = 15 * SECOND;
/// The longest time until all machines follow one leader.
const REUNION: u64 = 20 * SECOND;
/// Plays of each layout; `FIRST_STARTS` in the environment asks for another number.
const PLAYS: u64 = 100;

const LAYOUTS: [Layout; 4] = [
    Layout { machines: 3, tolerated_losses: 1 },
    Layout { machines: 4, tolerated_losses: 1 },
    Layout { machines: 5, tolerated_losses: 2 },
    Layout { machines: 9, tolerated_losses: 2 },
];

/// Faults and their times, drawn by seed.
fn draw_script(seed: u64, machines: usize) -> Vec<(u64, Fault)> {
    let mut rng = Rng::with_seed(seed);
    let count = rng.usize(1..=6);
    let mut script: Vec<(u64, Fault)> = (0..count)
        .map(|_| {
            let latest = if rng.bool() { 400 * MILLISECOND } else { FAULTS_END };
            (rng.u64(0..latest), Fault::draw(&mut rng, machines))
        })
        .collect();
    script.push((rng.u64(FAULTS_END..LAST_FAULT), Fault::draw(&mut rng, machines)));
    script.sort_by_key(|(at, _)| *at);
    script
}

/// Plays a script, then leaves the site alone. Returns how many processes founded a group by agreement.
fn play(layout: Layout, seed: u64, script: &[(u64, Fault)]) -> usize {
    let mut site = Site::new(layout, seed);
    for (at, fault) in script {
        while site.now < *at {
            site.turn();
            if site.rng.u8(0..10) == 0 {
                site.propose();
            }
        }
        site.strike(fault);
    }
    let healed_at = site.now + 3 * SECOND;
    while site.now < healed_at {
        site.turn();
    }
    site.heal();
    let (before, deadline) = (site.commands(), site.now + RECOVERY);
    while site.commands() < before + 3 {
        assert!(
            site.now < deadline,
            "{layout:?}, seed {seed}, {script:?}: nothing is committed once all is left alone:{}",
            site.state()
        );
        site.turn();
        if site.now % (100 * MILLISECOND) == 0 {
            site.propose();
        }
    }
    site.check_nothing_is_lost();
    let deadline = site.now + REUNION;
    while !site.is_one_group() {
        assert!(site.now < deadline, "{layout:?}, seed {seed}, {script:?}: not one group:{}", site.state());
        site.turn();
    }
    site.foundings
}

fn play_drawn(layout: Layout) {
    let plays = std::env::var("FIRST_STARTS").ok().and_then(|number| number.parse().ok()).unwrap_or(PLAYS);
    let play_seed = |seed| {
        let script = draw_script(seed, layout.machines);
        let played = std::panic::catch_unwind(|| play(layout, seed, &script));
        played.unwrap_or_else(|_| panic!("{layout:?}, seed {seed}: {script:?}"))
    };
    let foundings: usize = (1..=plays).map(play_seed).sum();
    println!("{layout:?}: {plays} plays, {foundings} processes founded a group by agreement");
    assert!(foundings > plays as usize / 10, "the plays bring about too few foundings by agreement");
}

#[test]
fn three_machines_form_one_group_despite_faults_during_the_first_start() {
    play_drawn(LAYOUTS[0]);
}

#[test]
fn four_machines_form_one_group_despite_faults_during_the_first_start() {
    play_drawn(LAYOUTS[1]);
}

#[test]
fn five_machines_form_one_group_despite_faults_during_the_first_start() {
    play_drawn(LAYOUTS[2]);
}

#[test]
fn nine_machines_form_one_group_despite_faults_during_the_first_start() {
    play_drawn(LAYOUTS[3]);
}

/// The seeds are exchanged for machines that are cut off from their first moment, for longer than any group waits for.
fn cut_off_seeds(cut_off: &[usize], seeds: [usize; 3]) -> Vec<(u64, Fault)> {
    let span = 7 * SECOND;
    vec![
        (0, Fault::Cut { machines: cut_off.iter().copied().collect(), span }),
        (400 * MILLISECOND, Fault::ExchangeSeeds { seeds: seeds.into() }),
        (span, Fault::Reload),
    ]
}

#[test]
fn two_groups_without_commands_merge() {
    for seed in 1..=20 {
        play(LAYOUTS[2], seed, &cut_off_seeds(&[2, 3, 4], [2, 3, 4]));
    }
}

#[test]
fn group_without_commands_joins_a_group_that_accepts_commands() {
    for seed in 1..=20 {
        play(LAYOUTS[3], seed, &cut_off_seeds(&[5, 6, 7, 8], [5, 6, 7]));
    }
}
