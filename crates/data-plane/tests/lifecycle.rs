//! Readiness, idle connections, reload of the settings, and the drain.

mod support;

use data_plane::Signal;
use messages::peer::Outcome;
use std::path::PathBuf;
use std::time::Duration;
use support::client::{send_request, Client};
use support::core::ScriptedCore;
use support::plane::{options, with_leader, Plane};
use support::run;
use tokio::net::TcpStream;

const JOB: &str = r#"{"Spec":"text","Stages":[{"Count":1,"Cpu":500,"MemMb":256}]}"#;
const JOB_PATH: &str = "/queue/5c0e7a21d94b36f8";

#[test]
fn ready_once_a_leader_is_known() {
    run(async {
        let core = ScriptedCore::start().await;
        let plane = Plane::start(options(vec![core.address]));
        core.wait_for_hellos(1).await;
        assert_eq!(plane.ready_status().await, 503);
        core.announce(1, Some(core.address), &[core.address]);
        plane.wait_for_status(200).await;
        assert_eq!(send_request(plane.readiness, "GET", "/other", "").await.status, 404);
        assert_eq!(send_request(plane.readiness, "POST", "/v1/readyz", "").await.status, 405);
    });
}

#[test]
fn stays_ready_shortly_after_losing_the_leader() {
    run(async {
        let (plane, core) = with_leader().await;
        core.break_connections();
        core.wait_for_hellos(2).await;
        assert_eq!(plane.ready_status().await, 200);
    });
}

#[test]
fn drain_finishes_pending_requests_and_accepts_new_ones() {
    run(async {
        let (plane, mut core) = with_leader().await;
        let mut early = Client::connect(plane.client_address).await;
        early.send("POST", JOB_PATH, JOB).await;
        let arrived = core.request().await;
        plane.signals.send(Signal::Stop).await.unwrap();
        plane.wait_for_status(503).await;

        let mut late = Client::connect(plane.client_address).await;
        late.send("GET", JOB_PATH, "").await;
        core.request().await.reply(Outcome::NO_SUCH_JOB);
        let answer = late.answer().await.unwrap();
        assert_eq!((answer.status, answer.header("connection")), (410, Some("close")));
        assert!(late.is_closed().await);

        arrived.reply(Outcome::ACCEPTED);
        let answer = early.answer().await.unwrap();
        assert_eq!((answer.status, answer.header("connection")), (200, Some("close")));
        plane.running.await.unwrap();
        assert!(TcpStream::connect(plane.client_address).await.is_err());
    });
}

#[test]
fn drain_closes_idle_connections() {
    run(async {
        let (plane, mut core) = with_leader().await;
        let mut client = Client::connect(plane.client_address).await;
        client.send("GET", JOB_PATH, "").await;
        core.request().await.reply(Outcome::NO_SUCH_JOB);
        assert_eq!(client.answer().await.unwrap().header("connection"), None);
        plane.signals.send(Signal::Stop).await.unwrap();
        plane.running.await.unwrap();
        assert!(client.is_closed().await);
    });
}

#[test]
fn drain_ends_in_time_with_final_answers() {
    run(async {
        let core = ScriptedCore::start().await;
        core.announce(1, Some(core.address), &[core.address]);
        let mut short_drain = options(vec![core.address]);
        short_drain.drain.max_duration = Duration::from_millis(200);
        let plane = Plane::start(short_drain);
        plane.wait_for_status(200).await;
        let mut core = core;
        let mut client = Client::connect(plane.client_address).await;
        client.send_with_deadline("POST", JOB_PATH, JOB, 60_000).await;
        core.request().await;
        plane.signals.send(Signal::Stop).await.unwrap();
        plane.running.await.unwrap();
        assert_eq!(client.answer().await.unwrap().status, 504);
    });
}

#[test]
fn connections_idle_or_with_incomplete_heads_are_closed() {
    run(async {
        let core = ScriptedCore::start().await;
        core.announce(1, Some(core.address), &[core.address]);
        let mut short_timeouts = options(vec![core.address]);
        short_timeouts.clients.idle_timeout = Duration::from_millis(10);
        short_timeouts.clients.header_timeout = Duration::from_millis(10);
        let plane = Plane::start(short_timeouts);
        let mut idle = Client::connect(plane.client_address).await;
        let mut unfinished = Client::connect(plane.client_address).await;
        unfinished.send_bytes(b"GET /queue/ HTTP/1.1\r\nHo").await;
        assert!(idle.is_closed().await);
        assert!(unfinished.is_closed().await);
    });
}

#[test]
fn idle_connection_is_closed_for_a_new_one_at_the_limit() {
    run(async {
        let core = ScriptedCore::start().await;
        core.announce(1, Some(core.address), &[core.address]);
        let mut two_connections = options(vec![core.address]);
        two_connections.clients.max_connections = 2;
        let plane = Plane::start(two_connections);
        plane.wait_for_status(200).await;
        let mut core = core;
        let mut busy = Client::connect(plane.client_address).await;
        busy.send("GET", JOB_PATH, "").await;
        let arrived = core.request().await;
        let mut idle = Client::connect(plane.client_address).await;
        let mut third = Client::connect(plane.client_address).await;
        third.send("GET", "/queue/", "").await;
        assert!(idle.is_closed().await);
        core.request().await.reply(Outcome::COUNT);
        assert_eq!(third.answer().await.unwrap().status, 200);
        arrived.reply(Outcome::NO_SUCH_JOB);
        assert_eq!(busy.answer().await.unwrap().status, 410);
    });
}

#[test]
fn reload_signal_updates_the_seeds_unless_the_settings_are_invalid() {
    run(async {
        let mut core = ScriptedCore::start().await;
        core.announce(1, Some(core.address), &[core.address]);
        let settings = settings_file(core.address.port());
        std::fs::write(&settings, "{").unwrap();
        let plane = Plane::start_with_settings(options(vec![]), settings.clone());
        plane.signals.send(Signal::Reload).await.unwrap();
        assert_eq!(plane.ready_status().await, 503);
        let port = core.address.port();
        let text = format!(
            r#"{{"NodeId":"edge-1","Ip":"127.0.0.1","PortRange":[{port},{port}],"SeedNodes":["127.0.0.1:1"]}}"#
        );
        std::fs::write(&settings, text).unwrap();
        plane.signals.send(Signal::Reload).await.unwrap();
        let mut client = Client::connect(plane.client_address).await;
        client.send("GET", "/queue/", "").await;
        core.request().await.reply(Outcome::COUNT);
        assert_eq!(client.answer().await.unwrap().status, 200);
        std::fs::remove_file(settings).unwrap();
    });
}

/// A path that is unique to each run: no two processes listen on the same port.
fn settings_file(port: u16) -> PathBuf {
    std::env::temp_dir().join(format!("sprucehatch-data-plane-{}-{port}.json", std::process::id()))
}
