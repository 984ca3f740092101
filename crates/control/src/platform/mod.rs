//! Client of the platform: reads its list of instances.

pub mod error;
pub mod pages;
pub mod rate_limiter;
mod reader;

pub use error::PlatformError;
pub use pages::{ListedPage, ReadId};
pub use reader::CLOUD_API;

use crate::clock::Clock;
use crate::events::DriverEvent;
use rate_limiter::PageRateLimiter;
use reader::{Command, ReadRequest};
use std::net::SocketAddrV4;
use tokio::sync::mpsc::{unbounded_channel, Sender, UnboundedSender};

/// Reads the list of instances on request, one read at a time.
///
/// A read sends one event per page, as soon as the page arrives, and ends with the last page or an error. A
/// read is cancelled by the next read, by `stop`, and by dropping the client. Events of a cancelled read may
/// still arrive; `is_current` identifies them.
pub struct PlatformClient {
    address: Option<SocketAddrV4>,
    discovery: String,
    rate_limiter: PageRateLimiter,
    newest_read: ReadId,
    is_reading: bool,
    /// Command channel of the reader thread; the first read starts that thread.
    commands: Option<UnboundedSender<Command>>,
    events: Sender<DriverEvent>,
    clock: Clock,
}

impl PlatformClient {
    /// Creates a client of the platform at `address`.
    pub fn new(
        discovery: &str,
        address: Option<SocketAddrV4>,
        events: Sender<DriverEvent>,
        clock: Clock,
    ) -> Self {
        PlatformClient {
            address,
            discovery: discovery.to_owned(),
            rate_limiter: PageRateLimiter::new(0.0),
            newest_read: 0,
            is_reading: false,
            commands: None,
            events,
            clock,
        }
    }

    /// Sets the source of the list, as given in the settings.
    pub fn set_source(&mut self, discovery: &str, address: Option<SocketAddrV4>) {
        discovery.clone_into(&mut self.discovery);
        self.address = address;
    }

    /// Sets the platform's rate limit in calls per second, for all callers together; 0 for no limit.
    pub fn set_rate(&mut self, rate_per_s: f64) {
        self.rate_limiter = PageRateLimiter::new(rate_per_s);
    }

    /// Starts to read the complete list, whose pages are sent as events. Cancels a read in progress.
    pub fn read(&mut self) {
        self.newest_read += 1;
        self.is_reading = true;
        let request = ReadRequest {
            id: self.newest_read,
            discovery: self.discovery.clone(),
            address: self.address,
            rate_limiter: self.rate_limiter,
        };
        self.command(Command::Read(request));
    }

    /// Cancels a read in progress and discards the last list, so that the next list is reported as changed
    /// even if it is the same.
    pub fn stop(&mut self) {
        self.is_reading = false;
        if self.commands.is_some() {
            self.command(Command::Stop);
        }
    }

    /// Whether events of this read are still needed.
    pub fn is_current(&self, read: ReadId) -> bool {
        self.is_reading && read == self.newest_read
    }

    /// Sends a command to the reader thread; starts the thread if there is none.
    fn command(&mut self, command: Command) {
        let Err(command) = self.send(command) else { return };
        let (commands, received) = unbounded_channel();
        match reader::start(received, self.events.clone(), self.clock) {
            Ok(()) => {
                let _ = commands.send(command);
                self.commands = Some(commands);
            }
            Err(error) => {
                let result = Err(PlatformError::Thread(error));
                // If the driver's queue is full, this event is lost; the leader requests the list again after
                // a while.
                let _ = self.events.try_send(DriverEvent::Instances { read: self.newest_read, result });
            }
        }
    }

    /// Sends a command to the reader thread; returns the command if there is none.
    fn send(&self, command: Command) -> Result<(), Command> {
        match &self.commands {
            Some(commands) => commands.send(command).map_err(|unsent| unsent.0),
            None => Err(command),
        }
    }
}
