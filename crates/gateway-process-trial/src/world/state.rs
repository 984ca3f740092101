//! The state of a gateway process and of a client request.

use crate::client::IdleConnections;
use crate::process::Program;
use gateway_decisions::Time;
use gateway_simulation::customer::ClientRequest;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;

/// One gateway: its process, and its place in the rotation.
#[derive(Default)]
pub struct GatewayProcess {
    pub program: RefCell<Option<Program>>,
    /// The clients' idle connections to the gateway.
    pub idle: IdleConnections,
    /// Whether clients are sent to the gateway.
    pub in_rotation: Cell<bool>,
    /// The gateway is paused until this time.
    pub paused_until: Cell<Time>,
    /// How many times the gateway has been started.
    pub incarnation: Cell<u32>,
    /// The `boot_ms` of each server that the gateway was told of.
    pub known_starts: RefCell<HashMap<usize, u64>>,
}

/// A client's request, kept as long as attempts of it may arrive.
pub struct OpenRequest {
    pub asked: ClientRequest,
    pub gateway: usize,
    /// The work of one attempt.
    pub work: Time,
    /// Whether no attempt has reached a server yet.
    pub unattempted: bool,
    /// Whether the request was within the quota when its first attempt reached a server.
    pub within_quota: bool,
    /// Whether the request counts in the results.
    pub counted: bool,
    /// Whether the client has received an answer or stopped waiting.
    pub ended: bool,
}
