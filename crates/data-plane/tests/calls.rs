//! Each call of a client is forwarded to the leader, and each outcome is returned to the client.

mod support;

use messages::peer::mod_ClientRequest::OneOfcall;
use messages::peer::{ClientReply, Outcome};
use support::client::{send_request, Answer, Client};
use support::core::{ReceivedRequest, ScriptedCore};
use support::plane::{with_leader, Plane};
use support::run;

const JOB: &str = r#"{"Spec":"text","Stages":[{"Count":4,"Cpu":500,"MemMb":256,"EstRuntimeMs":900}]}"#;
const JOB_PATH: &str = "/queue/5c0e7a21d94b36f8";
const JOB_ID: u64 = 0x5c0e_7a21_d94b_36f8;

/// Sends a call, lets the leader reply, and returns the request that the leader received and the client's
/// answer.
async fn exchange(
    plane: &Plane,
    core: &mut ScriptedCore,
    call: (&str, &str, &str),
    reply: ClientReply,
) -> (ReceivedRequest, Answer) {
    let mut client = Client::connect(plane.client_address).await;
    client.send(call.0, call.1, call.2).await;
    let arrived = core.request().await;
    arrived.reply_with(reply);
    (arrived, client.answer().await.unwrap())
}

fn outcome(outcome: Outcome) -> ClientReply {
    ClientReply { outcome, ..ClientReply::default() }
}

#[test]
fn submit_is_forwarded_with_host_path_and_remaining_time() {
    run(async {
        let (plane, mut core) = with_leader().await;
        let call = ("POST", JOB_PATH, JOB);
        let (arrived, answer) = exchange(&plane, &mut core, call, outcome(Outcome::ACCEPTED)).await;
        assert_eq!(answer.status, 200);
        assert_eq!(arrived.request.host, "jobs.example");
        assert_eq!(arrived.request.path, JOB_PATH);
        assert!((2_000..=3_000).contains(&arrived.request.time_left_ms));
        let OneOfcall::submit(submit) = arrived.request.call else { panic!("no submit") };
        assert_eq!(submit.id, JOB_ID);
        assert_eq!(submit.job.unwrap().stages[0].cpu, 500);
    });
}

#[test]
fn read_cancel_and_count_are_forwarded() {
    run(async {
        let (plane, mut core) = with_leader().await;
        let state = ClientReply { state: "running".to_owned(), ..outcome(Outcome::STATE) };
        let (arrived, answer) = exchange(&plane, &mut core, ("GET", JOB_PATH, ""), state).await;
        assert!(matches!(&arrived.request.call, OneOfcall::read(read) if read.id == JOB_ID));
        assert_eq!((answer.status, answer.body.as_str()), (200, r#"{"State":"running"}"#));

        let done = outcome(Outcome::CANCEL_DONE);
        let (arrived, answer) = exchange(&plane, &mut core, ("DELETE", JOB_PATH, ""), done).await;
        assert!(matches!(&arrived.request.call, OneOfcall::cancel(cancel) if cancel.id == JOB_ID));
        assert_eq!(answer.status, 200);

        let count = ClientReply { pending: 12, ..outcome(Outcome::COUNT) };
        let (arrived, answer) = exchange(&plane, &mut core, ("GET", "/queue/", ""), count).await;
        assert!(matches!(&arrived.request.call, OneOfcall::count(_)));
        assert_eq!((answer.status, answer.body.as_str()), (200, r#"{"Pending":12}"#));
    });
}

#[test]
fn rejections_have_matching_status_and_retry_after() {
    run(async {
        let (plane, mut core) = with_leader().await;
        for (given, status) in [
            (Outcome::NO_ROUTE, 404),
            (Outcome::NO_SUCH_JOB, 410),
            (Outcome::INVALID, 400),
            (Outcome::OVERLOADED, 429),
            (Outcome::UNAVAILABLE, 503),
        ] {
            let reply = ClientReply { retry_after_ms: 1_200, ..outcome(given) };
            let (_, answer) = exchange(&plane, &mut core, ("POST", JOB_PATH, JOB), reply).await;
            assert_eq!(answer.status, status, "{given:?}");
            let retry_after = matches!(status, 429 | 503).then_some("2");
            assert_eq!(answer.header("retry-after"), retry_after, "{given:?}");
        }
        let soon = ClientReply { retry_after_ms: 0, ..outcome(Outcome::OVERLOADED) };
        let (_, answer) = exchange(&plane, &mut core, ("POST", JOB_PATH, JOB), soon).await;
        assert_eq!(answer.header("retry-after"), Some("1"));
    });
}

#[test]
fn invalid_paths_and_methods_are_rejected_without_forwarding() {
    run(async {
        let (plane, mut core) = with_leader().await;
        for (method, path, status) in [
            ("POST", "/queue/", 404),
            ("POST", "/queue/short", 404),
            ("GET", "/queue/short", 404),
            ("DELETE", "/queue/", 404),
            ("PUT", JOB_PATH, 405),
            ("PATCH", "/queue/", 405),
        ] {
            let answer = send_request(plane.client_address, method, path, "").await;
            assert_eq!(answer.status, status, "{method} {path}");
            assert!(answer.body.starts_with(r#"{"Error":""#), "{}", answer.body);
        }
        assert!(core.request_now().is_none());
    });
}

#[test]
fn invalid_bodies_are_rejected_with_an_error_text() {
    run(async {
        let (plane, mut core) = with_leader().await;
        for body in ["", "{", "[]", r#"{"Spec":"text"}"#, "\u{0}", r#"{"Spec":7,"Stages":[{"Count":1}]}"#] {
            let answer = send_request(plane.client_address, "POST", JOB_PATH, body).await;
            assert_eq!(answer.status, 400, "{body}");
            assert!(answer.body.starts_with(r#"{"Error":""#), "{}", answer.body);
        }
        assert!(core.request_now().is_none());
    });
}

#[test]
fn body_of_262144_bytes_is_accepted_and_a_longer_one_rejected() {
    run(async {
        let (plane, mut core) = with_leader().await;
        let largest = format!("{JOB}{}", " ".repeat(262_144 - JOB.len()));
        let call = ("POST", JOB_PATH, largest.as_str());
        let (_, answer) = exchange(&plane, &mut core, call, outcome(Outcome::ACCEPTED)).await;
        assert_eq!(answer.status, 200);

        let mut client = Client::connect(plane.client_address).await;
        client
            .send_bytes(b"POST /queue/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: a\r\nContent-Length: 262145\r\n\r\n")
            .await;
        assert_eq!(client.answer().await.unwrap().status, 413);
    });
}

#[test]
fn chunked_body_over_the_limit_is_rejected() {
    run(async {
        let (plane, mut core) = with_leader().await;
        let mut client = Client::connect(plane.client_address).await;
        client
            .send_bytes(
                b"POST /queue/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
            )
            .await;
        client.send_bytes(format!("{:x}\r\n{}\r\n", 262_145, " ".repeat(262_145)).as_bytes()).await;
        assert_eq!(client.answer().await.unwrap().status, 413);
        assert!(core.request_now().is_none());
    });
}

#[test]
fn connection_serves_sequential_and_pipelined_requests() {
    run(async {
        let (plane, mut core) = with_leader().await;
        let mut client = Client::connect(plane.client_address).await;
        for _ in 0..3 {
            client.send("GET", JOB_PATH, "").await;
            core.request().await.reply(Outcome::NO_SUCH_JOB);
            assert_eq!(client.answer().await.unwrap().status, 410);
        }
        client.send("GET", JOB_PATH, "").await;
        client.send("GET", "/queue/", "").await;
        core.request().await.reply(Outcome::NO_SUCH_JOB);
        core.request().await.reply(Outcome::COUNT);
        assert_eq!(client.answer().await.unwrap().status, 410);
        assert_eq!(client.answer().await.unwrap().body, r#"{"Pending":0}"#);
    });
}

#[test]
fn replies_out_of_order_reach_the_right_clients() {
    run(async {
        let (plane, mut core) = with_leader().await;
        let mut clients = Vec::new();
        for number in 0..50 {
            let mut client = Client::connect(plane.client_address).await;
            client.send("GET", &format!("/queue/{number:016x}"), "").await;
            clients.push(client);
        }
        let mut arrived = Vec::new();
        for _ in 0..clients.len() {
            arrived.push(core.request().await);
        }
        for request in arrived.iter().rev() {
            let OneOfcall::read(read) = &request.request.call else { panic!("no read") };
            let state = format!("state-{}", read.id);
            request.reply_with(ClientReply { state, ..outcome(Outcome::STATE) });
        }
        for (number, client) in clients.iter_mut().enumerate() {
            let answer = client.answer().await.unwrap();
            assert_eq!(answer.body, format!(r#"{{"State":"state-{number}"}}"#));
        }
    });
}
