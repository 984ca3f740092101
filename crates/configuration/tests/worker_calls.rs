//! Bodies of calls to workers, and the workers' answers.

mod documents;

use std::collections::HashMap;

use configuration::{
    FinishedEntry, JsonError, LeaseRenewalAnswer, LeaseRenewalBody, Location, OrderAnswer, RejectReason,
    RunningEntry, StartBody, StopBody, WorkerAnswerError,
};
use documents::{LEASE_RENEWAL_ANSWER, ORDER_ANSWER};
use messages::job::EndKind;
use quickcheck::quickcheck;
use tinyjson::JsonValue;

type Object = HashMap<String, JsonValue>;

fn parse(text: &str) -> Object {
    text.parse::<JsonValue>().expect("valid JSON").try_into().expect("an object")
}

fn text(value: &str) -> JsonValue {
    JsonValue::String(value.to_owned())
}

fn number(value: u32) -> JsonValue {
    JsonValue::Number(f64::from(value))
}

fn object<const N: usize>(fields: [(&str, JsonValue); N]) -> Object {
    fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
}

#[test]
fn bodies_match_the_documented_json() {
    let start = StartBody {
        task: "00000000000000aa.0.1.7",
        attempt: 2,
        spec: "a \"b\" \\ \n\u{1}\u{7f}é\u{1f600}",
        deadline_ms: 9_007_199_254_740_991,
        fencing_token: 7,
        checkpoint: "c-1",
    };
    let expected = concat!(
        r#"{"TaskId":"00000000000000aa.0.1.7","Attempt":2,"Spec":"a \"b\" \\ \n\u0001"#,
        "\u{7f}é\u{1f600}",
        r#"","DeadlineMs":9007199254740991,"FenceToken":7,"Checkpoint":"c-1"}"#
    );
    assert_eq!(start.to_json(), expected);
    let fresh = StartBody { checkpoint: "", ..start };
    assert!(!parse(&fresh.to_json()).contains_key("Checkpoint"));
    let stop = StopBody { task: "00000000000000aa.0.1.7", attempt: 2, fencing_token: 7 };
    assert_eq!(stop.to_json(), r#"{"TaskId":"00000000000000aa.0.1.7","Attempt":2,"FenceToken":7}"#);
    let lease_renewal =
        LeaseRenewalBody { deadline_ms: Some(10), fencing_token: 7, last_seen: 57, wait_ms: Some(1000) };
    assert_eq!(lease_renewal.to_json(), r#"{"LastSeen":57,"FenceToken":7,"DeadlineMs":10,"WaitMs":1000}"#);
    let status_query = LeaseRenewalBody { deadline_ms: None, fencing_token: 7, last_seen: 0, wait_ms: None };
    assert_eq!(status_query.to_json(), r#"{"LastSeen":0,"FenceToken":7}"#);
}

#[test]
fn lease_renewal_answer_is_read() {
    let answer = LeaseRenewalAnswer::read(LEASE_RENEWAL_ANSWER.as_bytes()).expect("the example is valid");
    assert_eq!(answer.now_ms, 9001);
    let running = RunningEntry {
        task: "00000000000000aa.0.1.7".into(),
        attempt: 2,
        checkpoint: "c-1".into(),
        percent: 41,
    };
    assert_eq!(answer.running, [running]);
    let done = FinishedEntry {
        sequence: 58,
        task: "00000000000000aa.0.1.9".into(),
        attempt: 1,
        kind: EndKind::DONE,
        checkpoint: String::new(),
    };
    assert_eq!(answer.finished[0], done);
    assert_eq!(answer.finished[1].kind, EndKind::STOPPED);
    assert_eq!(answer.finished[1].checkpoint, "c-2");
}

#[test]
fn every_end_kind_is_read() {
    for (name, kind) in [
        ("done", EndKind::DONE),
        ("failed", EndKind::FAILED),
        ("stopped", EndKind::STOPPED),
        ("lapsed", EndKind::LAPSED),
        ("broken", EndKind::BROKEN),
        ("alone", EndKind::ALONE),
        ("melted", EndKind::END_UNKNOWN),
    ] {
        let body = format!(r#"{{"NowMs":1.75,"Finished":[[1,"t",1,"{name}",null]]}}"#);
        let answer = LeaseRenewalAnswer::read(body.as_bytes()).expect("valid");
        assert_eq!((answer.now_ms, answer.finished[0].kind, answer.running.len()), (1, kind, 0));
    }
}

#[test]
fn incomplete_lease_renewal_answers_are_errors() {
    let missing = WorkerAnswerError::Json(JsonError::Missing(Location::DOCUMENT, "NowMs"));
    assert_eq!(LeaseRenewalAnswer::read(b"{}"), Err(missing));
    for (lists, location) in [
        (r#""Running":[["t",1,"",0],["t"]]"#, Location::entry("Running", 1)),
        (r#""Running":[["t",-1,"",0]]"#, Location::entry("Running", 0)),
        (r#""Running":[["t",1,7,0]]"#, Location::entry("Running", 0)),
        (r#""Running":[{}]"#, Location::entry("Running", 0)),
        (r#""Finished":[[1.5,"t",1,"done",""]]"#, Location::entry("Finished", 0)),
        (r#""Finished":[[1,"t",1]]"#, Location::entry("Finished", 0)),
        (r#""Finished":["t"]"#, Location::entry("Finished", 0)),
    ] {
        let body = format!(r#"{{"NowMs":1,{lists}}}"#);
        assert_eq!(
            LeaseRenewalAnswer::read(body.as_bytes()),
            Err(WorkerAnswerError::BadEntry(location)),
            "{lists}"
        );
    }
    let not_a_list = LeaseRenewalAnswer::read(br#"{"NowMs":1,"Running":{}}"#);
    assert!(matches!(not_a_list, Err(WorkerAnswerError::Json(JsonError::WrongType(..)))));
    for length in 0..LEASE_RENEWAL_ANSWER.len() {
        assert!(
            LeaseRenewalAnswer::read(&LEASE_RENEWAL_ANSWER.as_bytes()[..length]).is_err(),
            "truncated to {length} bytes"
        );
    }
}

#[test]
fn order_answer_is_read() {
    let expected =
        OrderAnswer { now_ms: Some(9002), reason: Some(RejectReason::NoCapacity), retry_after_ms: Some(50) };
    assert_eq!(OrderAnswer::read(ORDER_ANSWER.as_bytes()), Ok(expected));
    assert_eq!(OrderAnswer::read(b" \r\n"), Ok(OrderAnswer::default()));
    assert_eq!(OrderAnswer::read(b"{}"), Ok(OrderAnswer::default()));
    for (name, reason) in [
        ("fence", RejectReason::StaleFencingToken),
        ("old", RejectReason::SupersededAttempt),
        ("late", RejectReason::DeadlinePassed),
        ("room", RejectReason::NoCapacity),
        ("mood", RejectReason::Other),
    ] {
        let body = format!(r#"{{"Reason":"{name}"}}"#);
        assert_eq!(OrderAnswer::read(body.as_bytes()).expect("valid").reason, Some(reason));
    }
    assert!(OrderAnswer::read(b"oops").is_err());
}

quickcheck! {
    fn start_body_holds_the_given_values(
        spec: String,
        checkpoint: String,
        task: String,
        attempt: u32,
        deadline_ms: u32
    ) -> bool {
        let start = StartBody {
            task: &task,
            attempt,
            spec: &spec,
            deadline_ms: u64::from(deadline_ms),
            fencing_token: u64::from(attempt),
            checkpoint: &checkpoint,
        };
        let mut expected = object([
            ("TaskId", text(&task)),
            ("Attempt", number(attempt)),
            ("Spec", text(&spec)),
            ("DeadlineMs", number(deadline_ms)),
            ("FenceToken", number(attempt)),
        ]);
        if !checkpoint.is_empty() {
            expected.insert("Checkpoint".to_owned(), text(&checkpoint));
        }
        parse(&start.to_json()) == expected
    }

    fn ascii_spec_is_preserved(bytes: Vec<u8>) -> bool {
        let spec: String = bytes.iter().map(|byte| char::from(byte % 128)).collect();
        let start = StartBody { task: "t", attempt: 1, spec: &spec, deadline_ms: 0, fencing_token: 0, checkpoint: "" };
        parse(&start.to_json())["Spec"] == text(&spec)
    }

    fn stop_body_holds_the_given_values(task: String, attempt: u32, fencing_token: u32) -> bool {
        let stop = StopBody { task: &task, attempt, fencing_token: u64::from(fencing_token) };
        let expected = object([("TaskId", text(&task)), ("Attempt", number(attempt)), ("FenceToken", number(fencing_token))]);
        parse(&stop.to_json()) == expected
    }

    fn lease_renewal_body_holds_the_given_values(
        deadline_ms: Option<u32>,
        fencing_token: u32,
        last_seen: u32,
        wait_ms: Option<u32>
    ) -> bool {
        let lease_renewal = LeaseRenewalBody {
            deadline_ms: deadline_ms.map(u64::from),
            fencing_token: u64::from(fencing_token),
            last_seen: u64::from(last_seen),
            wait_ms: wait_ms.map(u64::from),
        };
        let mut expected = object([("LastSeen", number(last_seen)), ("FenceToken", number(fencing_token))]);
        expected.extend(deadline_ms.map(|deadline| ("DeadlineMs".to_owned(), number(deadline))));
        expected.extend(wait_ms.map(|wait| ("WaitMs".to_owned(), number(wait))));
        parse(&lease_renewal.to_json()) == expected
    }

    fn running_list_is_read_as_written(entries: Vec<(String, u32, String, u8)>) -> bool {
        let quoted = |value: &str| text(value).stringify().expect("a text can be written");
        let running: Vec<String> = entries
            .iter()
            .map(|(task, attempt, checkpoint, percent)| {
                format!("[{},{attempt},{},{percent}]", quoted(task), quoted(checkpoint))
            })
            .collect();
        let body = format!(r#"{{"NowMs":5,"Running":[{}],"Finished":[]}}"#, running.join(","));
        let expected: Vec<RunningEntry> = entries
            .into_iter()
            .map(|(task, attempt, checkpoint, percent)| RunningEntry { task, attempt, checkpoint, percent: percent.into() })
            .collect();
        LeaseRenewalAnswer::read(body.as_bytes()).is_ok_and(|answer| answer.running == expected)
    }
}
