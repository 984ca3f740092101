//! Idle connections are closed only above the limit, the longest idle first.

use control::connection_budget::{max_worker_connections, ConnectionBudget, IdleTicket};
use quickcheck::quickcheck;

/// Closes idle connections until the limit holds, and returns their owners in the order of closing.
fn close_excess(budget: &mut ConnectionBudget<u32>) -> Vec<u32> {
    let mut owners = Vec::new();
    while let Some((_, owner)) = budget.take_excess() {
        budget.closed();
        owners.push(owner);
    }
    owners
}

#[test]
fn reserves_descriptors_for_files_and_other_connections() {
    assert_eq!(max_worker_connections(4_096), 2_567);
    assert_eq!(max_worker_connections(6_124), 3_986);
    assert_eq!(max_worker_connections(1_000), 500);
    assert_eq!(max_worker_connections(256), 128);
    assert_eq!(max_worker_connections(0), usize::MAX);
}

#[test]
fn all_connections_stay_under_70_percent_of_descriptors() {
    for descriptors in [2_000, 4_096, 4_324, 6_124, 20_000] {
        let other = 300;
        let most = max_worker_connections(descriptors) + other;
        assert!(most * 10 <= usize::try_from(descriptors).expect("few") * 7, "{most} of {descriptors}");
    }
}

#[test]
fn has_room_below_limit_or_with_an_idle_connection() {
    let mut budget = ConnectionBudget::new(1);
    assert!(budget.has_room());
    budget.opened();
    assert!(!budget.has_room());
    let ticket = budget.became_idle(1);
    assert!(budget.has_room());
    budget.no_longer_idle(ticket);
    assert!(!budget.has_room());
}

#[test]
fn closes_nothing_at_the_limit() {
    let mut budget = ConnectionBudget::new(3);
    for owner in 0..3 {
        budget.opened();
        budget.became_idle(owner);
    }
    assert!(close_excess(&mut budget).is_empty());
    assert_eq!(budget.open(), 3);
}

#[test]
fn closes_longest_idle_connection_first() {
    let mut budget = ConnectionBudget::new(3);
    (0..3).for_each(|_| budget.opened());
    let first = budget.became_idle(1);
    budget.became_idle(2);
    budget.no_longer_idle(first);
    budget.became_idle(1);
    (0..2).for_each(|_| budget.opened());
    assert_eq!(close_excess(&mut budget), [2, 1]);
    assert_eq!(budget.open(), 3);
}

#[test]
fn keeps_connections_in_use_above_the_limit() {
    let mut budget = ConnectionBudget::new(1);
    (0..3).for_each(|_| budget.opened());
    assert!(close_excess(&mut budget).is_empty());
    budget.became_idle(7);
    assert_eq!(close_excess(&mut budget), [7]);
    assert_eq!(budget.open(), 2);
}

#[test]
fn limit_of_4096_descriptors_is_enough_for_1900_workers() {
    let limit = max_worker_connections(4_096);
    let mut budget = ConnectionBudget::new(limit);
    for worker in 0..1_900 {
        budget.opened();
        budget.opened();
        budget.became_idle(worker);
        close_excess(&mut budget);
        assert!(budget.open() <= limit);
    }
    assert_eq!(budget.open(), limit);
}

quickcheck! {
    fn idle_connections_never_exceed_the_limit(limit: u8, script: Vec<u8>) -> bool {
        let limit = usize::from(limit % 16);
        let mut budget = ConnectionBudget::new(limit);
        let (mut busy, mut idle): (usize, Vec<(IdleTicket, u32)>) = (0, Vec::new());
        for (step, choice) in (0u32..).zip(script) {
            match choice % 4 {
                0 => { budget.opened(); busy += 1; }
                1 if busy > 0 => { busy -= 1; idle.push((budget.became_idle(step), step)); }
                2 if !idle.is_empty() => { budget.no_longer_idle(idle.remove(usize::from(choice) % idle.len()).0); busy += 1; }
                3 if busy > 0 => { budget.closed(); busy -= 1; }
                _ => {}
            }
            let excess = (busy + idle.len()).saturating_sub(limit).min(idle.len());
            let expected: Vec<u32> = idle.drain(..excess).map(|(_, owner)| owner).collect();
            if close_excess(&mut budget) != expected || budget.open() != busy + idle.len() {
                return false;
            }
        }
        true
    }
}
