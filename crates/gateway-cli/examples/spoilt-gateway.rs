//! A faulty gateway for tests of trials. The environment variable `SPOILT` selects the rule that the gateway
//! breaks, which the trial must detect. Apart from the fault, the gateway only reads the list of roll servers
//! and forwards each request to the first one.

use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Reads an HTTP message and returns its head and body, or `None` at the end of the stream or on an error.
fn read_message(from: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let (mut head, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        let end = line == "\r\n";
        head += &line;
        if end {
            break;
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// Opens a connection and sends a message on it.
fn send(to: &str, message: &[u8]) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.write_all(message).ok()?;
    Some(stream)
}

/// Reads the complete answer, if there is one.
fn read_answer(stream: TcpStream) -> Option<Vec<u8>> {
    let (head, body) = read_message(&mut BufReader::new(stream))?;
    Some([head.as_bytes(), &body].concat())
}

/// Serves a client's connection, with the given fault.
///
/// - `silent`: requests get no answer.
/// - `invented`: a request is also sent with another request id.
/// - `twice`: two attempts of a request are in flight at once, and the client gets no answer.
/// - `again`: a request is sent a second time after it was answered.
fn serve(mut client: TcpStream, servers: &[String], fault: &str) -> Option<()> {
    let mut requests = BufReader::new(client.try_clone().ok()?);
    while let Some((head, body)) = read_message(&mut requests) {
        if head.starts_with("GET /ready") {
            client.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").ok()?;
            continue;
        }
        let message = [head.as_bytes(), &body].concat();
        let (first, second) = (servers.first()?, servers.get(1)?);
        match fault {
            "silent" => continue,
            "invented" => {
                let other = String::from_utf8_lossy(&message).replace("request-id: 0", "request-id: f");
                read_answer(send(first, other.as_bytes())?);
            }
            "twice" => {
                let one = send(first, &message)?;
                // Wait until the first attempt has arrived at its server.
                thread::sleep(Duration::from_millis(200));
                let two = send(second, &message)?;
                let (_, _) = (read_answer(two), read_answer(one));
                continue;
            }
            "again" => drop(read_answer(send(first, &message)?)),
            _ => {}
        }
        client.write_all(&read_answer(send(first, &message)?)?).ok()?;
    }
    None
}

fn main() {
    let file = std::env::args().nth(2).expect("--config FILE");
    let configuration = std::fs::read_to_string(file).expect("a configuration");
    let config: Value = serde_json::from_str(&configuration).expect("JSON");
    let address = |key: &str| config[key].as_str().expect("an address").to_string();
    let call =
        send(&address("discovery"), b"GET /v1/endpoints HTTP/1.1\r\nhost: list\r\n\r\n").expect("a list");
    let (_, list) = read_message(&mut BufReader::new(call)).expect("an answer");
    let list: Value = serde_json::from_slice(&list).expect("JSON");
    let targets = list["targets"].as_array().expect("targets").iter();
    let servers: Vec<String> =
        targets.filter_map(|target| Some(target["endpoint"].as_str()?.to_string())).collect();
    let fault = std::env::var("SPOILT").unwrap_or_default();
    // Polls for changes of the list, as a real gateway does, and ignores them.
    let (discovery, rev) = (address("discovery"), list["rev"].clone());
    thread::spawn(move || loop {
        let watch = format!("GET /v1/endpoints?since={rev}&timeout_ms=20000 HTTP/1.1\r\nhost: list\r\n\r\n");
        send(&discovery, watch.as_bytes()).and_then(read_answer);
        thread::sleep(Duration::from_millis(50));
    });
    let listener = TcpListener::bind(address("listen")).expect("an address of its own");
    for client in listener.incoming().map_while(Result::ok) {
        let (servers, fault) = (servers.clone(), fault.clone());
        thread::spawn(move || serve(client, &servers, &fault));
    }
}
