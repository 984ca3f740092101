//! Exhaustive search within small bounds: each fault of a list is injected before each of the next events of
//! a running group, alone and in pairs, and the oracle checks every schedule to its end.
//!
//! The schedule without faults is fixed (each message and write takes a millisecond), so a placement is a
//! list of pairs of event number and fault. The large bounds are searched by
//! `CONSENSUS_PLACEMENTS=large cargo test --release -p consensus --test fault_placements`.

mod support;

use consensus::{Event, Node, Options};
use std::sync::atomic::{AtomicU64, Ordering};
use support::cluster::{Cluster, Conditions, MILLISECOND, SECOND};

/// Number of founders of the group. One more machine, the spare, can join as a learner.
const FOUNDERS: usize = 3;
const MACHINES: usize = 4;
const SPARE: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// A machine loses power and restarts after this time.
    RestartAfterPowerLoss { slot: usize, milliseconds: u64 },
    /// All running machines lose power at once and restart.
    RestartAllAfterPowerLoss,
    /// A machine loses power and its disk, and restarts with an empty disk.
    ReplaceDisk { slot: usize },
    /// A machine neither sends nor receives messages for this time.
    Isolate { slot: usize, milliseconds: u64 },
    /// The same as `Isolate`, and a packet filter refuses connections to and from the machine.
    IsolateAndRefuse { slot: usize, milliseconds: u64 },
    /// A process is frozen for this time.
    Freeze { slot: usize, milliseconds: u64 },
    /// A disk completes no write for this time.
    StallDisk { slot: usize, milliseconds: u64 },
    /// The leader transfers leadership.
    Transfer,
    /// The spare machine starts with an empty disk.
    StartSpare,
    /// The next message is lost.
    DropMessage,
    /// The next message is delayed.
    DelayMessage { milliseconds: u64 },
    /// The next message arrives a second time, after this time.
    DuplicateMessage { milliseconds: u64 },
}

fn faults(cluster: &Cluster) -> Vec<Fault> {
    let mut faults = vec![Fault::RestartAllAfterPowerLoss, Fault::Transfer, Fault::StartSpare];
    for slot in 0..FOUNDERS {
        faults.extend([0, 500].map(|milliseconds| Fault::RestartAfterPowerLoss { slot, milliseconds }));
        faults.extend([100, 400].map(|milliseconds| Fault::Isolate { slot, milliseconds }));
        faults.extend([100, 400].map(|milliseconds| Fault::IsolateAndRefuse { slot, milliseconds }));
        faults.push(Fault::Freeze { slot, milliseconds: 160 });
        faults.push(Fault::StallDisk { slot, milliseconds: 400 });
        // A group of three must survive the loss of one disk. A lost disk counts until its voter has been
        // replaced.
        if cluster.all_voters_have_their_disks() && cluster.committed_voters() >= FOUNDERS {
            faults.push(Fault::ReplaceDisk { slot });
        }
    }
    if cluster.next_is_message() {
        faults.push(Fault::DropMessage);
        faults.extend([150, 700].map(|milliseconds| Fault::DelayMessage { milliseconds }));
        faults.extend([150, 700].map(|milliseconds| Fault::DuplicateMessage { milliseconds }));
    }
    faults
}

fn inject(cluster: &mut Cluster, fault: Fault) {
    match fault {
        Fault::RestartAfterPowerLoss { slot, milliseconds } => {
            cluster.restart_after_power_loss(slot, milliseconds * MILLISECOND);
        }
        Fault::RestartAllAfterPowerLoss => (0..MACHINES)
            .filter(|slot| cluster.node(*slot).is_some())
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|slot| cluster.restart_after_power_loss(slot, 10 * MILLISECOND)),
        Fault::ReplaceDisk { slot } => cluster.replace_disk(slot, 100 * MILLISECOND),
        Fault::Isolate { slot, milliseconds } => {
            cluster.isolate(slot);
            cluster.heal_after(milliseconds * MILLISECOND);
        }
        Fault::IsolateAndRefuse { slot, milliseconds } => {
            cluster.isolate(slot);
            cluster.heal_after(milliseconds * MILLISECOND);
            let peer = cluster.id(slot);
            for other in (0..FOUNDERS).filter(|other| *other != slot) {
                cluster.handle(other, Event::PeerDown { peer });
                let to = cluster.id(other);
                cluster.handle(slot, Event::PeerDown { peer: to });
            }
        }
        Fault::Freeze { slot, milliseconds } => cluster.freeze(slot, milliseconds * MILLISECOND),
        Fault::StallDisk { slot, milliseconds } => cluster.stall_disk(slot, milliseconds * MILLISECOND),
        Fault::Transfer => {
            if let Some(leader) = cluster.leader() {
                cluster.handle(leader, Event::Transfer);
            }
        }
        Fault::StartSpare => cluster.start(SPARE),
        Fault::DropMessage => cluster.drop_next(),
        Fault::DelayMessage { milliseconds } => cluster.delay_next(milliseconds * MILLISECOND),
        Fault::DuplicateMessage { milliseconds } => cluster.duplicate_next(milliseconds * MILLISECOND),
    }
}

/// Prints the injected faults and their event numbers if a schedule breaks an invariant.
struct Placement(Vec<(usize, Fault)>);

impl Drop for Placement {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("faults by the number of the event they come before: {:?}", self.0);
        }
    }
}

/// Bounds of the search.
#[derive(Clone, Copy)]
struct Bounds {
    /// Number of events before each of which the first fault is injected.
    first: usize,
    /// Number of events after the first fault before each of which the second fault is injected; 0 for no
    /// second fault.
    second: usize,
}

/// Number of visited schedules and events.
#[derive(Default)]
struct Visited {
    schedules: AtomicU64,
    events: AtomicU64,
}

/// Number of events between two proposals.
const EVENTS_PER_PROPOSAL: usize = 12;

fn step(cluster: &mut Cluster, number: usize, visited: &Visited) {
    if number % EVENTS_PER_PROPOSAL == 0 {
        cluster.propose(8);
    }
    cluster.step();
    visited.events.fetch_add(1, Ordering::Relaxed);
}

/// Runs until the faults have ended. Then the group must make progress and still have all committed entries.
fn run_to_end(mut cluster: Cluster, visited: &Visited) {
    for number in 0..400 {
        step(&mut cluster, number, visited);
    }
    cluster.heal();
    (0..FOUNDERS).for_each(|slot| cluster.start(slot));
    let before = cluster.oracle.last_committed();
    let led = cluster
        .run_until(4 * SECOND, |cluster| cluster.leader().is_some_and(|leader| cluster.holds_lease(leader)));
    assert!(led, "no leader 4 s after the last fault");
    assert!(cluster.propose(8));
    assert!(cluster.run_until(SECOND, |cluster| cluster.oracle.last_committed() > before));
    let leader = cluster.leader().expect("a leader");
    let commit = cluster.node(leader).map(Node::commit_index);
    assert_eq!(commit, Some(cluster.oracle.last_committed()));
    visited.schedules.fetch_add(1, Ordering::Relaxed);
}

fn place_second(after_first: &Cluster, placement: &mut Placement, events: usize, visited: &Visited) {
    let mut base = after_first.clone();
    for number in 0..events {
        for fault in faults(&base) {
            let mut branch = base.clone();
            placement.0.push((number, fault));
            inject(&mut branch, fault);
            run_to_end(branch, visited);
            placement.0.pop();
        }
        step(&mut base, number, visited);
    }
}

fn place_first(base: &Cluster, number: usize, bounds: Bounds, visited: &Visited) {
    for fault in faults(base) {
        let mut placement = Placement(vec![(number, fault)]);
        let mut branch = base.clone();
        inject(&mut branch, fault);
        place_second(&branch, &mut placement, bounds.second, visited);
        run_to_end(branch, visited);
    }
}

/// A running group that has just committed an entry.
fn running_group(configure: fn(&mut Options)) -> Cluster {
    let mut cluster = Cluster::new(FOUNDERS, MACHINES, 7);
    cluster.conditions = Conditions::FIXED_DELAYS;
    cluster.configure = configure;
    (0..FOUNDERS).for_each(|slot| cluster.start(slot));
    cluster.run_for(2 * SECOND);
    assert!(cluster.propose(8), "a leader");
    cluster.run_for(300 * MILLISECOND);
    cluster
}

/// Runs all placements of first faults. The events are distributed among threads.
fn search(base: Cluster, bounds: Bounds) -> Visited {
    let visited = Visited::default();
    let mut starts = Vec::new();
    let mut cluster = base;
    for number in 0..bounds.first {
        starts.push((number, cluster.clone()));
        step(&mut cluster, number, &Visited::default());
    }
    let next = AtomicU64::new(0);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let claimed = next.fetch_add(1, Ordering::Relaxed) as usize;
                let Some((number, start)) = starts.get(claimed) else { return };
                place_first(start, *number, bounds, &visited);
            });
        }
    });
    visited
}

fn is_large() -> bool {
    std::env::var("CONSENSUS_PLACEMENTS").is_ok_and(|bound| bound == "large")
}

fn report(name: &str, visited: &Visited) {
    let (schedules, events) = (&visited.schedules, &visited.events);
    println!(
        "{name}: {} schedules, {} events, none breaks an invariant",
        schedules.load(Ordering::Relaxed),
        events.load(Ordering::Relaxed)
    );
}

#[test]
fn survives_every_single_fault_before_every_event() {
    let bounds = Bounds { first: if is_large() { 400 } else { 90 }, second: 0 };
    report("one fault", &search(running_group(|_| {}), bounds));
}

#[test]
fn survives_every_pair_of_faults_close_together() {
    let bounds = if is_large() { Bounds { first: 60, second: 60 } } else { Bounds { first: 3, second: 3 } };
    report("two faults", &search(running_group(|_| {}), bounds));
}

#[test]
fn survives_every_pair_of_faults_around_the_first_election() {
    let bounds = if is_large() { Bounds { first: 40, second: 60 } } else { Bounds { first: 4, second: 2 } };
    let mut cluster = Cluster::new(FOUNDERS, MACHINES, 9);
    cluster.conditions = Conditions::FIXED_DELAYS;
    (0..FOUNDERS).for_each(|slot| cluster.start(slot));
    report("two faults at the start", &search(cluster, bounds));
}

#[test]
fn survives_every_pair_of_faults_during_a_disk_replacement() {
    let bounds = if is_large() { Bounds { first: 60, second: 30 } } else { Bounds { first: 12, second: 0 } };
    let mut cluster = running_group(|options| options.retained_entries = 1);
    for _ in 0..30 {
        cluster.propose(40);
        cluster.run_for(5 * MILLISECOND);
    }
    let follower = (cluster.leader().expect("a leader") + 1) % FOUNDERS;
    cluster.replace_disk(follower, 50 * MILLISECOND);
    cluster.run_for(300 * MILLISECOND);
    report("faults beside a replaced disk", &search(cluster, bounds));
}

/// An isolated voter is replaced by the spare and returns. There is then one voter too many, so one is
/// demoted to learner, and the group continues. Faults are injected from the return of the voter on.
#[test]
fn survives_every_pair_of_faults_during_a_demotion() {
    let bounds = if is_large() { Bounds { first: 120, second: 12 } } else { Bounds { first: 30, second: 0 } };
    let mut cluster = running_group(|_| {});
    cluster.start(SPARE);
    let follower = (cluster.leader().expect("a leader") + 1) % FOUNDERS;
    cluster.isolate(follower);
    let voters = |cluster: &Cluster| cluster.committed_voters();
    assert!(cluster.run_until(5 * SECOND, |cluster| voters(cluster) > FOUNDERS), "the spare is not promoted");
    cluster.heal();
    report("faults beside a demotion", &search(cluster, bounds));
}
