//! Runs a session with random actions and network faults against a modelled worker. The checks are in
//! `support::world`.

mod support;

use messages::job::EndKind;
use quickcheck::{quickcheck, Arbitrary, Gen};

use support::world::{NetworkConditions, World, RELIABLE};
use support::MS;

#[derive(Clone, Copy, Debug)]
enum Action {
    Start { index: u32, length_ms: u32, fails: bool },
    Stop { index: u32 },
    Partition { span_ms: u32 },
    NoLease { span_ms: u32 },
    NetworkConditions { lost: u8, unanswered: u8, delay_ms: u16 },
    ChangeLeader,
    Crash,
    Unhealthy { is_unhealthy: bool },
    SetWorkerLease { worker_lease_ms: u16 },
}

#[derive(Clone, Debug)]
struct Script {
    seed: u64,
    network_recovers: bool,
    actions: Vec<(u16, Action)>,
}

impl Arbitrary for Action {
    fn arbitrary(gen: &mut Gen) -> Self {
        match u8::arbitrary(gen) % 16 {
            0..=6 => Action::Start {
                index: u32::arbitrary(gen) % 6,
                length_ms: u32::arbitrary(gen) % 9_000,
                fails: u8::arbitrary(gen) % 5 == 0,
            },
            7..=8 => Action::Stop { index: u32::arbitrary(gen) % 6 },
            9..=10 => Action::Partition { span_ms: u32::arbitrary(gen) % 11_000 },
            11 => Action::NoLease { span_ms: u32::arbitrary(gen) % 8_000 },
            12 => Action::NetworkConditions {
                lost: u8::arbitrary(gen) % 40,
                unanswered: u8::arbitrary(gen) % 40,
                delay_ms: u16::arbitrary(gen) % 700,
            },
            13 => Action::ChangeLeader,
            14 => Action::Crash,
            15 if bool::arbitrary(gen) => {
                Action::SetWorkerLease { worker_lease_ms: 500 + u16::arbitrary(gen) % 5_000 }
            }
            _ => Action::Unhealthy { is_unhealthy: bool::arbitrary(gen) },
        }
    }
}

impl Arbitrary for Script {
    fn arbitrary(gen: &mut Gen) -> Self {
        let length = usize::arbitrary(gen) % 30 + 1;
        let actions = (0..length).map(|_| (u16::arbitrary(gen) % 1_500, Action::arbitrary(gen))).collect();
        Script { seed: u64::arbitrary(gen), network_recovers: bool::arbitrary(gen), actions }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let script = self.clone();
        let shorter = (0..script.actions.len()).map(move |removed| {
            let mut actions = script.actions.clone();
            actions.remove(removed);
            Script { seed: script.seed, network_recovers: script.network_recovers, actions }
        });
        Box::new(shorter)
    }
}

fn apply_action(world: &mut World, action: Action) {
    match action {
        Action::Start { index, length_ms, fails } => {
            let end = if fails { "f" } else { "" };
            world.start(index, &format!("{length_ms}{end}"));
        }
        Action::Stop { index } => {
            let active: Vec<_> = world.active.iter().copied().filter(|key| key.task.index == index).collect();
            for key in active {
                world.session.stop(key);
            }
        }
        Action::Partition { span_ms } => world.partitioned_until = world.now + u64::from(span_ms) * MS,
        Action::NoLease { span_ms } => world.no_lease_until = world.now + u64::from(span_ms) * MS,
        Action::NetworkConditions { lost, unanswered, delay_ms } => {
            let delay_ms = u64::from(delay_ms);
            world.network = NetworkConditions { lost: lost.into(), unanswered: unanswered.into(), delay_ms };
        }
        Action::ChangeLeader => world.change_leader(),
        Action::Crash => world.crash(),
        Action::SetWorkerLease { worker_lease_ms } => world.session.set_worker_lease(worker_lease_ms.into()),
        Action::Unhealthy { is_unhealthy } => world.worker.unhealthy = is_unhealthy,
    }
}

fn recover_and_run_until_idle(world: &mut World) {
    world.network = RELIABLE;
    world.partitioned_until = 0;
    world.no_lease_until = 0;
    world.worker.unhealthy = false;
    world.run_ms(30_000);
    assert!(world.active.is_empty(), "attempts are neither ended nor resolved: {:?}", world.active);
    assert!(world.session.is_idle(), "the session does not become idle");
    if world.session_matches_worker() {
        assert_eq!(world.worker.running(), 0, "the worker runs attempts that the session does not know");
    }
}

/// Partitions the worker for good, so that its lease expires. Each attempt must be resolved.
fn partition_until_lease_expires(world: &mut World) {
    world.partitioned_until = u64::MAX;
    world.run_ms(30_000);
    assert!(world.active.is_empty(), "attempts are neither ended nor resolved: {:?}", world.active);
}

quickcheck! {
    fn session_outputs_match_the_worker(script: Script) -> bool {
        let mut world = World::new(script.seed);
        for (pause_ms, next) in &script.actions {
            world.run_ms(u64::from(*pause_ms));
            if !world.session_matches_worker() && world.active.is_empty() {
                world.observe_new_incarnation();
            }
            apply_action(&mut world, *next);
        }
        if script.network_recovers {
            recover_and_run_until_idle(&mut world);
        } else {
            partition_until_lease_expires(&mut world);
        }
        true
    }

    fn reliable_network_loses_no_lease_and_no_end(seed: u64, lengths: Vec<u16>) -> bool {
        let mut world = World::new(seed);
        world.network.delay_ms = 145;
        world.worker.capacity = 100;
        for (index, length_ms) in (0..).zip(&lengths) {
            world.start(index, &(length_ms % 20_000).to_string());
            world.run_ms(u64::from(length_ms % 977));
        }
        recover_and_run_until_idle(&mut world);
        assert_eq!(world.worker.expiries, u64::from(!lengths.is_empty()), "only the last lease expires, when idle");
        assert_eq!(world.ended.len(), lengths.len());
        world.ended.iter().all(|end| end.kind == EndKind::DONE && end.counted)
    }
}
