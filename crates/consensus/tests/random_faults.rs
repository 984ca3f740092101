//! Random scripts of faults: nothing committed is lost or changed, one leader a term, one lease at a time, and the
//! group goes on once it is left alone.

mod support;

use consensus::{Event, Node};
use quickcheck::{quickcheck, Arbitrary, Gen};
use support::cluster::{Cluster, Conditions, MILLISECOND, SECOND};

/// Machines of the group; those that are not founders ask to join.
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
    CutPair {
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
    LoseConnection {
        slot: usize,
        other: usize,
    },
    /// Connections to a machine are refused though its process may still run.
    Refuse {
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
            29..=30 => Action::CutPair { slot, other },
            31 => Action::Isolate { slot },
            32 => Action::Heal,
            33 => Action::Freeze { slot, milliseconds },
            34 => Action::StallDisk { slot, milliseconds },
            35..=36 => Action::Conditions { kind: u8::arbitrary(gen) % 4 },
            37 => Action::Transfer,
            40..=43 => Action::Refuse { slot, other },
            _ => Action::LoseConnection { slot, other },
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
        Action::CutPair { slot, other } => {
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
            let kinds = [Conditions::CALM, Conditions::ROUGH, Conditions::LATE, Conditions::SLOW_DISKS];
            cluster.conditions = kinds[usize::from(kind)];
        }
        Action::Transfer => {
            if let Some(leader) = cluster.leader() {
                cluster.handle(leader, Event::Transfer);
            }
        }
        Action::LoseConnection { slot, other } => {
            let to = cluster.id(other);
            cluster.handle(slot, Event::PeerDisconnected { peer: to });
        }
        Action::Refuse { slot, other } => {
            let peer = cluster.id(other);
            cluster.handle(slot, Event::PeerDown { peer });
        }
    }
}

/// Machines lose power and start again at once.
fn restart_after_power_loss(cluster: &mut Cluster, slots: std::ops::Range<usize>) {
    let running: Vec<usize> = slots.filter(|slot| cluster.node(*slot).is_some()).collect();
    running.iter().for_each(|slot| cluster.lose_power(*slot));
    running.iter().for_each(|slot| cluster.start(*slot));
}

/// A disk is lost only while the group tolerates it: the other disks of at least three voters are not lost.
fn wipe_if_tolerated(cluster: &mut Cluster, slot: usize) {
    let leader = cluster.leader().and_then(|leader| cluster.node(leader));
    let voters = leader.map_or(0, |node| node.membership().voters().count());
    if voters >= VOTERS && cluster.all_voters_have_their_disks() {
        cluster.wipe(slot);
    }
}

/// Left alone, the group elects a leader, commits, and all processes catch up.
fn makes_progress(cluster: &mut Cluster) {
    cluster.heal();
    cluster.conditions = Conditions::CALM;
    (0..MACHINES).for_each(|slot| cluster.start(slot));
    cluster.run_for(12 * SECOND);
    let before = cluster.oracle.last_committed();
    assert!(cluster.propose(10), "no leader after 12 s of quiet");
    let committed = cluster.run_until(SECOND, |cluster| cluster.oracle.last_committed() > before);
    assert!(committed, "nothing is committed after 12 s of quiet");
    cluster.run_for(SECOND);
    let last = cluster.oracle.last_committed();
    for slot in 0..MACHINES {
        let node = cluster.node(slot).expect("all run");
        assert!(node.is_member(), "machine {slot} is no member");
        assert_eq!(node.commit_index(), last, "machine {slot} lags behind");
    }
    let leader = cluster.leader().expect("a leader");
    assert!(cluster.holds_lease(leader), "the leader holds no lease");
    let voters = cluster.node(leader).map(Node::membership).expect("it runs").voters().count();
    assert!(voters >= VOTERS, "{voters} voters are left");
    assert!(cluster.all_voters_have_their_disks(), "a voter without a disk is left");
}

fn survives(founders: usize, conditions: Conditions, seed: u64, actions: Vec<Action>) {
    let mut cluster = Cluster::started(founders, MACHINES, seed);
    cluster.run_for(SECOND);
    cluster.conditions = conditions;
    for action in actions {
        perform(&mut cluster, action);
    }
    makes_progress(&mut cluster);
}

quickcheck! {
    fn three_founders_survive_random_faults(seed: u64, actions: Vec<Action>) -> bool {
        survives(3, Conditions::CALM, seed, actions);
        true
    }

    fn five_founders_survive_random_faults(seed: u64, actions: Vec<Action>) -> bool {
        survives(5, Conditions::CALM, seed, actions);
        true
    }

    fn three_founders_survive_random_faults_on_a_lossy_network(seed: u64, actions: Vec<Action>) -> bool {
        survives(3, Conditions::ROUGH, seed, actions);
        true
    }

    fn five_founders_survive_random_faults_with_late_messages(seed: u64, actions: Vec<Action>) -> bool {
        survives(5, Conditions::LATE, seed, actions);
        true
    }

    fn three_founders_survive_random_faults_with_slow_disks(seed: u64, actions: Vec<Action>) -> bool {
        survives(3, Conditions::SLOW_DISKS, seed, actions);
        true
    }
}

/// A script that the random tests once drew. While the disk of voter 2 is lost, a new leader makes voter 3 a learner, and
/// all lose power before the leader has written that: by its own log voter 3 never campaigns, and it rejects the others,
/// whose logs are shorter, so that nobody is elected. Ongaro's thesis (4.2.2) lets a server campaign that is no voter of
/// its own newest configuration.
#[test]
fn uncommitted_demotion_does_not_block_elections() {
    use Action::{
        CutPair, Propose, RestartAfterPowerLoss, RestartAllAfterPowerLoss, Run, StartAll, Transfer, Wipe,
    };
    let actions = vec![
        Run { milliseconds: 1_328 },
        StartAll,
        Run { milliseconds: 462 },
        CutPair { slot: 2, other: 1 },
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
    survives(3, Conditions::SLOW_DISKS, 13_899_787_855_439_942_702, actions);
}

/// A script that 20,000 drawn ones held. After two disks are lost, one of them that of a spare which had just joined,
/// nobody is elected. Not traced yet: the second loss may come while the first is still being made up for.
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
    survives(3, Conditions::ROUGH, 0, actions);
}

/// A script that 20,000 drawn ones held. A process that stands still for two seconds right after its election counts the
/// acknowledgements that it finds then, and is announced as the leader though another has committed more. It holds no
/// lease, so that it answers nothing.
#[test]
fn frozen_leader_is_not_announced_without_a_lease() {
    use Action::{CutPair, Freeze, Heal, Propose, Run};
    let actions = vec![
        Action::Conditions { kind: 3 },
        Run { milliseconds: 87 },
        CutPair { slot: 2, other: 1 },
        Propose { count: 6, bytes: 20 },
        Run { milliseconds: 28 },
        Propose { count: 1, bytes: 60 },
        Run { milliseconds: 2_095 },
        CutPair { slot: 0, other: 2 },
        Run { milliseconds: 35 },
        Run { milliseconds: 580 },
        Heal,
        Freeze { slot: 0, milliseconds: 2_447 },
        Run { milliseconds: 2_869 },
    ];
    survives(3, Conditions::CALM, 806_458_516_669_030_272, actions);
}
