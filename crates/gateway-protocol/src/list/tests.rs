use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn target(n: u8, state: State) -> Target {
    Target {
        uid: format!("s-{n}"),
        endpoint: format!("127.0.0.1:{n}"),
        az: "a".to_string(),
        model: "m2".to_string(),
        pod_group: u32::from(n),
        state,
        capacity_hint: 1.0,
        boot_ms: 7,
    }
}

#[test]
fn ignores_unknown_fields_and_fills_in_defaults() {
    let text =
        r#"{"rev":3,"all":true,"more":[],"targets":[{"uid":"s","state":"Ready","model":7,"colour":"red"}]}"#;
    let list = List::parse(text.as_bytes()).unwrap();
    let t = &list.targets[0];
    assert_eq!((t.uid.as_str(), t.capacity_hint, t.boot_ms, t.pod_group), ("s", 1.0, 0, 0));
}

#[test]
fn rejects_invalid_lists() {
    let duplicated = List { rev: 1, all: true, targets: vec![target(1, State::Ready); 2] };
    for (text, why) in [
        (serde_json::to_string(&duplicated).unwrap(), "listed twice"),
        (r#"{"rev":1,"all":true,"targets":[{"uid":"s","state":"Sleeping"}]}"#.to_string(), "unknown variant"),
        (
            r#"{"rev":1,"all":true,"targets":[{"uid":"s","state":"Ready","capacity_hint":-1}]}"#.to_string(),
            "capacity_hint of -1",
        ),
        (" ".repeat(MAX_LIST_BYTES + 1), "at most"),
        (r#"{"rev":-1,"all":true,"targets":[]}"#.to_string(), "invalid value"),
    ] {
        let error = List::parse(text.as_bytes()).unwrap_err().to_string();
        assert!(error.contains(why), "{error}");
    }
}

fn run<T: std::fmt::Debug>(values: impl Strategy<Value = T>, test: impl Fn(T)) {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let result = runner.run(&values, |value| {
        test(value);
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("{e}"));
}

fn changes() -> impl Strategy<Value = List> {
    let state = prop_oneof![Just(State::Ready), Just(State::Terminating), Just(State::Gone)];
    let entries = prop::collection::btree_map(0..6u8, state, 0..5);
    (1..99u64, any::<bool>(), entries).prop_map(|(rev, all, entries)| {
        let targets = entries.into_iter().map(|(n, state)| target(n, state));
        let wanted = |t: &Target| !all || t.state != State::Gone;
        List { rev, all, targets: targets.filter(wanted).collect() }
    })
}

#[test]
fn parses_what_was_encoded_and_rejects_any_truncation() {
    run((changes(), any::<prop::sample::Index>()), |(list, cut)| {
        let text = serde_json::to_vec(&list).unwrap();
        assert_eq!(List::parse(&text).unwrap(), list);
        assert!(List::parse(&text[..cut.index(text.len())]).is_err());
    });
}

#[test]
fn corrupted_bytes_give_an_error_or_a_valid_list() {
    run(
        (changes(), prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6)),
        |(list, flips)| {
            let mut text = serde_json::to_vec(&list).unwrap();
            for (at, byte) in flips {
                let at = at.index(text.len());
                text[at] = byte;
            }
            if let Ok(read) = List::parse(&text) {
                assert!(read.check().is_ok());
            }
        },
    );
}

/// A reader that merges changes must end with the same list as a reader of the full list.
#[test]
fn merged_changes_equal_the_full_list() {
    run(prop::collection::vec(changes(), 1..20), |lists| {
        let (mut merged, mut model) = (Roster::default(), BTreeMap::new());
        for list in lists {
            merged.apply(&list);
            if list.all {
                model = BTreeMap::new();
            }
            for t in &list.targets {
                model.insert(t.uid.clone(), t.clone());
            }
            model.retain(|_, t| t.state != State::Gone);
            assert_eq!(merged.targets, model);
            let mut fresh = Roster::default();
            fresh.apply(&merged.full_list());
            assert_eq!(fresh, merged);
        }
    });
}
