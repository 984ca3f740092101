//! An exhaustive search in small bounds: each fault of a list is put before each of the next events of a running group,
//! alone and in pairs, and the oracle watches every schedule to its end.
//!
//! The schedule without faults is fixed (each message and write takes a millisecond), so that a placement is a list of
//! pairs of fault and event. `CONSENSUS_PLACEMENTS=large cargo test --release -p consensus --test fault_placements`
//! plays the large bound.

mod support;

use consensus::{Event, Node, Options};
use std::sync::atomic::{AtomicU64, Ordering};
use support::cluster::{Cluster, Conditions, MILLISECOND, SECOND};

/// Founders of the group, and a machine that is a learner.
const FOUNDERS: usize = 3;
const MACHINES: usize = 4;
const SPARE: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Power is lost and comes back after so many milliseconds.
    RestartAfterPowerLoss { slot: usize, milliseconds: u64 },
    /// The same for all machines at once.
    RestartAllAfterPowerLoss,
    /// The disk is lost too.
    Replace { slot: usize },
    /// No message passes for so many milliseconds.
    Isolate { slot: usize, milliseconds: u64 },
    /// The same, and a filter refuses connections to the machine.
    Refuse { slot: usize, milliseconds: u64 },
    /// The process is frozen.
    Freeze { slot: usize, milliseconds: u64 },
    /// The disk finishes nothing.
    StallDisk { slot: usize, milliseconds: u64 },
    /// The leader transfers leadership.
    Transfer,
    /// A machine without a disk comes.
    Join,
    /// The next message is lost.
    Lose,
    /// The next message comes later.
    Delay { milliseconds: u64 },
    /// The next message comes a second time.
    Repeat { milliseconds: u64 },
}

fn faults(cluster: &Cluster) -> Vec<Fault> {
    let mut faults = vec![Fault::RestartAllAfterPowerLoss, Fault::Transfer, Fault::Join];
    for slot in 0..FOUNDERS {
        faults.extend([0, 500].map(|milliseconds| Fault::RestartAfterPowerLoss { slot, milliseconds }));
        faults.extend([100, 400].map(|milliseconds| Fault::Isolate { slot, milliseconds }));
        faults.extend([100, 400].map(|milliseconds| Fault::Refuse { slot, milliseconds }));
        faults.push(Fault::Freeze { slot, milliseconds: 160 });
        faults.push(Fault::StallDisk { slot, milliseconds: 400 });
        // The loss of one disk of three is to be tolerated, and a lost one counts until it is replaced.
        if cluster.all_voters_have_their_disks() && cluster.committed_voters() >= FOUNDERS {
            faults.push(Fault::Replace { slot });
        }
    }
    if cluster.next_is_message() {
        faults.push(Fault::Lose);
        faults.extend([150, 700].map(|milliseconds| Fault::Delay { milliseconds }));
        faults.extend([150, 700].map(|milliseconds| Fault::Repeat { milliseconds }));
    }
    faults
}

fn put(cluster: &mut Cluster, fault: Fault) {
    match fault {
        Fault::RestartAfterPowerLoss { slot, milliseconds } => {
            cluster.restart_after_power_loss(slot, milliseconds * MILLISECOND);
        }
        Fault::RestartAllAfterPowerLoss => (0..MACHINES)
            .filter(|slot| cluster.node(*slot).is_some())
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|slot| cluster.restart_after_power_loss(slot, 10 * MILLISECOND)),
        Fault::Replace { slot } => cluster.replace_disk(slot, 100 * MILLISECOND),
        Fault::Isolate { slot, milliseconds } => {
            cluster.isolate(slot);
            cluster.heal_after(milliseconds * MILLISECOND);
        }
        Fault::Refuse { slot, milliseconds } => {
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
        Fault::Join => cluster.start(SPARE),
        Fault::Lose => cluster.drop_next(),
        Fault::Delay { milliseconds } => cluster.delay_next(milliseconds * MILLISECOND),
        Fault::Repeat { milliseconds } => cluster.repeat_next(milliseconds * MILLISECOND),
    }
}

/// Reports which faults were injected where if a schedule breaks an invariant.
struct Placement(Vec<(usize, Fault)>);

impl Drop for Placement {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("faults by the number of the event they come before: {:?}", self.0);
        }
    }
}

/// How far the search goes.
#[derive(Clone, Copy)]
struct Bounds {
    /// Events before which the first fault is put.
    first: usize,
    /// Events after the first fault before which the second is put; none if 0.
    second: usize,
}

/// What the search visited.
#[derive(Default)]
struct Visited {
    schedules: AtomicU64,
    events: AtomicU64,
}

/// A proposal comes before every so many events.
const PROPOSAL_EVERY: usize = 12;

fn step(cluster: &mut Cluster, number: usize, visited: &Visited) {
    if number % PROPOSAL_EVERY == 0 {
        cluster.propose(8);
    }
    cluster.step();
    visited.events.fetch_add(1, Ordering::Relaxed);
}

/// Plays on while the faults last; then the group must go on with all that it had acknowledged.
fn play_to_the_end(mut cluster: Cluster, visited: &Visited) {
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
            put(&mut branch, fault);
            play_to_the_end(branch, visited);
            placement.0.pop();
        }
        step(&mut base, number, visited);
    }
}

fn place_first(base: &Cluster, number: usize, bounds: Bounds, visited: &Visited) {
    for fault in faults(base) {
        let mut placement = Placement(vec![(number, fault)]);
        let mut branch = base.clone();
        put(&mut branch, fault);
        place_second(&branch, &mut placement, bounds.second, visited);
        play_to_the_end(branch, visited);
    }
}

/// A group that has just committed something.
fn running_group(configure: fn(&mut Options)) -> Cluster {
    let mut cluster = Cluster::new(FOUNDERS, MACHINES, 7);
    cluster.conditions = Conditions::EVEN;
    cluster.configure = configure;
    (0..FOUNDERS).for_each(|slot| cluster.start(slot));
    cluster.run_for(2 * SECOND);
    assert!(cluster.propose(8), "a leader");
    cluster.run_for(300 * MILLISECOND);
    cluster
}

/// All placements of first faults, shared among threads by the event they come before.
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
    cluster.conditions = Conditions::EVEN;
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

/// A silent voter is replaced by the spare and returns: there is a voter too many, one becomes a learner again, and the
/// group goes on. Faults come from the moment on at which the voter returns.
#[test]
fn survives_every_pair_of_faults_during_a_demotion() {
    let bounds = if is_large() { Bounds { first: 120, second: 12 } } else { Bounds { first: 30, second: 0 } };
    let mut cluster = running_group(|_| {});
    cluster.start(SPARE);
    let follower = (cluster.leader().expect("a leader") + 1) % FOUNDERS;
    cluster.isolate(follower);
    let voters = |cluster: &Cluster| cluster.committed_voters();
    assert!(cluster.run_until(5 * SECOND, |cluster| voters(cluster) > FOUNDERS), "the spare becomes a voter");
    cluster.heal();
    report("faults beside a demotion", &search(cluster, bounds));
}
