//! Requests are sent to the current leader, and a client gets a rejection only if its request was certainly
//! not carried out.

mod support;

use messages::peer::Outcome;
use support::client::Client;
use support::core::ScriptedCore;
use support::plane::{options, with_leader, with_two_members, Plane};
use support::run;

const JOB: &str = r#"{"Spec":"text","Stages":[{"Count":1,"Cpu":500,"MemMb":256}]}"#;
const JOB_PATH: &str = "/queue/5c0e7a21d94b36f8";
/// Timeout of a client in tests that let it expire.
const SHORT_TIMEOUT_MS: u32 = 300;

#[test]
fn pending_request_is_sent_to_the_new_leader() {
    run(async {
        let (plane, mut first, mut second) = with_two_members().await;
        let mut client = Client::connect(plane.client_address).await;
        client.send("POST", JOB_PATH, JOB).await;
        let unanswered = first.request().await;
        second.announce(2, Some(second.address), &[first.address, second.address]);
        let arrived = second.request().await;
        assert_eq!(arrived.request.call, unanswered.request.call);
        arrived.reply(Outcome::ACCEPTED);
        assert_eq!(client.answer().await.unwrap().status, 200);
    });
}

#[test]
fn request_rejected_by_a_former_leader_is_sent_to_the_new_leader() {
    run(async {
        let (plane, mut first, mut second) = with_two_members().await;
        let mut client = Client::connect(plane.client_address).await;
        client.send("POST", JOB_PATH, JOB).await;
        first.request().await.reply(Outcome::NOT_LEADER);
        second.announce(2, Some(second.address), &[first.address, second.address]);
        second.request().await.reply(Outcome::OVERLOADED);
        // The first member did not carry out the request, so the rejection by the second is certain.
        assert_eq!(client.answer().await.unwrap().status, 429);
    });
}

#[test]
fn request_is_resent_to_the_same_leader_after_not_leader() {
    run(async {
        let (plane, mut core) = with_leader().await;
        let mut client = Client::connect(plane.client_address).await;
        client.send("POST", JOB_PATH, JOB).await;
        core.request().await.reply(Outcome::NOT_LEADER);
        core.request().await.reply(Outcome::ACCEPTED);
        assert_eq!(client.answer().await.unwrap().status, 200);
    });
}

#[test]
fn request_is_resent_after_a_broken_connection() {
    run(async {
        let (plane, mut core) = with_leader().await;
        let mut client = Client::connect(plane.client_address).await;
        client.send("POST", JOB_PATH, JOB).await;
        core.request().await;
        core.break_connections();
        core.request().await.reply(Outcome::ACCEPTED);
        assert_eq!(client.answer().await.unwrap().status, 200);
    });
}

#[test]
fn rejection_after_an_unanswered_send_is_answered_with_unknown_outcome() {
    run(async {
        for refusal in [Outcome::OVERLOADED, Outcome::UNAVAILABLE, Outcome::NO_ROUTE, Outcome::INVALID] {
            let (plane, mut first, mut second) = with_two_members().await;
            let mut client = Client::connect(plane.client_address).await;
            client.send("POST", JOB_PATH, JOB).await;
            first.request().await;
            second.announce(2, Some(second.address), &[first.address, second.address]);
            second.request().await.reply(refusal);
            assert_eq!(client.answer().await.unwrap().status, 504, "{refusal:?}");
        }
    });
}

#[test]
fn rejection_by_the_former_leader_does_not_decide_the_request() {
    run(async {
        let (plane, mut first, mut second) = with_two_members().await;
        let mut client = Client::connect(plane.client_address).await;
        client.send("POST", JOB_PATH, JOB).await;
        let late = first.request().await;
        second.announce(2, Some(second.address), &[first.address, second.address]);
        let arrived = second.request().await;
        late.reply(Outcome::UNAVAILABLE);
        // Another exchange in between lets the role read the late reply. The order in which it reads from its
        // sockets is not determined; upstream.rs checks each order without sockets.
        let mut other = Client::connect(plane.client_address).await;
        other.send("GET", "/queue/", "").await;
        second.request().await.reply(Outcome::COUNT);
        assert_eq!(other.answer().await.unwrap().status, 200);
        arrived.reply(Outcome::ACCEPTED);
        assert_eq!(client.answer().await.unwrap().status, 200);
    });
}

#[test]
fn unanswered_submit_and_cancel_time_out_with_504_and_read_with_503() {
    run(async {
        let (plane, mut core) = with_leader().await;
        for (method, body, status) in [("POST", JOB, 504), ("DELETE", "", 504), ("GET", "", 503)] {
            let mut client = Client::connect(plane.client_address).await;
            client.send_with_deadline(method, JOB_PATH, body, SHORT_TIMEOUT_MS).await;
            core.request().await;
            assert_eq!(client.answer().await.unwrap().status, status, "{method}");
        }
    });
}

#[test]
fn submit_sent_before_the_leader_stopped_is_answered_with_504() {
    run(async {
        let (plane, mut core) = with_leader().await;
        let mut client = Client::connect(plane.client_address).await;
        client.send_with_deadline("POST", JOB_PATH, JOB, SHORT_TIMEOUT_MS).await;
        core.request().await;
        core.stop();
        assert_eq!(client.answer().await.unwrap().status, 504);
    });
}

#[test]
fn unsent_requests_are_answered_with_503_without_a_leader() {
    run(async {
        let core = ScriptedCore::start().await;
        core.announce(0, None, &[]);
        let plane = Plane::start(options(vec![core.address]));
        core.wait_for_hellos(1).await;
        for (method, body) in [("POST", JOB), ("DELETE", ""), ("GET", "")] {
            let mut client = Client::connect(plane.client_address).await;
            client.send_with_deadline(method, JOB_PATH, body, SHORT_TIMEOUT_MS).await;
            let answer = client.answer().await.unwrap();
            assert_eq!(answer.status, 503, "{method}");
            assert_eq!(answer.header("retry-after"), Some("1"));
        }
    });
}

#[test]
fn request_waits_for_the_first_leader() {
    run(async {
        let mut core = ScriptedCore::start().await;
        let plane = Plane::start(options(vec![core.address]));
        let mut client = Client::connect(plane.client_address).await;
        client.send("POST", JOB_PATH, JOB).await;
        core.wait_for_hellos(1).await;
        core.announce(1, Some(core.address), &[core.address]);
        core.request().await.reply(Outcome::ACCEPTED);
        assert_eq!(client.answer().await.unwrap().status, 200);
    });
}

#[test]
fn leader_outside_the_seeds_is_found_by_a_notice() {
    run(async {
        let (seed, mut leader) = (ScriptedCore::start().await, ScriptedCore::start().await);
        leader.announce(3, Some(leader.address), &[leader.address]);
        seed.announce(3, Some(leader.address), &[leader.address]);
        let plane = Plane::start(options(vec![seed.address]));
        let mut client = Client::connect(plane.client_address).await;
        client.send("POST", JOB_PATH, JOB).await;
        leader.request().await.reply(Outcome::ACCEPTED);
        assert_eq!(client.answer().await.unwrap().status, 200);
    });
}

#[test]
fn requests_over_the_limit_are_rejected_at_once() {
    run(async {
        let core = ScriptedCore::start().await;
        core.announce(1, Some(core.address), &[core.address]);
        let mut limited = options(vec![core.address]);
        limited.upstream.max_requests = 1;
        let plane = Plane::start(limited);
        plane.wait_for_status(200).await;
        let mut core = core;
        let mut first = Client::connect(plane.client_address).await;
        first.send("POST", JOB_PATH, JOB).await;
        let arrived = core.request().await;
        let mut second = Client::connect(plane.client_address).await;
        second.send("POST", "/queue/00000000000000aa", JOB).await;
        assert_eq!(second.answer().await.unwrap().status, 503);
        arrived.reply(Outcome::ACCEPTED);
        assert_eq!(first.answer().await.unwrap().status, 200);
        assert!(core.request_now().is_none());
    });
}

#[test]
fn abandoned_request_frees_capacity() {
    run(async {
        let core = ScriptedCore::start().await;
        core.announce(1, Some(core.address), &[core.address]);
        let mut limited = options(vec![core.address]);
        limited.upstream.max_requests = 1;
        let plane = Plane::start(limited);
        plane.wait_for_status(200).await;
        let mut core = core;
        let mut leaving = Client::connect(plane.client_address).await;
        leaving.send("GET", JOB_PATH, "").await;
        let abandoned = core.request().await;
        drop(leaving);
        let mut staying = Client::connect(plane.client_address).await;
        loop {
            staying.send("GET", "/queue/00000000000000aa", "").await;
            tokio::select! {
                arrived = core.request() => {
                    abandoned.reply(Outcome::NO_SUCH_JOB);
                    arrived.reply(Outcome::NO_SUCH_JOB);
                    assert_eq!(staying.answer().await.unwrap().status, 410);
                    return;
                }
                refused = staying.answer() => assert_eq!(refused.unwrap().status, 503),
            }
        }
    });
}
