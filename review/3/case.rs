//! An edge stands still; clients that wait at it leave early and cancel their jobs at another edge.
//! Arguments: the program, the record's path, and whether there is trouble (0 or 1).

#[path = "../stand-ins/stand_in.rs"]
mod stand_in;

use stand_in::*;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// One edge of ten stands still: the site's `node_freeze` has a share of 0.11.
const EDGES: u8 = 10;
/// Clients at each edge; those at the edge that stands still leave: 4 of 40, the site's `give_up` has a share of 0.25.
const CLIENTS: u64 = 4;
/// How long the edge stands still: the site's list of troubles has 3.5 s for `node_freeze`.
const FREEZE: Duration = Duration::from_millis(3_500);
/// A client that leaves early waits for half of its objective, `TargetLatencyMs` 1,000.
const PATIENCE: Duration = Duration::from_millis(500);
const CANCEL_MS: f64 = 3.0;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (program, trouble) = (&arguments[1], arguments[3] == "1");
    let record = Record::create(Path::new(&arguments[2]));
    let mut system = Deployment::new(program, record.clone(), 4);
    (0..3).for_each(|machine| system.start_core(machine, true));
    (0..EDGES).for_each(|edge| system.start_edge(edge));
    let taken = system.put_configuration(&[0, 1, 2], 0, &configuration(1, &[("r-roll", "/roll/")]), Duration::from_secs(15));
    if taken != 200 || !system.wait_ready(EDGES, Duration::from_secs(10)) {
        record.say(&format!("cannot run: configuration {taken}, or edges not ready"));
        drop(system);
        std::process::exit(2);
    }
    // All is calm for longer than `ContactMs`.
    thread::sleep(Duration::from_secs(7));
    let frozen_at = Instant::now();
    if trouble {
        system.process("edge-0").signal("STOP");
        record.say("edge-0 stands still");
    }
    // Three steps of 1.2 s, one after the other.
    let step = "{\"Count\":1,\"Cpu\":500,\"MemMb\":256,\"EstRuntimeMs\":1200";
    let body = format!("{{\"Spec\":\"1200\",\"Stages\":[{step}}},{step},\"DependsOn\":[0]}},{step},\"DependsOn\":[1]}}]}}");
    // Clients at all other edges: they wait for their answers and cancel nothing.
    for edge in 1..EDGES {
        for number in 0..CLIENTS {
            let (body, record, front) = (body.clone(), record.clone(), system.front(edge));
            thread::spawn(move || {
                let path = format!("/roll/{:016x}", 0xe000 + u64::from(edge) * 16 + number);
                let status = client(front, "POST", &path, body.as_bytes()).map_or(0, |answer| answer.status());
                record.line(&format!("client POST {path} at {front}: {status}"));
            });
        }
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (body, record, first, second) = (body.clone(), record.clone(), system.front(0), system.front(1));
            let id = format!("{:016x}", 0xd000 + number);
            thread::spawn(move || {
                let path = format!("/roll/{id}");
                let status = post_and_leave(first, &path, &body);
                record.line(&format!("client POST {path} at {first}: {status} (0: left without an answer)"));
                for _ in 0..5 {
                    let answer = client(second, "DELETE", &path, b"").map_or(0, |answer| answer.status());
                    record.line(&format!("client DELETE {path} at {second}: {answer}"));
                    if answer == 410 || (answer >= 200 && answer < 300) {
                        return (id, answer, record.now());
                    }
                    thread::sleep(Duration::from_millis(300));
                }
                (id, 0, f64::MAX)
            })
        })
        .collect();
    let cancelled: Vec<(String, u16, f64)> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
    if trouble {
        system.process("edge-0").signal("CONT");
        record.say("edge-0 goes on");
    }
    thread::sleep(Duration::from_secs(10));
    for (id, _, _) in &cancelled {
        let path = format!("/roll/{id}");
        let answer = client(system.front(1), "GET", &path, b"");
        record.line(&format!("client GET {path}: {}", answer.map_or(String::new(), |answer| format!("{} {}", answer.status(), answer.text()))));
    }
    system.end();
    // The starts that workers took, from the record.
    let text = std::fs::read_to_string(&arguments[2]).unwrap_or_default();
    let mut late = 0;
    for line in text.lines().filter(|line| line.contains(" start ") && line.contains("worker ")) {
        let at: f64 = line.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or(0.0);
        let Some((id, answer, acknowledged)) = cancelled.iter().find(|(id, _, _)| line.contains(id.as_str())) else { continue };
        if at > acknowledged + CANCEL_MS {
            late += 1;
            record.say(&format!("a task of {id} starts {:.3} s after its cancelling was answered with {answer}", at - acknowledged));
        }
    }
    record.say(if late > 0 { "UNASKED is broken" } else { "UNASKED holds" });
    std::process::exit(i32::from(late > 0));
}

/// Sends a request and leaves if no answer has come after `PATIENCE`: the status, or 0.
fn post_and_leave(edge: std::net::SocketAddr, path: &str, body: &str) -> u16 {
    let Ok(mut stream) = TcpStream::connect_timeout(&edge, PATIENCE) else { return 0 };
    let head = format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Deadline-Ms: 3000\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    if stream.write_all(head.as_bytes()).is_err() {
        return 0;
    }
    let _ = stream.set_read_timeout(Some(PATIENCE));
    read_message(&mut std::io::BufReader::new(stream)).map_or(0, |answer| answer.status())
}
