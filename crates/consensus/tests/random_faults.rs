//! Tests with random scripts of faults: no committed entry is lost or changed, there is one leader per term
//! and one lease at a time, and the group makes progress after the faults have ended.

mod support;

use consensus::{Event, Node};
use quickcheck::{quickcheck, Arbitrary, Gen};
use support::cluster::{Cluster, Conditions, MILLISECOND, SECOND};

/// Number of machines. Those that are not founders request to join.
const MACHINES: usize = 5;
const VOTERS: usize = 3;

#[derive(Clone, Copy, Debug)]
enum Action {
    Run {
        milliseconds: u16,
    },
    Propose {
        count: u8,
        bytes: u8,
    },
    Kill {
        slot: usize,
    },
    LosePower {
        slot: usize,
    },
    RestartAfterPowerLoss {
        slot: usize,
    },
    RestartAllAfterPowerLoss,
    Wipe {
        slot: usize,
    },
    Start {
        slot: usize,
    },
    StartAll,
    Partition {
        from: usize,
        to: usize,
    },
    PartitionPair {
        slot: usize,
        other: usize,
    },
    Isolate {
        slot: usize,
    },
    Heal,
    Freeze {
        slot: usize,
        milliseconds: u16,
    },
    StallDisk {
        slot: usize,
        milliseconds: u16,
    },
    Conditions {
        kind: u8,
    },
    Transfer,
    Disconnect {
        slot: usize,
        other: usize,
    },
    /// A connection from `slot` to `other` is refused, although the process of `other` may still run.
    RefuseConnection {
        slot: usize,
        other: usize,
    },
}

impl Arbitrary for Action {
    fn arbitrary(gen: &mut Gen) -> Action {
        let slot = usize::arbitrary(gen) % MACHINES;
        let other = usize::arbitrary(gen) % MACHINES;
        let milliseconds = u16::arbitrary(gen) % 3_000;
        match u8::arbitrary(gen) % 44 {
            0..=5 => Action::Run { milliseconds },
            6..=13 => Action::Run { milliseconds: milliseconds % 100 },
            14..=19 => Action::Propose { count: u8::arbitrary(gen) % 10, bytes: u8::arbitrary(gen) },
            20 => Action::Kill { slot },
            21 => Action::LosePower { slot },
            22..=23 => Action::RestartAfterPowerLoss { slot },
            24 => Action::RestartAllAfterPowerLoss,
            25 => Action::Wipe { slot },
            26 => Action::Start { slot },
            27 => Action::StartAll,
            28 => Action::Partition { from: slot, to: other },
            29..=30 => Action::PartitionPair { slot, other },
            31 => Action::Isolate { slot },
            32 => Action::Heal,
            33 => Action::Freeze { slot, milliseconds },
            34 => Action::StallDisk { slot, milliseconds },
            35..=36 => Action::Conditions { kind: u8::arbitrary(gen) % 4 },
            37 => Action::Transfer,
            40..=43 => Action::RefuseConnection { slot, other },
            _ => Action::Disconnect { slot, other },
        }
    }
}

fn perform(cluster: &mut Cluster, action: Action) {
    match action {
        Action::Run { milliseconds } => cluster.run_for(u64::from(milliseconds) * MILLISECOND),
        Action::Propose { count, bytes } => {
            for _ in 0..count {
                cluster.propose(usize::from(bytes));
            }
        }
        Action::Kill { slot } => cluster.kill(slot),
        Action::LosePower { slot } => cluster.lose_power(slot),
        Action::RestartAfterPowerLoss { slot } => restart_after_power_loss(cluster, slot..slot + 1),
        Action::RestartAllAfterPowerLoss => restart_after_power_loss(cluster, 0..MACHINES),
        Action::Wipe { slot } => wipe_if_tolerated(cluster, slot),
        Action::Start { slot } => cluster.start(slot),
        Action::StartAll => (0..MACHINES).for_each(|slot| cluster.start(slot)),
        Action::Partition { from, to } => cluster.partition(from, to),
        Action::PartitionPair { slot, other } => {
            cluster.partition(slot, other);
            cluster.partition(other, slot);
        }
        Action::Isolate { slot } => cluster.isolate(slot),
        Action::Heal => cluster.heal(),
        Action::Freeze { slot, milliseconds } => cluster.freeze(slot, u64::from(milliseconds) * MILLISECOND),
        Action::StallDisk { slot, milliseconds } => {
            cluster.stall_disk(slot, u64::from(milliseconds) * MILLISECOND);
        }
        Action::Conditions { kind } => {
            let kinds =
                [Conditions::RELIABLE, Conditions::LOSSY, Conditions::DELAYED, Conditions::SLOW_DISKS];
            cluster.conditions = kinds[usize::from(kind)];
        }
        Action::Transfer => {
            if let Some(leader) = cluster.leader() {
                cluster.handle(leader, Event::Transfer);
            }
        }
        Action::Disconnect { slot, other } => {
            let to = cluster.id(other);
            cluster.handle(slot, Event::PeerDisconnected { peer: to });
        }
        Action::RefuseConnection { slot, other } => {
            let peer = cluster.id(other);
            cluster.handle(slot, Event::PeerDown { peer });
        }
    }
}

/// The running machines among these lose power and restart immediately.
fn restart_after_power_loss(cluster: &mut Cluster, slots: std::ops::Range<usize>) {
    let running: Vec<usize> = slots.filter(|slot| cluster.node(*slot).is_some()).collect();
    running.iter().for_each(|slot| cluster.lose_power(*slot));
    running.iter().for_each(|slot| cluster.start(*slot));
}

/// Loses a disk if the group tolerates it: there are at least three voters, and all voters have their disks.
fn wipe_if_tolerated(cluster: &mut Cluster, slot: usize) {
    let leader = cluster.leader().and_then(|leader| cluster.node(leader));
    let voters = leader.map_or(0, |node| node.membership().voters().count());
    if voters >= VOTERS && cluster.all_voters_have_their_disks() {
        cluster.wipe(slot);
    }
}

/// Checks that without faults the group elects a leader, commits, and all processes catch up.
fn check_progress(cluster: &mut Cluster) {
    cluster.heal();
    cluster.conditions = Conditions::RELIABLE;
    (0..MACHINES).for_each(|slot| cluster.start(slot));
    cluster.run_for(12 * SECOND);
    let before = cluster.oracle.last_committed();
    assert!(cluster.propose(10), "no leader after 12 s without faults");
    let committed = cluster.run_until(SECOND, |cluster| cluster.oracle.last_committed() > before);
    assert!(committed, "nothing is committed after 12 s without faults");
    cluster.run_for(SECOND);
    let last = cluster.oracle.last_committed();
    for slot in 0..MACHINES {
        let node = cluster.node(slot).expect("all processes run");
        assert!(node.is_member(), "machine {slot} is not a member");
        assert_eq!(node.commit_index(), last, "machine {slot} lags behind");
    }
    let leader = cluster.leader().expect("a leader");
    assert!(cluster.holds_lease(leader), "the leader holds no lease");
    let voters = cluster.node(leader).map(Node::membership).expect("the process runs").voters().count();
    assert!(voters >= VOTERS, "{voters} voters are left");
    assert!(cluster.all_voters_have_their_disks(), "a voter whose disk is lost is still a member");
}

fn check_script(founders: usize, conditions: Conditions, seed: u64, actions: Vec<Action>) {
    let mut cluster = Cluster::started(founders, MACHINES, seed);
    cluster.run_for(SECOND);
    cluster.conditions = conditions;
    for action in actions {
        perform(&mut cluster, action);
    }
    check_progress(&mut cluster);
}

quickcheck! {
    fn three_founders_survive_random_faults(seed: u64, actions: Vec<Action>) -> bool {
        check_script(3, Conditions::RELIABLE, seed, actions);
        true
    }

    fn five_founders_survive_random_faults(seed: u64, actions: Vec<Action>) -> bool {
        check_script(5, Conditions::RELIABLE, seed, actions);
        true
    }

    fn three_founders_survive_random_faults_on_a_lossy_network(seed: u64, actions: Vec<Action>) -> bool {
        check_script(3, Conditions::LOSSY, seed, actions);
        true
    }

    fn five_founders_survive_random_faults_with_late_messages(seed: u64, actions: Vec<Action>) -> bool {
        check_script(5, Conditions::DELAYED, seed, actions);
        true
    }

    fn three_founders_survive_random_faults_with_slow_disks(seed: u64, actions: Vec<Action>) -> bool {
        check_script(3, Conditions::SLOW_DISKS, seed, actions);
        true
    }
}

/// A script drawn by the random tests. While the disk of voter 2 is lost, a new leader demotes voter 3 to
/// learner, and all machines lose power before the leader has written the change. If voter 3 followed only
/// its own log, it would never campaign, and it rejects the other candidates because their logs are shorter,
/// so no leader would be elected. Ongaro's thesis (4.2.2) therefore lets a server campaign that is not a
/// voter in its own latest configuration.
#[test]
fn uncommitted_demotion_does_not_block_elections() {
    use Action::{
        PartitionPair, Propose, RestartAfterPowerLoss, RestartAllAfterPowerLoss, Run, StartAll, Transfer,
        Wipe,
    };
    let actions = vec![
        Run { milliseconds: 1_328 },
        StartAll,
        Run { milliseconds: 462 },
        PartitionPair { slot: 2, other: 1 },
        Run { milliseconds: 96 },
        Run { milliseconds: 1_704 },
        RestartAfterPowerLoss { slot: 0 },
        Propose { count: 9, bytes: 7 },
        Wipe { slot: 1 },
        Run { milliseconds: 2_790 },
        Transfer,
        RestartAllAfterPowerLoss,
        Run { milliseconds: 831 },
        Run { milliseconds: 62 },
        RestartAllAfterPowerLoss,
    ];
    check_script(3, Conditions::SLOW_DISKS, 13_899_787_855_439_942_702, actions);
}

/// A script found among 20,000 random ones. Two disks are lost, one of them that of a spare machine that had
/// just joined, and then no leader was elected. The cause has not been traced yet; the second disk may be
/// lost while the first loss is still being repaired.
#[test]
fn disk_losses_of_a_new_spare_and_a_voter_do_not_block_elections() {
    use Action::{LosePower, Run, Start, Transfer, Wipe};
    let actions = vec![
        LosePower { slot: 1 },
        Transfer,
        Start { slot: 4 },
        Run { milliseconds: 2_086 },
        Wipe { slot: 4 },
        Wipe { slot: 0 },
        Run { milliseconds: 333 },
    ];
    check_script(3, Conditions::LOSSY, 0, actions);
}

/// A script found among 20,000 random ones. A process is frozen for two seconds right after its election.
/// When it continues, it counts the pending acknowledgements and would be announced as the leader although
/// another leader has committed more. It holds no lease, so it serves no requests.
#[test]
fn frozen_leader_is_not_announced_without_a_lease() {
    use Action::{Freeze, Heal, PartitionPair, Propose, Run};
    let actions = vec![
        Action::Conditions { kind: 3 },
        Run { milliseconds: 87 },
        PartitionPair { slot: 2, other: 1 },
        Propose { count: 6, bytes: 20 },
        Run { milliseconds: 28 },
        Propose { count: 1, bytes: 60 },
        Run { milliseconds: 2_095 },
        PartitionPair { slot: 0, other: 2 },
        Run { milliseconds: 35 },
        Run { milliseconds: 580 },
        Heal,
        Freeze { slot: 0, milliseconds: 2_447 },
        Run { milliseconds: 2_869 },
    ];
    check_script(3, Conditions::RELIABLE, 806_458_516_669_030_272, actions);
}
