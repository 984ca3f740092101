//! The thread that reads the platform's list of instances.
//!
//! The list shows which workers are draining, and the leader must notice that within `DrainMs`, because
//! nothing more may be started on such a worker. Requests for the list must therefore not queue behind calls
//! to thousands of workers; they have their own thread, runtime and connection.

use super::error::{PlatformError, MAX_PAGES, PAGE_TIMEOUT};
use super::pages::{ListPages, ListRead, ReadId};
use super::rate_limiter::PageRateLimiter;
use crate::clock::Clock;
use crate::events::DriverEvent;
use crate::http::{CallError, HttpConnection};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::io;
use std::net::SocketAddrV4;
use std::thread;
use tokio::runtime::Builder;
use tokio::select;
use tokio::sync::mpsc::{Sender, UnboundedReceiver};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// The only supported kind of discovery.
pub const CLOUD_API: &str = "cloud_api";

/// A command to the thread. Each command cancels the read before it.
#[derive(Debug)]
pub(super) enum Command {
    /// Read the complete list.
    Read(ReadRequest),
    /// Stop reading and discard the last list.
    Stop,
}

/// A read of the complete list.
#[derive(Debug)]
pub(super) struct ReadRequest {
    /// Identifies the events of this read.
    pub(super) id: ReadId,
    /// The source of the list, as named in the settings.
    pub(super) discovery: String,
    /// The platform's address.
    pub(super) address: Option<SocketAddrV4>,
    /// Limits the rate of page requests.
    pub(super) rate_limiter: PageRateLimiter,
}

/// The state of the thread.
struct Reader {
    clock: Clock,
    events: Sender<DriverEvent>,
    last_list: ListPages,
    connection: Option<(SocketAddrV4, HttpConnection)>,
}

/// The driver has ended.
struct Disconnected;

/// Starts the thread, which ends once all senders of `commands` are dropped.
///
/// # Errors
///
/// Fails if the operating system cannot start a thread or the runtime cannot be created.
pub(super) fn start(
    commands: UnboundedReceiver<Command>,
    events: Sender<DriverEvent>,
    clock: Clock,
) -> io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let run = move || {
        let reader = Reader { clock, events, last_list: ListPages::default(), connection: None };
        LocalSet::new().block_on(&runtime, run_commands(commands, reader));
    };
    thread::Builder::new().name("platform-reader".to_owned()).spawn(run)?;
    Ok(())
}

/// Executes commands; a new command interrupts the read in progress.
async fn run_commands(mut commands: UnboundedReceiver<Command>, mut reader: Reader) {
    let mut next = commands.recv().await;
    while let Some(command) = next {
        next = match command {
            Command::Stop => {
                reader.last_list = ListPages::default();
                commands.recv().await
            }
            Command::Read(request) => select! {
                biased;
                command = commands.recv() => command,
                () = reader.read(request) => commands.recv().await,
            },
        };
    }
}

impl Reader {
    /// Reads the list and sends each page as it arrives, or the error that ends the read.
    async fn read(&mut self, request: ReadRequest) {
        let mut list_read = self.last_list.start_read();
        match self.read_pages(&request, &mut list_read).await {
            Ok(Ok(())) => self.last_list = list_read.into_pages(),
            Ok(Err(Disconnected)) => {}
            Err(error) => {
                let _ =
                    self.events.send(DriverEvent::Instances { read: request.id, result: Err(error) }).await;
            }
        }
    }

    async fn read_pages(
        &mut self,
        request: &ReadRequest,
        list_read: &mut ListRead,
    ) -> Result<Result<(), Disconnected>, PlatformError> {
        let Some(address) = request.address.filter(|_| request.discovery == CLOUD_API) else {
            return Err(PlatformError::Discovery(request.discovery.clone()));
        };
        for number in 0..MAX_PAGES {
            let delay = request.rate_limiter.delay_before(number);
            if !delay.is_zero() {
                sleep(delay).await;
            }
            let requested_at = self.clock.now();
            let body = self.read_page(address, list_read.next_token());
            let body = timeout(PAGE_TIMEOUT, body).await.map_err(|_| PlatformError::Timeout)??;
            let page = list_read.add_page(body, requested_at)?;
            let is_last = page.complete_list.is_some();
            let event = DriverEvent::Instances { read: request.id, result: Ok(page) };
            if self.events.send(event).await.is_err() {
                return Ok(Err(Disconnected));
            }
            if is_last {
                return Ok(Ok(()));
            }
        }
        Err(PlatformError::TooManyPages)
    }

    async fn read_page(
        &mut self,
        address: SocketAddrV4,
        token: Option<&str>,
    ) -> Result<Bytes, PlatformError> {
        let answer = loop {
            let idle = self.connection.take().filter(|(at, idle)| *at == address && idle.is_usable());
            let is_reused = idle.is_some();
            let mut connection = match idle {
                Some((_, connection)) => connection,
                None => HttpConnection::open(address.into()).await?,
            };
            match connection.call(page_request(address, token)?).await {
                Ok(answer) => {
                    self.connection = Some((address, connection));
                    break answer;
                }
                Err(CallError::NotSent | CallError::ConnectionLost(_)) if is_reused => {}
                Err(error) => return Err(error.into()),
            }
        };
        if answer.status != StatusCode::OK {
            return Err(PlatformError::Status(answer.status));
        }
        Ok(answer.body)
    }
}

fn page_request(address: SocketAddrV4, token: Option<&str>) -> Result<Request<Full<Bytes>>, CallError> {
    let mut path = String::from("/instances");
    if let Some(token) = token {
        path.push_str("?PageToken=");
        push_query_value(&mut path, token);
    }
    let request = Request::get(path).header(HOST, address.to_string());
    Ok(request.body(Full::new(Bytes::new()))?)
}

/// Appends a query value. All bytes except unreserved characters are percent-encoded (RFC 3986, section 2.3).
fn push_query_value(path: &mut String, value: &str) {
    for byte in value.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            path.push(char::from(byte));
        } else {
            path.push_str(&format!("%{byte:02X}"));
        }
    }
}
