//! Requests of clients that have closed their connections before the process reads them, as after a freeze.

mod support;

use messages::peer::mod_ClientRequest::OneOfcall;
use messages::peer::Outcome;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use support::client::Client;
use support::core::ScriptedCore;
use support::plane::{with_leader, Plane};
use support::run;

const JOB: &str = r#"{"Spec":"text","Stages":[{"Count":4,"Cpu":500,"MemMb":256,"EstRuntimeMs":900}]}"#;
const JOB_PATH: &str = "/queue/5c0e7a21d94b36f8";
const OTHER_PATH: &str = "/queue/00000000000000aa";
/// Requests that are answered before a test concludes that no request of the departed client is forwarded.
const LATER_REQUESTS: usize = 5;

/// A client on the test's own thread: while it acts, the process under test does not run.
struct BlockingClient {
    stream: TcpStream,
}

impl BlockingClient {
    fn connect(address: SocketAddr) -> Self {
        BlockingClient { stream: TcpStream::connect(address).unwrap() }
    }

    fn send(&mut self, method: &str, body: &str) {
        self.send_part(method, body.len(), body);
    }

    /// Sends a head that announces `length` bytes, and a part of them.
    fn send_part(&mut self, method: &str, length: usize, body: &str) {
        let request = format!(
            "{method} {JOB_PATH} HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        self.stream.write_all(request.as_bytes()).unwrap();
    }
}

/// Asserts that the core receives the requests of later clients, and none of the departed one.
async fn assert_only_later_requests_arrive(plane: &Plane, core: &mut ScriptedCore) {
    for _ in 0..LATER_REQUESTS {
        let mut client = Client::connect(plane.client_address).await;
        client.send("GET", OTHER_PATH, "").await;
        let arrived = core.request().await;
        assert_eq!(arrived.request.path, OTHER_PATH);
        assert!(matches!(arrived.request.call, OneOfcall::read(_)));
        arrived.reply(Outcome::NO_SUCH_JOB);
        assert_eq!(client.answer().await.unwrap().status, 410);
    }
}

/// Guards against a job that is submitted for a client that has left and has cancelled it elsewhere.
#[test]
fn submission_is_not_forwarded_after_its_client_has_left() {
    run(async {
        let (plane, mut core) = with_leader().await;
        let mut client = BlockingClient::connect(plane.client_address);
        client.send("POST", JOB);
        drop(client);
        assert_only_later_requests_arrive(&plane, &mut core).await;
    });
}

/// A client that has been served on its connection before.
async fn served_client(plane: &Plane, core: &mut ScriptedCore) -> BlockingClient {
    let mut client = BlockingClient::connect(plane.client_address);
    client.send("GET", "");
    core.request().await.reply(Outcome::NO_SUCH_JOB);
    // The answer is written in the turn in which the next client is served.
    assert_only_later_requests_arrive(plane, core).await;
    assert!(client.stream.read(&mut [0; 4_096]).unwrap() > 0);
    client
}

#[test]
fn request_on_a_reused_connection_is_not_forwarded_after_its_client_has_left() {
    for (method, body) in [("POST", JOB), ("DELETE", ""), ("GET", "")] {
        run(async {
            let (plane, mut core) = with_leader().await;
            let mut client = served_client(&plane, &mut core).await;
            client.send(method, body);
            drop(client);
            assert_only_later_requests_arrive(&plane, &mut core).await;
        });
    }
}

#[test]
fn first_request_on_an_accepted_connection_is_not_forwarded_after_its_client_has_left() {
    run(async {
        let (plane, mut core) = with_leader().await;
        let mut client = BlockingClient::connect(plane.client_address);
        assert_only_later_requests_arrive(&plane, &mut core).await;
        client.send("POST", JOB);
        drop(client);
        assert_only_later_requests_arrive(&plane, &mut core).await;
    });
}

/// Guards against a forwarded submission whose body is complete only together with the end of the connection.
#[test]
fn submission_in_two_parts_is_not_forwarded_after_its_client_has_left() {
    run(async {
        let (plane, mut core) = with_leader().await;
        let mut client = BlockingClient::connect(plane.client_address);
        let (first, second) = JOB.split_at(10);
        client.send_part("POST", JOB.len(), first);
        assert_only_later_requests_arrive(&plane, &mut core).await;
        client.stream.write_all(second.as_bytes()).unwrap();
        drop(client);
        assert_only_later_requests_arrive(&plane, &mut core).await;
    });
}
