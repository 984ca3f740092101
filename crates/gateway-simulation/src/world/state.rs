//! What a play holds: events that are due, requests and attempts, and the state of gateways and servers.

use crate::customer::ClientRequest;
use crate::scenario::Scenario;
use crate::server::{Server, ServerParameters};
use crate::units::START_NS;
use crate::world::decider::Decider;
use gateway_decisions::{Ending, Event, Health, Name, Time, Via};

/// What is due at some time.
pub enum Due {
    /// The next request of a plan's customers.
    Arrival {
        plan: usize,
    },
    /// A client asks again.
    Again {
        asked: ClientRequest,
    },
    /// A gateway's round of decisions.
    Round {
        gateway: usize,
        life: u32,
    },
    Timer {
        gateway: usize,
        life: u32,
        token: u64,
    },
    /// An attempt comes to its server.
    Reach {
        attempt: u64,
    },
    /// A server is done with an attempt, if it is still in that life.
    Done {
        server: usize,
        life: u32,
        attempt: u64,
    },
    /// An answer, or the news that there is none, comes to the gateway.
    End {
        attempt: u64,
        ending: Ending,
        via: Via,
    },
    /// An attempt's time is over.
    Expire {
        attempt: u64,
    },
    /// A client leaves.
    Leave {
        request: u64,
    },
    /// A request's time is over.
    Over {
        request: u64,
    },
    /// A gateway is told of a server.
    Tell {
        gateway: usize,
        life: u32,
        server: usize,
        health: Health,
        started: Time,
    },
    GatewayUp {
        gateway: usize,
    },
    GatewayDown {
        gateway: usize,
    },
    ServerDown {
        server: usize,
    },
    ServerUp {
        server: usize,
    },
    Begin {
        fault: usize,
    },
    Finish {
        fault: usize,
    },
    Meter,
}

/// A request that its gateway has in hand.
pub struct HeldRequest {
    pub asked: ClientRequest,
    pub gateway: usize,
    pub at: Time,
    pub deadline: Time,
    pub ended: bool,
    pub out: Option<u64>,
    pub attempts: u32,
    /// Whether its units were within the quota; none while nothing was sent.
    pub within: Option<bool>,
    pub counted: bool,
}

/// An attempt, from its sending until nothing of it matters any more.
pub struct Attempt {
    pub request: u64,
    pub gateway: usize,
    pub life: u32,
    pub number: u32,
    pub server: usize,
    pub server_life: u32,
    pub sent: Time,
    pub fresh: bool,
    pub work: Time,
    pub over: bool,
    /// It has come to its server, and is in its hands.
    pub there: bool,
}

/// A gateway.
pub struct GatewayState {
    pub zone: usize,
    pub decider: Box<dyn Decider>,
    pub life: u32,
    pub up: bool,
    pub pending: Vec<Event>,
    pub round_at: Option<Time>,
    pub last_round: Time,
    /// It does nothing before.
    pub paused_until: Time,
    /// For each server what was told last: none before it was listed, else since when it is to get nothing new.
    pub told: Vec<Option<Option<Time>>>,
    /// The start of each server that was told last.
    pub told_start: Vec<Time>,
    /// Idle connections by server: the server's life, and since when each idles; and those in use.
    pub idle: Vec<Vec<(u32, Time)>>,
    pub used: Vec<u32>,
}

/// A server.
pub struct ServerState {
    pub model: Server,
    pub name: Name,
    pub zone: usize,
    pub cell: u32,
    pub life: u32,
    pub up: bool,
    pub silent: bool,
    pub fails: f64,
    pub health: Health,
    pub started: Time,
    /// Work since its start, and the part of it from gateways that were told of the start.
    pub work: [f64; 2],
    pub reported: bool,
}

impl GatewayState {
    /// A gateway that has just begun, with so many servers about.
    pub fn new(zone: usize, decider: Box<dyn Decider>, servers: usize) -> Self {
        GatewayState {
            zone,
            decider,
            life: 0,
            up: true,
            pending: Vec::new(),
            round_at: None,
            last_round: START_NS,
            paused_until: 0,
            told: vec![None; servers],
            told_start: vec![0; servers],
            idle: vec![Vec::new(); servers],
            used: vec![0; servers],
        }
    }
}

impl ServerState {
    /// The scenario's server with this number, warm.
    pub fn new(scenario: &Scenario, n: usize, build: ServerParameters) -> Self {
        ServerState {
            model: Server::new(build),
            name: format!("s-{n}").into(),
            zone: scenario.zone_of_server(n),
            cell: scenario.cell_of_server(n),
            life: 0,
            up: true,
            silent: false,
            fails: 0.0,
            health: Health::Up,
            started: 0,
            work: [0.0; 2],
            reported: false,
        }
    }
}
