//! A gateway's process, and a client's request.

use crate::client::IdleConnections;
use crate::process::Program;
use gateway_decisions::Time;
use gateway_simulation::customer::ClientRequest;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;

/// One gateway: its process and what the front knows of it.
#[derive(Default)]
pub struct GatewayProcess {
    pub program: RefCell<Option<Program>>,
    pub idle: IdleConnections,
    /// The front sends clients there.
    pub taken_in: Cell<bool>,
    /// It stands still until then.
    pub paused_until: Cell<Time>,
    /// Its starts so far.
    pub life: Cell<u32>,
    /// The start of each server that it was told of.
    pub told: RefCell<HashMap<usize, u64>>,
}

/// A request as long as it may matter.
pub struct OpenRequest {
    pub asked: ClientRequest,
    pub gateway: usize,
    pub work: Time,
    pub first: bool,
    pub within: bool,
    pub counted: bool,
    pub ended: bool,
}
