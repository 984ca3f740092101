//! The platform's list is read page by page. Each page is sent to the driver on arrival, with the time at
//! which it was requested.

use configuration::Instance;
use control::clock::Clock;
use control::events::DriverEvent;
use control::platform::{ListedPage, PlatformClient, PlatformError, ReadId};
use std::future::Future;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::timeout;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const FIRST_PAGE: &str =
    r#"{"Instances":[{"Id":"i-1","Backend":"s","Address":"10.0.0.1:80"}],"NextToken":"p 50&"}"#;
const LAST_PAGE: &str =
    r#"{"Instances":[{"Id":"i-2","Backend":"s","Address":"10.0.0.2:80"}],"NextToken":null}"#;

fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let limited = async { timeout(TEST_TIMEOUT, test).await.expect("an end in time") };
    LocalSet::new().block_on(&runtime, limited);
}

async fn platform(discovery: &str) -> (PlatformClient, mpsc::Receiver<DriverEvent>, TcpListener) {
    let (sender, events) = mpsc::channel(4);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address: SocketAddrV4 = listener.local_addr().expect("an address").to_string().parse().expect("IPv4");
    (PlatformClient::new(discovery, Some(address), sender, Clock::start()), events, listener)
}

/// Answers one request and returns its request line.
async fn answer(stream: &mut TcpStream, status: &str, body: &str) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        assert!(stream.read_buf(&mut bytes).await.expect("a request") > 0, "a complete request");
    }
    let reply = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(reply.as_bytes()).await.expect("a reader");
    let text = String::from_utf8(bytes).expect("text");
    text.lines().next().unwrap_or_default().to_owned()
}

/// The next page, or the error that ended the read.
async fn page(events: &mut mpsc::Receiver<DriverEvent>) -> (ReadId, Result<ListedPage, PlatformError>) {
    match events.recv().await {
        Some(DriverEvent::Instances { read, result }) => (read, result),
        _ => panic!("a page"),
    }
}

fn ids<'a>(pages: impl IntoIterator<Item = &'a std::sync::Arc<[Instance]>>) -> Vec<String> {
    pages.into_iter().flat_map(|page| page.iter()).map(|instance| instance.id.clone()).collect()
}

/// The instance ids of the complete list, and for each of its pages whether it has changed.
async fn list(events: &mut mpsc::Receiver<DriverEvent>) -> Result<(Vec<String>, Vec<bool>), PlatformError> {
    let mut changed = Vec::new();
    let mut listed = Vec::new();
    loop {
        let page = page(events).await.1?;
        changed.push(page.has_changed);
        listed.push(page.instances);
        if let Some(complete) = &page.complete_list {
            assert_eq!(ids(complete), ids(&listed), "the pages as they were sent");
            return Ok((ids(complete), changed));
        }
    }
}

#[test]
fn reads_all_pages_over_one_connection() {
    on_one_thread(async {
        let (mut client, mut events, listener) = platform("cloud_api").await;
        client.read();
        let (mut stream, _) = listener.accept().await.expect("a connection");
        assert_eq!(answer(&mut stream, "200 OK", FIRST_PAGE).await, "GET /instances HTTP/1.1");
        let second = answer(&mut stream, "200 OK", LAST_PAGE).await;
        assert_eq!(second, "GET /instances?PageToken=p%2050%26 HTTP/1.1");
        assert_eq!(list(&mut events).await.expect("a complete list").0, ["i-1", "i-2"]);

        client.read();
        answer(&mut stream, "200 OK", LAST_PAGE).await;
        assert_eq!(list(&mut events).await.expect("a complete list").0, ["i-2"]);
    });
}

#[test]
fn each_page_is_sent_on_arrival_with_its_request_time() {
    on_one_thread(async {
        let (sender, mut events) = mpsc::channel(4);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address").to_string().parse().expect("IPv4");
        let clock = Clock::start();
        let mut client = PlatformClient::new("cloud_api", Some(address), sender, clock);
        let begun_at = clock.now();
        client.read();
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let connected_at = clock.now();
        answer(&mut stream, "200 OK", FIRST_PAGE).await;
        let first = page(&mut events).await.1.expect("a page");
        assert_eq!(ids([&first.instances]), ["i-1"]);
        assert!(first.complete_list.is_none());
        assert!(
            (begun_at..=connected_at).contains(&first.requested_at),
            "the time at which the page was requested"
        );

        answer(&mut stream, "200 OK", LAST_PAGE).await;
        let answered_at = clock.now();
        let second = page(&mut events).await.1.expect("a page");
        assert!(second.complete_list.is_some());
        assert!(second.requested_at > first.requested_at, "each page has its own time");
        assert!(second.requested_at <= answered_at, "before its answer");
    });
}

#[test]
fn pages_of_a_cancelled_read_are_not_current() {
    on_one_thread(async {
        let (mut client, mut events, listener) = platform("cloud_api").await;
        client.read();
        let (mut stream, _) = listener.accept().await.expect("a connection");
        answer(&mut stream, "200 OK", FIRST_PAGE).await;
        let (ended, _) = page(&mut events).await;
        assert!(client.is_current(ended));
        client.read();
        assert!(!client.is_current(ended));
        let (mut stream, _) = listener.accept().await.expect("another connection");
        answer(&mut stream, "200 OK", LAST_PAGE).await;
        let (current, _) = page(&mut events).await;
        assert!(client.is_current(current));
        client.stop();
        assert!(!client.is_current(current));
    });
}

#[test]
fn failed_page_completes_no_list() {
    on_one_thread(async {
        let (mut client, mut events, listener) = platform("cloud_api").await;
        client.read();
        let (mut stream, _) = listener.accept().await.expect("a connection");
        answer(&mut stream, "200 OK", FIRST_PAGE).await;
        answer(&mut stream, "429 Too Many Requests", "").await;
        assert!(page(&mut events).await.1.expect("a page").complete_list.is_none());
        assert!(matches!(list(&mut events).await, Err(PlatformError::Status(status)) if status == 429));
    });
}

#[test]
fn unreadable_entry_completes_no_list() {
    on_one_thread(async {
        let (mut client, mut events, listener) = platform("cloud_api").await;
        client.read();
        let (mut stream, _) = listener.accept().await.expect("a connection");
        answer(&mut stream, "200 OK", r#"{"Instances":[{"Id":5}],"NextToken":null}"#).await;
        assert!(matches!(list(&mut events).await, Err(PlatformError::Unreadable(1))));
    });
}

#[test]
fn unsupported_discovery_is_an_error_with_a_remedy() {
    on_one_thread(async {
        let (mut client, mut events, _listener) = platform("gossip").await;
        client.read();
        let error = list(&mut events).await.expect_err("no list");
        assert!(error.to_string().contains("set Discovery to \"cloud_api\""), "{error}");
    });
}

#[test]
fn unchanged_pages_are_reported_as_unchanged_until_a_stop() {
    on_one_thread(async {
        let (mut client, mut events, listener) = platform("cloud_api").await;
        client.read();
        let (mut stream, _) = listener.accept().await.expect("a connection");
        answer(&mut stream, "200 OK", FIRST_PAGE).await;
        answer(&mut stream, "200 OK", LAST_PAGE).await;
        let both = ["i-1".to_owned(), "i-2".to_owned()].to_vec();
        assert_eq!(list(&mut events).await.expect("a complete list"), (both.clone(), vec![true, true]));

        client.read();
        answer(&mut stream, "200 OK", FIRST_PAGE).await;
        answer(&mut stream, "200 OK", LAST_PAGE).await;
        assert_eq!(list(&mut events).await.expect("a complete list"), (both, vec![false, false]));

        let changed = LAST_PAGE.replace("i-2", "i-3");
        let others = ["i-1".to_owned(), "i-3".to_owned()].to_vec();
        client.read();
        answer(&mut stream, "200 OK", FIRST_PAGE).await;
        answer(&mut stream, "200 OK", &changed).await;
        assert_eq!(list(&mut events).await.expect("a complete list"), (others.clone(), vec![false, true]));

        client.stop();
        client.read();
        answer(&mut stream, "200 OK", FIRST_PAGE).await;
        answer(&mut stream, "200 OK", &changed).await;
        assert_eq!(list(&mut events).await.expect("a complete list"), (others, vec![true, true]));
    });
}

#[test]
fn shortened_list_ends_earlier() {
    on_one_thread(async {
        let (mut client, mut events, listener) = platform("cloud_api").await;
        let shorter = FIRST_PAGE.replace("\"p 50&\"", "null");
        client.read();
        let (mut stream, _) = listener.accept().await.expect("a connection");
        answer(&mut stream, "200 OK", FIRST_PAGE).await;
        answer(&mut stream, "200 OK", LAST_PAGE).await;
        assert_eq!(list(&mut events).await.expect("a complete list").0, ["i-1", "i-2"]);
        client.read();
        answer(&mut stream, "200 OK", &shorter).await;
        assert_eq!(list(&mut events).await.expect("a complete list").0, ["i-1"]);
    });
}
