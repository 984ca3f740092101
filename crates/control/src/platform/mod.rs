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

/// Reads the list on request, one read at a time.
///
/// A read sends one event for each page, when it arrives, and ends with the last page or an error; it is ended early by
/// the next read, by `stop` and by dropping the client. Events of a read that was ended early may still follow:
/// `is_current` tells them apart.
pub struct PlatformClient {
    address: Option<SocketAddrV4>,
    discovery: String,
    rate_limiter: PageRateLimiter,
    newest_read: ReadId,
    is_reading: bool,
    /// The reading thread, once the first read has started it.
    commands: Option<UnboundedSender<Command>>,
    events: Sender<DriverEvent>,
    clock: Clock,
}

impl PlatformClient {
    /// A client of the platform at `address`.
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

    /// Sets where the list is read, as the settings say.
    pub fn set_source(&mut self, discovery: &str, address: Option<SocketAddrV4>) {
        discovery.clone_into(&mut self.discovery);
        self.address = address;
    }

    /// Sets how many calls a second the platform accepts from all callers together; 0 for no limit.
    pub fn set_rate(&mut self, rate_per_s: f64) {
        self.rate_limiter = PageRateLimiter::new(rate_per_s);
    }

    /// Starts to read the complete list; its pages are sent as events. A read under way is ended.
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

    /// Ends the read under way and forgets the last list, so that the next one is sent as changed even if it is the same.
    pub fn stop(&mut self) {
        self.is_reading = false;
        if self.commands.is_some() {
            self.command(Command::Stop);
        }
    }

    /// Whether events of this read are still wanted.
    pub fn is_current(&self, read: ReadId) -> bool {
        self.is_reading && read == self.newest_read
    }

    /// Sends a command to the reading thread, and starts one if there is none.
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
                // If the driver's queue is full, the leader asks for the list again after a while.
                let _ = self.events.try_send(DriverEvent::Instances { read: self.newest_read, result });
            }
        }
    }

    /// Sends a command to the reading thread; gives it back if there is none.
    fn send(&self, command: Command) -> Result<(), Command> {
        match &self.commands {
            Some(commands) => commands.send(command).map_err(|unsent| unsent.0),
            None => Err(command),
        }
    }
}
