//! The state of a play: scheduled events, open requests, attempts, gateways and servers.

use crate::customer::ClientRequest;
use crate::scenario::Scenario;
use crate::server::{Server, ServerParameters};
use crate::units::START_NS;
use crate::world::decider::Decider;
use gateway_decisions::{Ending, Event, Health, Name, Time, Via};

/// An event of the simulation that is scheduled for some time.
pub enum ScheduledEvent {
    /// The next new request of a plan's customers arrives.
    Arrival {
        plan: usize,
    },
    /// A client retries a request that was not served.
    ClientRetry {
        client_request: ClientRequest,
    },
    /// A gateway handles its pending events.
    DecisionRound {
        gateway: usize,
        incarnation: u32,
    },
    /// A timer that a gateway's decider has set.
    Timer {
        gateway: usize,
        incarnation: u32,
        token: u64,
    },
    /// An attempt arrives at its server.
    AttemptArrival {
        attempt: u64,
    },
    /// A server completes an attempt, if it is still the same incarnation.
    WorkDone {
        server: usize,
        incarnation: u32,
        attempt: u64,
    },
    /// An answer or a connection failure arrives at the gateway.
    AttemptResult {
        attempt: u64,
        ending: Ending,
        via: Via,
    },
    /// The deadline of an attempt has passed.
    AttemptExpiry {
        attempt: u64,
    },
    /// A client leaves before its request is answered.
    ClientLeaves {
        request: u64,
    },
    /// The deadline of a request, with its slack, has passed.
    RequestTimeOver {
        request: u64,
    },
    /// A gateway receives a changed server entry.
    ListUpdate {
        gateway: usize,
        incarnation: u32,
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
    FaultBegins {
        fault: usize,
    },
    FaultEnds {
        fault: usize,
    },
    /// A period of the meter ends.
    MeterPeriodEnds,
}

/// A request that a gateway has accepted, until its deadline with slack has passed.
pub struct OpenRequest {
    pub client_request: ClientRequest,
    pub gateway: usize,
    pub arrived_at: Time,
    pub deadline: Time,
    pub ended: bool,
    /// The key of the attempt in flight.
    pub in_flight: Option<u64>,
    pub attempts: u32,
    /// Whether the request was within its customer's quota; `None` until the first attempt.
    pub within_quota: Option<bool>,
    /// Whether the request arrived after the uncounted start of the play.
    pub counted: bool,
}

/// An attempt, from its sending until neither its gateway nor its server refers to it.
pub struct Attempt {
    pub request: u64,
    pub gateway: usize,
    pub incarnation: u32,
    pub number: u32,
    pub server: usize,
    pub server_incarnation: u32,
    pub sent_at: Time,
    pub new_connection: bool,
    pub work: Time,
    /// The gateway has ended the attempt; the server may still be working on it.
    pub closed: bool,
    /// Whether the server has received the attempt.
    pub reached_server: bool,
}

/// The state of a gateway.
pub struct GatewayState {
    pub zone: usize,
    pub decider: Box<dyn Decider>,
    /// Increases when the gateway is killed.
    pub incarnation: u32,
    pub up: bool,
    pub pending: Vec<Event>,
    pub next_round: Option<Time>,
    pub last_round: Time,
    /// The gateway handles no events before this time.
    pub paused_until: Time,
    /// The last announcement of each server: `None` before the server was listed, else the time since which
    /// it must get no new requests, if any.
    pub announced: Vec<Option<Option<Time>>>,
    /// The last announced start time of each server.
    pub announced_start: Vec<Time>,
    /// Idle connections by server: the server's incarnation and the time since which the connection is idle.
    pub idle: Vec<Vec<(u32, Time)>>,
    /// Connections in use, by server.
    pub busy: Vec<u32>,
}

/// The state of a server.
pub struct ServerState {
    pub model: Server,
    pub name: Name,
    pub zone: usize,
    pub cell: u32,
    /// Increases at each stop and start.
    pub incarnation: u32,
    pub up: bool,
    /// Whether nothing passes to or from the server.
    pub silent: bool,
    /// The probability that a request fails.
    pub failure_rate: f64,
    pub health: Health,
    pub started: Time,
    /// Work received since the server's start, in total and from gateways that knew of the start.
    pub work: [f64; 2],
    /// Whether the overload collapse since the server's start was counted.
    pub collapse_reported: bool,
}

impl GatewayState {
    /// Creates a gateway that has just started; `servers` is the number of servers.
    pub fn new(zone: usize, decider: Box<dyn Decider>, servers: usize) -> Self {
        GatewayState {
            zone,
            decider,
            incarnation: 0,
            up: true,
            pending: Vec::new(),
            next_round: None,
            last_round: START_NS,
            paused_until: 0,
            announced: vec![None; servers],
            announced_start: vec![0; servers],
            idle: vec![Vec::new(); servers],
            busy: vec![0; servers],
        }
    }
}

impl ServerState {
    /// Creates server `n` of the scenario, warm.
    pub fn new(scenario: &Scenario, n: usize, parameters: ServerParameters) -> Self {
        ServerState {
            model: Server::new(parameters),
            name: format!("s-{n}").into(),
            zone: scenario.zone_of_server(n),
            cell: scenario.cell_of_server(n),
            incarnation: 0,
            up: true,
            silent: false,
            failure_rate: 0.0,
            health: Health::Up,
            started: 0,
            work: [0.0; 2],
            collapse_reported: false,
        }
    }
}
