//! Identity of configuration changes: of two changes with the same version at most one is accepted, and a
//! repeat of an accepted change is recognized for good.

mod cluster;
mod commands;

use cluster::{configuration, Cluster};
use commands::{apply, job, stage, store_configuration, submit};
use messages::job::{PutConfiguration, SchedulerSnapshot};
use scheduler::leader::ConfigurationReply;
use scheduler::state::{ConfigurationDigest, SnapshotError, State, StateChange};

const JOB: u64 = 0x5c0e_7a21_d94b_36f8;

fn restore_from_snapshot(state: &State) -> State {
    State::restore(&state.snapshot()).expect("a complete snapshot")
}

fn is_repeat(applied: &[StateChange]) -> bool {
    matches!(applied, [StateChange::ConfigurationRepeated { .. }])
}

/// FNV-1a with 128 bits, the hash that snapshots of format 0 store for earlier configurations.
fn fnv_1a_128(body: &[u8]) -> Vec<u8> {
    let start = 144_066_263_297_769_815_596_495_629_667_062_367_629_u128;
    let prime = (1_u128 << 88) + (1 << 8) + 0x3b;
    let hash = body.iter().fold(start, |hash, byte| (hash ^ u128::from(*byte)).wrapping_mul(prime));
    hash.to_le_bytes().to_vec()
}

/// The rejected change must stay rejected when both changes are repeated and the state is restored from
/// snapshots.
#[test]
fn accepts_only_one_of_two_changes_with_the_same_version() {
    let mut state = State::new();
    apply(&mut state, store_configuration("first", 1, 0));
    assert!(matches!(
        apply(&mut state, store_configuration("winner", 4, 1))[..],
        [StateChange::ConfigurationAccepted { .. }]
    ));
    for _ in 0..3 {
        let rejected = apply(&mut state, store_configuration("loser", 4, 1));
        assert!(
            matches!(rejected[..], [StateChange::ConfigurationConflict { current: 4, .. }]),
            "{rejected:?}"
        );
        assert!(is_repeat(&apply(&mut state, store_configuration("winner", 4, 1))));
        state = restore_from_snapshot(&state);
    }
    let rejected = apply(&mut state, store_configuration("loser", 4, 4));
    assert!(
        matches!(rejected[..], [StateChange::ConfigurationVersionTooLow { .. }]),
        "the version is already in use: {rejected:?}"
    );
    assert_eq!(state.configuration().expect("a configuration is in force").body, b"winner");
}

#[test]
fn recognizes_repeated_changes_after_700_changes_and_snapshots() {
    let mut state = State::new();
    let change = |number: u64| {
        store_configuration(&format!("body {number}"), number * 3, number.saturating_sub(1) * 3)
    };
    for number in 1..=700 {
        assert!(matches!(apply(&mut state, change(number))[..], [StateChange::ConfigurationAccepted { .. }]));
        if number % 90 == 0 {
            state = restore_from_snapshot(&state);
        }
    }
    for number in 1..=700 {
        assert!(is_repeat(&apply(&mut state, change(number))), "change {number} is rejected");
    }
    assert_eq!(state.configuration_version(), 2_100);
}

#[test]
fn repeat_of_a_change_in_flight_gets_the_same_reply() {
    let mut cluster = Cluster::new(1);
    let body = configuration(7, &[("/a/", 1)]);
    let first = cluster.send_configuration(body.clone(), Some(1));
    let again = cluster.send_configuration(body.clone(), Some(1));
    let is_answered = |cluster: &Cluster, token| cluster.configuration_replies.contains_key(&token);
    assert!(!is_answered(&cluster, first) && !is_answered(&cluster, again), "nothing is committed yet");
    assert!(cluster.run_until(200, |cluster| cluster.configuration_replies.contains_key(&again)));
    assert_eq!(cluster.configuration_replies.get(&first).cloned(), Some(ConfigurationReply::Accepted));
    assert_eq!(cluster.configuration_replies.get(&again).cloned(), Some(ConfigurationReply::Accepted));
    assert_eq!(
        cluster.configure(body, Some(1)),
        Some(ConfigurationReply::Accepted),
        "a repeat after the commit gets the same reply"
    );
}

#[test]
fn accepts_only_one_of_two_conflicting_changes_in_flight() {
    let mut cluster = Cluster::new(1);
    let one = cluster.send_configuration(configuration(7, &[("/a/", 1)]), Some(1));
    let other = cluster.send_configuration(configuration(7, &[("/b/", 1)]), Some(1));
    assert!(cluster.run_until(200, |cluster| cluster.configuration_replies.contains_key(&other)));
    assert_eq!(cluster.configuration_replies.get(&one).cloned(), Some(ConfigurationReply::Accepted));
    assert!(matches!(
        cluster.configuration_replies.get(&other).cloned(),
        Some(ConfigurationReply::Conflict { .. })
    ));
}

#[test]
fn recognizes_changes_from_snapshots_of_format_0() {
    let stored = SchedulerSnapshot {
        configurations: vec![
            PutConfiguration { body: fnv_1a_128(b"oldest"), version: 2, builds_on: 0 },
            PutConfiguration { body: b"newest".to_vec(), version: 5, builds_on: 2 },
        ],
        ..SchedulerSnapshot::default()
    };
    let mut state = State::restore(&stored).expect("format 0 is read");
    for _ in 0..2 {
        assert!(is_repeat(&apply(&mut state, store_configuration("oldest", 2, 0))));
        assert!(is_repeat(&apply(&mut state, store_configuration("newest", 5, 2))));
        let rejected = apply(&mut state, store_configuration("other", 2, 0));
        assert!(matches!(rejected[..], [StateChange::ConfigurationConflict { .. }]));
        let next = state.configuration_version() + 1;
        apply(&mut state, store_configuration(&format!("later {next}"), next, next - 1));
        state = restore_from_snapshot(&state);
    }
}

#[test]
fn digests_are_sha_256() {
    // FIPS 180-2, appendix B.1.
    let expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(ConfigurationDigest::of(b"abc").to_string(), expected);
}

#[test]
fn rejects_incomplete_snapshots_and_names_the_remedy() {
    let mut state = State::new();
    apply(&mut state, store_configuration("a", 3, 0));
    apply(&mut state, store_configuration("b", 5, 3));
    apply(&mut state, submit(JOB, job(vec![stage(1)])));
    apply(&mut state, commands::start_on_worker(&[commands::task(JOB, 0, 0)], 1, "w"));
    let complete = state.snapshot();
    assert!(State::restore(&complete).is_ok());

    let mut truncated = complete.clone();
    truncated.configurations[0].body.pop();
    assert_eq!(
        State::restore(&truncated).expect_err("a digest is truncated"),
        SnapshotError::InvalidDigest(3, 31)
    );
    let mut later = complete.clone();
    later.format = 9;
    assert_eq!(State::restore(&later).expect_err("a later format"), SnapshotError::UnsupportedFormat(9, 1));
    let mut without = complete.clone();
    without.jobs[0].submit = None;
    assert!(matches!(State::restore(&without), Err(SnapshotError::InvalidJob(_))));
    let mut without = complete.clone();
    without.workers[0].incarnation = None;
    assert_eq!(State::restore(&without).expect_err("no incarnation"), SnapshotError::WorkerWithoutInstance);
    let remedy = SnapshotError::InvalidDigest(3, 31).to_string();
    assert!(remedy.contains("joins the group anew"), "{remedy}");
}
