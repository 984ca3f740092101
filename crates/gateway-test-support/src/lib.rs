//! Runs the real gateway with scripted discovery, backends and clients on loopback. Everything listens on
//! port 0, and every wait is for an event, with a time limit that is reached only on failure.

pub mod golden;
mod ports;

pub use ports::{reserved_address, start_process};

use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// The path of a program of this workspace, from the build that the running test belongs to.
///
/// # Panics
///
/// If the program has not been built.
pub fn program(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("a running test has a file");
    // Test executables are in `deps`, a folder next to the programs.
    let dir = test.parent().and_then(|deps| deps.parent()).expect("a folder of the build");
    let program = dir.join(name);
    assert!(program.exists(), "{} does not exist: `cargo test` from the root builds it", program.display());
    program
}

/// How long a test waits for an event before it fails.
pub const LIMIT: Duration = Duration::from_secs(20);
/// The next number for a request id or a file name.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// A request or a response as received.
#[derive(Debug, Clone)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// The number of the backend's connection on which the message arrived, from 0.
    pub connection: usize,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status line")
    }
}

/// Reads one message; `None` if the connection ends.
fn read(from: &mut impl BufRead, connection: usize) -> Option<Message> {
    let mut start = String::new();
    if from.read_line(&mut start).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        headers.insert(name.to_ascii_lowercase(), value.to_string());
    }
    let length = headers.get("content-length").map_or(0, |l| l.parse().expect("a length"));
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some(Message { start: start.trim_end().to_string(), headers, body, connection })
}

/// A scripted backend that records its requests.
pub struct Backend {
    pub address: SocketAddr,
    /// The requests in the order of arrival.
    pub requests: Receiver<Message>,
    /// The numbers of the connections that the gateway closed.
    pub ended: Receiver<usize>,
}

impl Backend {
    /// Starts a backend. `script` answers each request on its connection; the connection closes when it
    /// returns false.
    pub fn new(script: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let ((seen, requests), (end, ended)) = (channel(), channel());
        let script = Arc::new(script);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let Ok(mut stream) = stream else { return };
                let (seen, end, script): (Sender<Message>, Sender<usize>, _) =
                    (seen.clone(), end.clone(), script.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                    while let Some(message) = read(&mut reader, number) {
                        let _ = seen.send(message.clone());
                        if !script(&message, &mut stream) {
                            return;
                        }
                    }
                    let _ = end.send(number);
                });
            }
        });
        Backend { address, requests, ended }
    }

    /// A backend that answers every request with status 200 and a body that holds the request id.
    pub fn good() -> Self {
        Backend::new(|m, s| ok(s, &format!("for {}", m.header("request-id").unwrap_or("nobody"))))
    }

    /// Waits for the next request.
    pub fn next(&self) -> Message {
        self.requests.recv_timeout(LIMIT).expect("a request reaches the backend")
    }

    /// Whether no request is waiting to be taken by [`Backend::next`].
    pub fn untouched(&self) -> bool {
        self.requests.try_recv().is_err()
    }
}

/// A listener with a full accept queue, and the connections that fill it. No further connection is
/// established until the listener accepts one.
pub fn listener_with_full_queue() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket.listen(1).expect("listens");
    let (listener, mut fill) = (TcpListener::from(socket), Vec::new());
    let address = listener.local_addr().expect("an address");
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
        fill.push(stream);
        assert!(fill.len() < 100, "the queue never fills");
    }
    (listener, fill)
}

/// Sends a response with status 200; returns whether that succeeded.
pub fn ok(to: &mut TcpStream, body: &str) -> bool {
    say(to, &format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// Sends raw text; returns whether that succeeded.
pub fn say(to: &mut TcpStream, text: &str) -> bool {
    to.write_all(text.as_bytes()).is_ok()
}

/// What a discovery has published so far, and how often it has been called.
#[derive(Default)]
struct Published {
    /// List versions and response bodies in order. A call without `since` gets the latest full list.
    lists: Vec<(u64, String)>,
    calls: usize,
}

/// A scripted discovery service that serves the lists which the test publishes.
pub struct Discovery {
    pub address: SocketAddr,
    published: Arc<(Mutex<Published>, Condvar)>,
}

impl Discovery {
    /// Starts a discovery service that serves the list `first` as version 1.
    pub fn new(first: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let published = Arc::new((Mutex::new(Published::default()), Condvar::new()));
        let d = Discovery { address, published: published.clone() };
        d.publish(1, first);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (Ok(stream), published) = (stream, published.clone()) else { return };
                thread::spawn(move || Discovery::serve(stream, &published));
            }
        });
        d
    }

    /// A discovery service that accepts calls and answers none of them.
    pub fn silent() -> Self {
        let d = Discovery::new(String::new());
        d.retract_latest();
        d
    }

    /// Answers the calls on one connection; each waits until there is a list for it.
    fn serve(mut stream: TcpStream, published: &(Mutex<Published>, Condvar)) {
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        while let Some(call) = read(&mut reader, 0) {
            let since = call.start.split("since=").nth(1).and_then(|s| s.split('&').next()?.parse().ok());
            let mut t = published.0.lock().expect("not poisoned");
            t.calls += 1;
            published.1.notify_all();
            let body = loop {
                let newer = match since {
                    None => t.lists.iter().rev().find(|l| l.1.contains(r#""all":true"#)),
                    Some(since) => t.lists.iter().find(|l| l.0 > since),
                };
                if let Some((_, body)) = newer {
                    break body.clone();
                }
                t = published.1.wait(t).expect("not poisoned");
            };
            drop(t);
            ok(&mut stream, &body);
        }
    }

    /// Publishes a list version and wakes up waiting calls.
    pub fn publish(&self, rev: u64, body: String) {
        self.published.0.lock().expect("not poisoned").lists.push((rev, body));
        self.published.1.notify_all();
    }

    /// Removes the latest list version.
    pub fn retract_latest(&self) {
        self.published.0.lock().expect("not poisoned").lists.pop();
    }

    /// The number of calls so far.
    pub fn calls(&self) -> usize {
        self.published.0.lock().expect("not poisoned").calls
    }

    /// Waits until the gateway has called this many times. The gateway has then applied the responses to the
    /// earlier calls.
    pub fn wait_for_calls(&self, times: usize) {
        let t = self.published.0.lock().expect("not poisoned");
        let (_guard, late) =
            self.published.1.wait_timeout_while(t, LIMIT, |t| t.calls < times).expect("not poisoned");
        assert!(!late.timed_out(), "discovery is called {times} times");
    }
}

/// A list in discovery's format. Targets are given by uid, address and state.
pub fn list(rev: u64, all: bool, targets: &[(&str, SocketAddr, &str)]) -> String {
    let targets: Vec<String> = targets
        .iter()
        .map(|(uid, address, state)| {
            format!(
                r#"{{"uid":"{uid}","endpoint":"{address}","az":"hall","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
            )
        })
        .collect();
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, targets.join(","))
}

/// A template of the gateway's configuration; [`configuration`] replaces the words in capital letters.
const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"DISCOVERY","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":SOCKETS},
"known":KNOWN,"discovery_fallbacks":[MORE],"pool":POOL,"log":LOG,"settings":{"az":0,"dcs":["hall"],"me":0,"siblings":1,"discovery":"MODE","tick":2000000,
"extra":{"cost_after":true,"meter_period":500000000,"most_units":8},
"limits":{"cancelling":true,"connect_timeout":CONNECT,"keepalive":KEEPALIVE,"max_retry_after":2000000000,
 "retry_after":true,"second_copies":false,"try_limit":3},
"obligations":{"answer_slack":8000000,"cold":15000000000,"cold_from":0.19,"drain_grace":500000000,
 "fall":1500000000,"fall_multiple":3.0},
"plans":[{"name":"basic","quota_rate":1000.0,"depth":1000.0,"value_factor":1.0},
 {"name":"tight","quota_rate":0.01,"depth":1.0,"value_factor":1.0}],
"services":[
 {"name":"quote","on_time":600000000,"deadline":2500000000,"effect":"safe","group":"all","points":3.0},
 {"name":"confirm","on_time":750000000,"deadline":2000000000,"effect":"keyed","group":"all","key_ttl":2000000000,"points":5.0},
 {"name":"book-slot","on_time":750000000,"deadline":2500000000,"effect":"unsafe","group":"all","points":3.0}]}}"#;

/// The settings with which a test starts a gateway.
pub struct Setup {
    pub sockets: usize,
    pub connect_ms: u64,
    pub keepalive_ms: u64,
    /// The limit of file descriptors of the process.
    pub ulimit: Option<usize>,
    /// The initial list of backends in the configuration.
    pub known: Option<String>,
    /// Whether the gateway must subscribe to discovery, in place of the automatic mode.
    pub subscribe: bool,
    /// The address to listen at, in place of any free port.
    pub listen: Option<SocketAddr>,
    /// Whether the gateway opens an operators' address.
    pub ops: bool,
    /// Fallback addresses of discovery.
    pub fallbacks: Vec<SocketAddr>,
    /// The options of the connection pool, as JSON.
    pub pool: Option<&'static str>,
    /// A listening socket for clients that the gateway inherits from its parent process.
    pub inherited: Option<TcpListener>,
    /// The folder in which a gateway's processes find each other (`TMPDIR`).
    pub folder: Option<PathBuf>,
    /// A TOML configuration in place of the platform's JSON file. `DISCOVERY` in it is replaced by the
    /// address of discovery.
    pub toml: Option<String>,
    /// The options of the log, as JSON.
    pub log: Option<&'static str>,
    /// Whether nothing reads the log after its first lines.
    pub unread: bool,
    /// Replacements in the platform's JSON file: a text that it contains, and its replacement.
    pub changed: Vec<(&'static str, &'static str)>,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            sockets: 1024,
            connect_ms: 250,
            keepalive_ms: 30_000,
            ulimit: None,
            known: None,
            subscribe: false,
            listen: None,
            ops: false,
            fallbacks: Vec::new(),
            pool: None,
            inherited: None,
            folder: None,
            toml: None,
            log: None,
            unread: false,
            changed: Vec::new(),
        }
    }
}

/// A running gateway process, killed when dropped.
pub struct Gateway {
    pub child: Child,
    pub address: SocketAddr,
    /// The operators' address.
    ops: Option<SocketAddr>,
    /// The lines of the log after those that hold the addresses.
    log: Receiver<String>,
    /// The log, if nothing reads it.
    unread: Option<BufReader<ChildStderr>>,
    config: PathBuf,
}

/// The address that follows `words` in the next line of a program's log.
pub fn read_logged_address(log: &mut impl BufRead, words: &str) -> SocketAddr {
    let mut line = String::new();
    log.read_line(&mut line).expect("a line");
    let parts = line.trim().split_once(words).unwrap_or_else(|| panic!("{words:?} in {line:?}"));
    // In a JSON line, a quote ends the address.
    parts.1.split('"').next().and_then(|address| address.parse().ok()).expect("an address")
}

/// Creates an empty folder.
pub fn folder() -> PathBuf {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("sprucehatch-gateway-{}-{number}", std::process::id()));
    std::fs::create_dir(&path).expect("a new folder");
    path
}

/// Creates a JSON file with this text.
pub fn config_file(text: &str) -> PathBuf {
    file("json", text)
}

/// Creates a file with this extension and text.
pub fn file(end: &str, text: &str) -> PathBuf {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("sprucehatch-gateway-{}-{number}.{end}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("a file for the configuration");
    path
}

/// The platform's JSON configuration file for a gateway.
pub fn configuration(discovery: SocketAddr, setup: &Setup) -> String {
    let more: Vec<String> = setup.fallbacks.iter().map(|a| format!("\"{a}\"")).collect();
    let changed = setup.changed.iter().fold(CONFIG.to_string(), |text, (from, to)| {
        assert!(text.contains(from), "the configuration contains {from:?}");
        text.replace(from, to)
    });
    changed
        .replace("DISCOVERY", &discovery.to_string())
        .replace("MODE", if setup.subscribe { "subscribe" } else { "automatic" })
        .replace("MORE", &more.join(","))
        .replace("LOG", setup.log.unwrap_or("{}"))
        .replace("POOL", setup.pool.unwrap_or("{}"))
        .replace("KNOWN", setup.known.as_deref().unwrap_or("null"))
        .replace("SOCKETS", &setup.sockets.to_string())
        .replace("CONNECT", &(setup.connect_ms * 1_000_000).to_string())
        .replace("KEEPALIVE", &(setup.keepalive_ms * 1_000_000).to_string())
}

impl Gateway {
    /// Starts a gateway with default settings, and waits until it has applied the first list.
    pub fn start(discovery: &Discovery) -> Self {
        let gateway = Gateway::with(discovery, Setup::default());
        // The second call waits for changes, so the response to the first one has been applied.
        discovery.wait_for_calls(2);
        gateway
    }

    /// Starts a gateway with a scripted discovery.
    pub fn with(discovery: &Discovery, setup: Setup) -> Self {
        Gateway::at(discovery.address, setup)
    }

    /// Starts a gateway with discovery at an address, and waits until it logs its own addresses.
    pub fn at(discovery: SocketAddr, setup: Setup) -> Self {
        let text = configuration(discovery, &setup);
        let config = match &setup.toml {
            None => config_file(&text),
            Some(toml) => file("toml", &toml.replace("DISCOVERY", &discovery.to_string())),
        };
        let program = program("sprucehatch-gateway");
        let mut command = match setup.ulimit {
            None if setup.inherited.is_some() => {
                let mut shell = Command::new("/bin/sh");
                shell.args(["-c", "exec \"$0\" 4<&0 </dev/null"]).arg(program).env("LB_INHERITED_FD", "4");
                shell
            }
            None => Command::new(program),
            Some(n) => {
                let mut shell = Command::new("/bin/sh");
                shell.args(["-c", &format!("ulimit -n {n}; exec \"$0\"")]).arg(program);
                shell
            }
        };
        command.env_remove("LB_LISTEN").env_remove("LB_OPS").env_remove("LB_DISCOVERY");
        if setup.toml.is_some() {
            command.env_remove("LB_CONFIG").arg("--config").arg(&config);
        } else {
            command.env("LB_CONFIG", &config).env("LB_DISCOVERY", discovery.to_string());
        }
        if let Some(address) = setup.listen {
            command.env("LB_LISTEN", address.to_string());
        }
        if let Some(listener) = &setup.inherited {
            let held = listener.try_clone().expect("a second handle");
            command.stdin(std::os::fd::OwnedFd::from(held));
        } else {
            command.env_remove("LB_INHERITED_FD");
        }
        match &setup.folder {
            Some(folder) => command.env("TMPDIR", folder),
            None => command.env_remove("TMPDIR"),
        };
        if setup.ops {
            command.env("LB_OPS", "127.0.0.1:0");
        }
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the gateway starts");
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let (line, lines) = channel();
        // Created before anything can panic, so that the process is killed on drop.
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut gateway = Gateway { child, address: any, ops: None, log: lines, unread: None, config };
        gateway.address = read_logged_address(&mut log, "listening on ");
        gateway.ops = setup.ops.then(|| read_logged_address(&mut log, "operators call at "));
        if setup.unread {
            gateway.unread = Some(log);
        } else {
            // The log is read to its end even if the test does not use it, so that no line is lost.
            thread::spawn(move || log.lines().map_while(Result::ok).for_each(|l| drop(line.send(l))));
        }
        gateway
    }

    /// Waits for a line of the log that contains this text.
    pub fn wait_for_log_line(&self, text: &str) -> String {
        loop {
            let line = self.log.recv_timeout(LIMIT).expect("a line of the log");
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Closes the reading end of the log.
    pub fn close_log(&mut self) {
        self.unread = None;
    }

    /// The text of the configuration file.
    pub fn configuration(&self) -> String {
        std::fs::read_to_string(&self.config).expect("the file is there")
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reconfigure(&self, text: &str) {
        std::fs::write(&self.config, text).expect("a file for the configuration");
        self.signal("-HUP");
    }

    /// Opens a new client connection.
    pub fn client(&self) -> Client {
        Client::to(self.address)
    }

    /// The operators' address; the setup must have asked for one.
    pub fn operators(&self) -> SocketAddr {
        self.ops.expect("the setup asks for it")
    }

    /// Opens a new connection to the operators' address.
    pub fn operator(&self) -> Client {
        Client::to(self.operators())
    }

    /// Makes one call at the operators' address.
    pub fn call(&self, method: &str, path: &str) -> Message {
        self.operator().ask(&format!("{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n"))
    }

    /// The number at a JSON pointer in the metrics.
    pub fn figure(&self, path: &str) -> u64 {
        let answer = self.call("GET", "/-/metrics");
        assert_eq!(answer.status(), 200);
        let json: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
        json.pointer(path).and_then(serde_json::Value::as_u64).unwrap_or_else(|| panic!("{path} in {json}"))
    }

    /// Sends a signal to the process; `name` is an option of `kill`, such as `-HUP`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// A client connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to an address; reads time out after [`LIMIT`].
    pub fn to(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the gateway accepts");
        stream.set_read_timeout(Some(LIMIT)).expect("a limit");
        let reader = BufReader::new(stream.try_clone().expect("a second handle"));
        Client { stream, reader }
    }

    /// Sends raw text.
    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("the gateway reads");
    }

    /// Reads the next response.
    pub fn answer(&mut self) -> Message {
        read(&mut self.reader, 0).expect("a whole answer")
    }

    /// Sends raw text and reads the response.
    pub fn ask(&mut self, text: &str) -> Message {
        self.send(text);
        self.answer()
    }

    /// Whether the gateway closes the connection without sending another byte.
    pub fn closed(&mut self) -> bool {
        matches!(self.reader.read(&mut [0]), Ok(0))
    }
}

/// A request of one of the configured classes.
pub struct Ask {
    pub class: &'static str,
    pub id: String,
    pub plan: &'static str,
    pub timeout: &'static str,
}

/// A request of a class, under a new id.
pub fn ask(class: &'static str) -> Ask {
    let id = format!("{:016x}", NEXT_NUMBER.fetch_add(1, Ordering::Relaxed));
    Ask { class, id, plan: "basic", timeout: "2.0" }
}

impl Ask {
    /// The same request under a new id.
    pub fn again(&self) -> Ask {
        Ask { id: ask(self.class).id, ..*self }
    }

    /// The request as HTTP/1.1 text.
    pub fn text(&self) -> String {
        let Ask { class, id, plan, timeout } = self;
        let (method, rest) = match *class {
            "quote" => ("GET", "\r\n".to_string()),
            "confirm" => ("POST", "Idempotency-Key: k-1\r\nContent-Length: 5\r\n\r\nhello".to_string()),
            _ => ("POST", "Content-Length: 5\r\n\r\nhello".to_string()),
        };
        format!(
            "{method} /api?x=1 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
             Plan: {plan}\r\nAccount: 00000000b4d65521\r\nRequest-Timeout: {timeout}\r\n\
             Quota-Info: units=1,spread=1,first=0\r\n{rest}"
        )
    }
}
