use super::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

pub fn target(uid: &str, port: u16, boot_ms: u64) -> Target {
    Target {
        endpoint: format!("127.0.0.1:{port}"),
        az: "a".to_string(),
        state: State::Ready,
        boot_ms,
        ..gone_entry(uid)
    }
}

const LEASE_MS: u64 = 1000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn put(store: &mut Store, target: &Target, now: Instant) {
    let change = store.register(target, LEASE_MS).unwrap().expect("something new");
    store.apply(&change, now);
}

#[test]
fn repeated_calls_and_renewals_create_no_new_version() {
    let now = Instant::now();
    let mut store = Store::new(7, Vec::new(), ms(0), now);
    put(&mut store, &target("s", 1, 5), now);
    assert_eq!(store.version(), 8);
    assert_eq!(store.register(&target("s", 1, 5), LEASE_MS), Ok(None));
    assert_eq!(store.renew("s", 5, now + ms(400)), Ok(ms(LEASE_MS)));
    let drained = store.drain("s", Some(5)).unwrap().unwrap();
    store.apply(&drained, now);
    assert_eq!(
        (store.drain("s", Some(5)), store.register(&target("s", 1, 5), LEASE_MS)),
        (Ok(None), Ok(None))
    );
    assert_eq!(store.version(), 9);
}

#[test]
fn calls_of_an_old_incarnation_do_not_affect_a_newer_one() {
    let now = Instant::now();
    let mut store = Store::new(0, Vec::new(), ms(0), now);
    put(&mut store, &target("s", 1, 5), now);
    put(&mut store, &target("s", 2, 6), now);
    let stale = Refusal::Stale { listed: 6 };
    assert_eq!(store.register(&target("s", 1, 5), LEASE_MS), Err(stale.clone()));
    assert_eq!(store.renew("s", 5, now), Err(stale.clone()));
    assert_eq!(store.drain("s", Some(5)), Err(stale.clone()));
    assert_eq!(store.remove("s", Some(5)), Err(stale));
    assert_eq!(store.renew("s", 7, now), Err(Refusal::Unknown), "an incarnation that never registered");
    assert_eq!(store.remove("t", None), Err(Refusal::Unknown));
    assert!(store.remove("s", None).is_ok(), "an operator names no incarnation");
}

#[test]
fn out_of_order_renewal_does_not_shorten_a_lease_and_expired_leases_are_removed() {
    let now = Instant::now();
    let mut store = Store::new(0, Vec::new(), ms(0), now);
    put(&mut store, &target("s", 1, 5), now);
    store.renew("s", 5, now + ms(900)).unwrap();
    store.renew("s", 5, now + ms(300)).unwrap();
    assert_eq!(store.expired(now + ms(1899)), Expiry::default());
    let due = store.expired(now + ms(1900)).due;
    assert_eq!(due, [Change::Remove { uid: "s".to_string() }]);
}

#[test]
fn leases_get_grace_after_a_restart_and_mass_expiry_removes_nothing() {
    let now = Instant::now();
    let entries = (0..10).map(|n| (target(&format!("s{n}"), n, 5), LEASE_MS)).collect();
    let mut store = Store::new(0, entries, ms(5000), now);
    assert_eq!(store.expired(now + ms(4999)), Expiry::default());
    assert_eq!(store.expired(now + ms(5000)), Expiry { due: Vec::new(), suspended: 10 });
    for n in 0..5 {
        store.renew(&format!("s{n}"), 5, now + ms(5000)).unwrap();
    }
    assert_eq!(store.expired(now + ms(5001)).due.len(), 5, "half are renewed: the others expire");
}

#[test]
fn version_that_is_too_old_or_not_of_this_history_gets_the_full_list() {
    let now = Instant::now();
    let mut store = Store::new(100, vec![(target("s", 1, 5), LEASE_MS)], ms(0), now);
    put(&mut store, &target("t", 2, 5), now);
    assert!(matches!(store.since(99), Update::Full(l) if l.targets.len() == 2));
    assert!(matches!(store.since(102), Update::Full(_)));
    assert!(matches!(store.since(100), Update::Changes(l) if l.targets == [target("t", 2, 5)]));
    assert_eq!(store.since(101), Update::None);
    for n in 0..2 * history::MIN_CHANGES as u64 {
        put(&mut store, &target("t", 2, 6 + n), now);
    }
    assert!(matches!(store.since(100), Update::Full(_)));
    let Update::Changes(last) = store.since(store.version() - 9) else { panic!("kept") };
    assert_eq!(last.targets.len(), 1, "an entry that changed often is sent once");
}

#[derive(Clone, Debug)]
enum Step {
    Register(u8, u16, u64),
    Renew(u8, u64),
    Drain(u8, Option<u64>),
    Remove(u8, Option<u64>),
    Pass(u64),
    /// The registry restarts from its entries and version.
    Restart,
    /// The reader with this index calls for updates.
    Read(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let (server, boot) = (0..6u8, 1..4u64);
    let maybe = proptest::option::of(1..4u64);
    prop_oneof![
        5 => (server.clone(), 1..3u16, boot.clone()).prop_map(|(s, p, b)| Step::Register(s, p, b)),
        3 => (server.clone(), boot).prop_map(|(s, b)| Step::Renew(s, b)),
        2 => (server.clone(), maybe.clone()).prop_map(|(s, b)| Step::Drain(s, b)),
        2 => (server, maybe).prop_map(|(s, b)| Step::Remove(s, b)),
        2 => (0..900u64).prop_map(Step::Pass),
        1 => Just(Step::Restart),
        4 => (0..3usize).prop_map(Step::Read),
    ]
}

/// Checks after each step that readers that merge changes have the full list, that versions never decrease,
/// and that the list equals a simple map as its model.
fn run_steps(steps: Vec<Step>) {
    let mut now = Instant::now();
    let mut store = Store::new(10, Vec::new(), ms(0), now);
    let mut model: BTreeMap<String, Target> = BTreeMap::new();
    let mut readers = vec![Roster::default(); 3];
    // Follows the store; the last reader reads from this follower.
    let mut follower = Store::new(0, Vec::new(), ms(0), now);
    for step in steps {
        let before = store.version();
        let name = |s: &u8| format!("s{s}");
        let change = match &step {
            Step::Register(s, port, boot) => {
                store.register(&target(&name(s), *port, *boot), LEASE_MS).ok().flatten()
            }
            Step::Renew(s, boot) => {
                let known = model.get(&name(s)).is_some_and(|t| t.boot_ms == *boot);
                assert_eq!(store.renew(&name(s), *boot, now).is_ok(), known, "{step:?}");
                None
            }
            Step::Drain(s, boot) => store.drain(&name(s), *boot).ok().flatten(),
            Step::Remove(s, boot) => store.remove(&name(s), *boot).ok(),
            Step::Pass(by) => {
                now += ms(*by);
                for change in store.expired(now).due {
                    let Change::Remove { uid } = &change else { panic!("{change:?}") };
                    model.remove(uid);
                    store.apply(&change, now);
                }
                None
            }
            Step::Restart => {
                store = Store::new(store.version(), store.entries(), ms(500), now);
                None
            }
            Step::Read(n) => {
                match store.since(follower.version()) {
                    Update::None => {}
                    Update::Changes(list) | Update::Full(list) => drop(follower.merge(&list)),
                }
                let from = if *n == 2 { &follower } else { &store };
                match from.since(readers[*n].rev) {
                    Update::None => {}
                    Update::Changes(list) | Update::Full(list) => readers[*n].apply(&list),
                }
                assert_eq!(readers[*n].targets, model, "{step:?}");
                assert_eq!(readers[*n].rev, store.version());
                None
            }
        };
        if let Some(change) = change {
            match &change {
                Change::Put { target, .. } => {
                    let older = model.insert(target.uid.clone(), target.clone());
                    assert!(older.as_ref().is_none_or(|o| o.boot_ms <= target.boot_ms), "{step:?}");
                    assert_ne!(older.as_ref(), Some(target), "{step:?}: nothing changed");
                }
                Change::Remove { uid } => assert!(model.remove(uid).is_some(), "{step:?}"),
            }
            store.apply(&change, now);
            assert_eq!(store.version(), before + 1, "{step:?}");
        }
        assert!(store.version() >= before, "{step:?}");
        let listed: BTreeMap<_, _> =
            store.full_list().targets.into_iter().map(|t| (t.uid.clone(), t)).collect();
        assert_eq!(listed, model, "{step:?}");
    }
}

#[test]
fn readers_that_merge_changes_have_the_full_list() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let run = runner.run(&vec(step(), 1..80), |steps| {
        run_steps(steps);
        Ok(())
    });
    run.unwrap_or_else(|e| panic!("{e}"));
}
