//! Random scripts over a session, a worker and a network with faults. The checks are in `support::world`.

mod support;

use messages::job::EndKind;
use quickcheck::{quickcheck, Arbitrary, Gen};

use support::world::{NetworkConditions, World, RELIABLE};
use support::MS;

#[derive(Clone, Copy, Debug)]
enum Act {
    Start { index: u32, length_ms: u32, fails: bool },
    Stop { index: u32 },
    Partition { span_ms: u32 },
    NoLease { span_ms: u32 },
    NetworkConditions { lost: u8, unanswered: u8, delay_ms: u16 },
    ChangeLeader,
    Crash,
    Unhealthy { yes: bool },
    SetWorkerLease { worker_lease_ms: u16 },
}

#[derive(Clone, Debug)]
struct Script {
    seed: u64,
    heals: bool,
    acts: Vec<(u16, Act)>,
}

impl Arbitrary for Act {
    fn arbitrary(gen: &mut Gen) -> Self {
        match u8::arbitrary(gen) % 16 {
            0..=6 => Act::Start {
                index: u32::arbitrary(gen) % 6,
                length_ms: u32::arbitrary(gen) % 9_000,
                fails: u8::arbitrary(gen) % 5 == 0,
            },
            7..=8 => Act::Stop { index: u32::arbitrary(gen) % 6 },
            9..=10 => Act::Partition { span_ms: u32::arbitrary(gen) % 11_000 },
            11 => Act::NoLease { span_ms: u32::arbitrary(gen) % 8_000 },
            12 => Act::NetworkConditions {
                lost: u8::arbitrary(gen) % 40,
                unanswered: u8::arbitrary(gen) % 40,
                delay_ms: u16::arbitrary(gen) % 700,
            },
            13 => Act::ChangeLeader,
            14 => Act::Crash,
            15 if bool::arbitrary(gen) => {
                Act::SetWorkerLease { worker_lease_ms: 500 + u16::arbitrary(gen) % 5_000 }
            }
            _ => Act::Unhealthy { yes: bool::arbitrary(gen) },
        }
    }
}

impl Arbitrary for Script {
    fn arbitrary(gen: &mut Gen) -> Self {
        let length = usize::arbitrary(gen) % 30 + 1;
        let acts = (0..length).map(|_| (u16::arbitrary(gen) % 1_500, Act::arbitrary(gen))).collect();
        Script { seed: u64::arbitrary(gen), heals: bool::arbitrary(gen), acts }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let script = self.clone();
        let shorter = (0..script.acts.len()).map(move |left_out| {
            let mut acts = script.acts.clone();
            acts.remove(left_out);
            Script { seed: script.seed, heals: script.heals, acts }
        });
        Box::new(shorter)
    }
}

fn act(world: &mut World, act: Act) {
    match act {
        Act::Start { index, length_ms, fails } => {
            let end = if fails { "f" } else { "" };
            world.start(index, &format!("{length_ms}{end}"));
        }
        Act::Stop { index } => {
            let active: Vec<_> = world.active.iter().copied().filter(|key| key.task.index == index).collect();
            for key in active {
                world.session.stop(key);
            }
        }
        Act::Partition { span_ms } => world.partitioned_until = world.now + u64::from(span_ms) * MS,
        Act::NoLease { span_ms } => world.no_lease_until = world.now + u64::from(span_ms) * MS,
        Act::NetworkConditions { lost, unanswered, delay_ms } => {
            let delay_ms = u64::from(delay_ms);
            world.network = NetworkConditions { lost: lost.into(), unanswered: unanswered.into(), delay_ms };
        }
        Act::ChangeLeader => world.change_leader(),
        Act::Crash => world.crash(),
        Act::SetWorkerLease { worker_lease_ms } => world.session.set_worker_lease(worker_lease_ms.into()),
        Act::Unhealthy { yes } => world.worker.unhealthy = yes,
    }
}

fn run_until_idle(world: &mut World) {
    world.network = RELIABLE;
    world.partitioned_until = 0;
    world.no_lease_until = 0;
    world.worker.unhealthy = false;
    world.run_ms(30_000);
    assert!(world.active.is_empty(), "neither ended nor resolved: {:?}", world.active);
    assert!(world.session.is_idle(), "the session doesn't come to rest");
    if world.session_matches_worker() {
        assert_eq!(world.worker.running(), 0, "something runs that nobody knows of");
    }
}

/// The worker is never heard of again: its lease expires, and no call disturbs that.
fn run_until_expired(world: &mut World) {
    world.partitioned_until = u64::MAX;
    world.run_ms(30_000);
    assert!(world.active.is_empty(), "neither ended nor resolved: {:?}", world.active);
}

quickcheck! {
    fn what_a_session_claims_is_so(script: Script) -> bool {
        let mut world = World::new(script.seed);
        for (pause_ms, next) in &script.acts {
            world.run_ms(u64::from(*pause_ms));
            if !world.session_matches_worker() && world.active.is_empty() {
                world.observe_new_incarnation();
            }
            act(&mut world, *next);
        }
        if script.heals {
            run_until_idle(&mut world);
        } else {
            run_until_expired(&mut world);
        }
        true
    }

    fn on_a_reliable_network_no_lease_expires_and_every_end_counts(seed: u64, lengths: Vec<u16>) -> bool {
        let mut world = World::new(seed);
        world.network.delay_ms = 145;
        world.worker.capacity = 100;
        for (index, length_ms) in (0..).zip(&lengths) {
            world.start(index, &(length_ms % 20_000).to_string());
            world.run_ms(u64::from(length_ms % 977));
        }
        run_until_idle(&mut world);
        assert_eq!(world.worker.expiries, u64::from(!lengths.is_empty()), "only the last lease expires, at rest");
        assert_eq!(world.ended.len(), lengths.len());
        world.ended.iter().all(|end| end.kind == EndKind::DONE && end.counted)
    }
}
