//! The messages between the processes of a gateway keep their format, because the other process may run an
//! earlier or a later version.

use gateway_decisions::*;

/// A snapshot as the first version wrote it, after the events of `used_gateway`.
const WRITTEN: &str = include_str!("snapshot.json");
/// The shares that the same process sent, as the first version wrote them.
const SHARED: &str = include_str!("share.json");

const SECOND: Time = 1_000_000_000;

fn gateway() -> Gateway {
    let settings = Settings {
        gateways: 2,
        classes: vec![Class::new("quote", SECOND, 4 * SECOND, Effect::Safe, Group::All)],
        plans: vec![Plan { ceiling_rate: 20.0, ceiling_burst: 9.0, ..Plan::new("basic", 10.0, 20.0) }],
        meter_period: SECOND,
        answers_tell_units: true,
        ..Settings::default()
    };
    Gateway::new(settings, 1, 100 * SECOND).expect("settings in range")
}

/// A gateway that has served one request and sent another, with one server disabled and one enabled again,
/// and all the shares that it sent to the other process.
fn used_gateway() -> (Gateway, Vec<Share>) {
    let mut gateway = gateway();
    let mut actions = Vec::new();
    let nodes = (0..3).map(|i| Node::new(&format!("s{i}"), Health::Up)).collect();
    let events = vec![
        Event::Fleet { seq: 1, scope: Scope::Full, nodes },
        Event::Disable { server: "s0".into() },
        Event::Disable { server: "s1".into() },
        Event::Enable { server: "s1".into() },
        Event::PeerProcess { running: true },
    ];
    gateway.handle(100 * SECOND, events, &mut actions);
    let first = Request::new(1, 0, 0, "a", 104 * SECOND, 1.0);
    gateway.handle(100 * SECOND + SECOND / 2, vec![Event::Request(first)], &mut actions);
    let server = actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(server.clone()),
        _ => None,
    });
    let end = AttemptEnd {
        id: 1,
        attempt: 0,
        server: server.expect("an attempt was sent"),
        ending: Ending::Pass,
        request_finished: true,
        body_discarded: false,
        elapsed: SECOND / 20,
        actual_units: 1.5,
        metered_share: Some(0.25),
        load: Some(Load { inflight: Some(1.0), ..Load::default() }),
        via: Via::New,
        open_connections: 1,
    };
    let next = Request::new(2, 0, 0, "b", 105 * SECOND, 2.0);
    gateway.handle(101 * SECOND, vec![Event::AttemptEnd(end), Event::Request(next)], &mut actions);
    let shares = actions.into_iter().filter_map(|action| match action {
        Action::Share(share) => Some(share),
        _ => None,
    });
    (gateway, shares.collect())
}

#[test]
fn writes_snapshots_in_the_format_of_the_first_version() {
    let written = serde_json::to_string(&used_gateway().0.snapshot()).expect("a snapshot can be written");
    assert_eq!(written, WRITTEN.trim_end());
}

#[test]
fn writes_shares_in_the_format_of_the_first_version() {
    let written = serde_json::to_string(&used_gateway().1).expect("shares can be written");
    assert_eq!(written, SHARED.trim_end());
}

#[test]
fn reads_snapshots_of_the_first_version_without_loss() {
    let snapshot: Snapshot = serde_json::from_str(WRITTEN).expect("a snapshot can be read");
    let mut successor = gateway();
    successor.handle(100 * SECOND, vec![Event::Restore(Box::new(snapshot))], &mut Vec::new());
    let kept = serde_json::to_value(successor.snapshot()).expect("a snapshot can be written");
    // Both values pass through the same parser, which may change the last bit of a number.
    assert_eq!(kept, serde_json::from_str::<serde_json::Value>(WRITTEN).expect("JSON"));
}

#[test]
fn reads_shares_of_the_first_version_without_loss() {
    let shares: Vec<Share> = serde_json::from_str(SHARED).expect("shares can be read");
    assert_eq!(shares, used_gateway().1);
}
