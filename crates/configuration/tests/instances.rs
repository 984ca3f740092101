//! Pages of the platform's list of instances.

mod documents;

use configuration::instances;
use configuration::{Instance, InstancesError, WorkerResources};
use documents::INSTANCES;

#[test]
fn every_field_is_read() {
    let page = instances::read(INSTANCES.as_bytes()).expect("the example is valid");
    assert_eq!((page.next_token.as_deref(), page.unreadable), (Some("page-2"), 0));
    let expected = Instance {
        id: "i-1".into(),
        service: "sorting".into(),
        address: "10.8.0.1:80".into(),
        zone: "a".into(),
        version: "v2".into(),
        capacity: 8,
        draining: false,
        warmup_left_ms: 120,
        available: WorkerResources { cpu: 8000, mem_mb: 16384, gpu: 2 },
        labels: vec!["fast".into(), "rack-2".into()],
        remaining_ms: None,
    };
    assert_eq!(page.instances[0], expected);
    let second = &page.instances[1];
    assert_eq!((second.draining, second.remaining_ms), (true, Some(2500)));
    assert_eq!((second.available, second.labels.len()), (WorkerResources::default(), 0));
}

#[test]
fn last_page_has_no_token() {
    for text in
        [r#"{"Instances":[],"NextToken":null}"#, r#"{"Instances":[]}"#, r#"{"Instances":[],"NextToken":""}"#]
    {
        let page = instances::read(text.as_bytes()).expect("valid");
        assert_eq!((page.instances.len(), page.next_token), (0, None));
    }
}

#[test]
fn unknown_state_counts_as_draining() {
    let state = |state: &str| {
        let text = format!(r#"{{"Instances":[{{"Id":"i","Backend":"s","Address":"a"{state}}}]}}"#);
        instances::read(text.as_bytes()).expect("valid").instances[0].draining
    };
    assert!(!state(""));
    assert!(!state(r#","State":"ready""#));
    assert!(state(r#","State":"draining""#));
    assert!(state(r#","State":"starting""#));
}

#[test]
fn invalid_entries_are_counted_and_left_out() {
    let text = r#"{"Instances":[7,{"Id":"i"},{"Id":"j","Backend":"s","Address":"a"},
        {"Id":"k","Backend":"s","Address":"a","Available":{"Cpu":-1}}]}"#;
    let page = instances::read(text.as_bytes()).expect("valid");
    assert_eq!((page.instances.len(), page.unreadable), (1, 3));
    assert_eq!(page.instances[0].id, "j");
}

#[test]
fn page_without_a_list_is_an_error() {
    for text in ["", "[]", "{}", r#"{"Instances":null}"#, r#"{"Instances":{}}"#] {
        assert!(matches!(instances::read(text.as_bytes()), Err(InstancesError::Json(_))), "{text}");
    }
    for length in 0..INSTANCES.len() {
        assert!(instances::read(&INSTANCES.as_bytes()[..length]).is_err(), "truncated to {length} bytes");
    }
}
