use super::*;
use crate::store::tests::target;
use gateway_protocol::list::List;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// A caller that stays connected but reads nothing, like one whose machine is down, must not hold its
/// connection forever.
#[tokio::test(flavor = "local")]
async fn closes_the_connection_of_a_caller_that_reads_nothing() {
    let registry = Registry::follower("me".to_string());
    let targets = (0..2000).map(|n| target(&format!("s-{n}"), 1, 1)).collect();
    registry.apply_followed(&List { rev: 5, all: true, targets }, "a", None).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut caller = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    caller.write_all("GET /v1/endpoints HTTP/1.1\r\nHost: r\r\n\r\n".repeat(1000).as_bytes()).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let (_close, closing) = watch::channel(false);
    let connection = serve_connection(stream, registry, Api::Readers, closing, Duration::from_millis(200));
    assert!(timeout(Duration::from_secs(20), connection).await.is_ok(), "the connection stays open forever");
}
