//! What is played: the fleet, its servers, the network, the clients and the faults, as a TOML file says it. Times are in
//! seconds or milliseconds, as their names say.

use crate::link::Link;
use crate::server::Build;
use granitehub::{Class, Effect, Group, Plan, Settings, Time};
use rand::seq::SliceRandom;
use rand::Rng;
use rand_distr::{Distribution, Exp1};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use shell::config::{self, Form, Wrong};
use std::path::Path;

pub const SECOND: f64 = 1e9;
pub const MS: f64 = 1e6;

pub fn ns(value: f64, unit: f64) -> Time {
    (value * unit) as Time
}

/// A scenario.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Scenario {
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// What it is to show.
    pub claim: String,
    /// How long it goes, and how much of its start is not counted.
    #[schemars(range(min = 0.1, max = 86_400.0))]
    pub seconds: f64,
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 86_400.0))]
    pub uncounted_s: f64,
    /// The names of the zones.
    #[schemars(length(min = 1, max = 32))]
    pub zones: Vec<String>,
    pub gateways: Gateways,
    pub servers: Servers,
    #[serde(default)]
    pub network: Network,
    #[serde(default)]
    pub list: List,
    #[schemars(length(min = 1, max = 32))]
    pub classes: Vec<Kind>,
    #[schemars(length(min = 1, max = 32))]
    pub plans: Vec<Tariff>,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Gateways {
    #[schemars(range(min = 1, max = 2000))]
    pub count: u32,
    /// How many of them are in each zone, as weights; evenly without it.
    #[serde(default)]
    #[schemars(length(max = 32))]
    pub weights: Vec<u32>,
    /// The least time between two rounds of decisions.
    #[serde(default = "tick")]
    #[schemars(range(min = 0.01, max = 1000.0))]
    pub tick_ms: f64,
    /// The most attempts of one request.
    #[serde(default = "tries")]
    #[schemars(range(min = 1, max = 5))]
    pub tries: u32,
}

fn tick() -> f64 {
    2.0
}

fn tries() -> u32 {
    3
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Servers {
    #[schemars(range(min = 1, max = 2000))]
    pub count: u32,
    /// Requests that a server works on at once.
    #[schemars(range(min = 1, max = 256))]
    pub cores: u32,
    /// Requests that may wait there; what comes beyond is turned away.
    #[serde(default = "waiting")]
    #[schemars(range(max = 100_000))]
    pub waiting: u32,
    /// How long a start takes to be warm, and the part of its capacity that it begins with.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub cold_s: f64,
    #[serde(default = "one")]
    #[schemars(range(min = 0.01, max = 1.0))]
    pub cold_from: f64,
    /// A cold server that is sent more than this multiple of its capacity over so long falls over.
    #[serde(default = "multiple")]
    #[schemars(range(min = 1.0, max = 1000.0))]
    pub fall_multiple: f64,
    #[serde(default = "fall")]
    #[schemars(range(min = 0.01, max = 3600.0))]
    pub fall_s: f64,
    /// Work of a new connection.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1000.0))]
    pub handshake_ms: f64,
    /// Connections that a server holds; what comes on more is turned away. 0 for as many as come. With processes.
    #[serde(default)]
    #[schemars(range(max = 100_000))]
    pub connections: u32,
    /// How long a connection may idle.
    #[serde(default = "idle")]
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub idle_s: f64,
}

fn waiting() -> u32 {
    64
}

fn one() -> f64 {
    1.0
}

fn multiple() -> f64 {
    3.0
}

fn fall() -> f64 {
    1.5
}

fn idle() -> f64 {
    15.0
}

/// One way, in milliseconds, within a zone and between two; and how late changes of the list are told, at most.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Network {
    #[schemars(range(min = 0.0, max = 10_000.0))]
    pub near_ms: f64,
    #[schemars(range(min = 0.0, max = 10_000.0))]
    pub far_ms: f64,
    #[schemars(range(min = 0.0, max = 600_000.0))]
    pub list_ms: f64,
    /// What an attempt that crosses zones costs, as a share of a first one.
    #[schemars(range(min = 0.0, max = 1000.0))]
    pub crossing_price: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network { near_ms: 0.3, far_ms: 1.0, list_ms: 200.0, crossing_price: 0.0 }
    }
}

/// Where gateways read the list of servers, with processes; the lab tells each gateway by itself.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct List {
    /// Whether it is the real registry, in place of a stand-in.
    pub registry: bool,
    /// Calls a second that are answered; 0 for as many as come.
    #[schemars(range(min = 0.0, max = 1e6))]
    pub capacity: f64,
    /// A call that would wait longer than this is turned away by a stand-in.
    #[schemars(range(min = 0.0, max = 3600.0))]
    pub line_s: f64,
    /// Whether a stand-in tells those that it turns away when to call again.
    pub hint: bool,
    /// Whether gateways start with the list as it was when the play began.
    pub known: bool,
    /// Whether the play, its clients too, begins with the start of all gateways; else once all are ready.
    pub together: bool,
}

impl Default for List {
    fn default() -> Self {
        List { registry: false, capacity: 0.0, line_s: 1.0, hint: false, known: false, together: false }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Spread {
    Fixed,
    Exponential,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Runs {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Repeats {
    All,
    Zone,
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Kind {
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// Its part of the requests, as a weight.
    #[serde(default = "one")]
    #[schemars(range(min = 0.0, max = 1e6))]
    pub share: f64,
    /// The mean work of a request on a warm core.
    #[schemars(range(min = 0.001, max = 600_000.0))]
    pub work_ms: f64,
    #[serde(default = "exponential")]
    pub spread: Spread,
    #[schemars(range(min = 1.0, max = 600_000.0))]
    pub aim_ms: f64,
    #[schemars(range(min = 1.0, max = 600_000.0))]
    pub deadline_ms: f64,
    #[serde(default = "safe")]
    pub effect: Runs,
    /// Which servers drop the repeats of a key, and for how long.
    #[serde(default = "all")]
    pub group: Repeats,
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 600_000.0))]
    pub key_ms: f64,
    #[serde(default = "one")]
    #[schemars(range(min = 0.0, max = 1e6))]
    pub points: f64,
}

impl Kind {
    /// The work of one request on a warm core.
    pub fn work(&self, rng: &mut impl Rng) -> Time {
        let draw: f64 = match self.spread {
            Spread::Fixed => 1.0,
            Spread::Exponential => Exp1.sample(rng),
        };
        ns(self.work_ms * draw, MS).max(1)
    }
}

fn exponential() -> Spread {
    Spread::Exponential
}

fn safe() -> Runs {
    Runs::Safe
}

fn all() -> Repeats {
    Repeats::All
}

/// A plan and its customers.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Tariff {
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    #[schemars(range(min = 1, max = 1_000_000))]
    pub customers: u32,
    /// Requests a second of each customer, one unit each.
    #[schemars(range(min = 0.0, max = 1e6))]
    pub demand: f64,
    /// Units a second of its quota, and the most that it holds; a rate of 0 means no quota.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub rate: f64,
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub depth: f64,
    /// The same of its ceiling.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub ceiling_rate: f64,
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1e9))]
    pub ceiling_burst: f64,
    #[serde(default = "one")]
    #[schemars(range(min = 0.0, max = 1e6))]
    pub worth: f64,
    /// The gateways that a customer's requests come through.
    #[serde(default = "few")]
    #[schemars(range(min = 1, max = 2000))]
    pub spread: u32,
}

fn few() -> u32 {
    3
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Clients {
    /// How often a client asks again after a refusal or failure, and how long it waits before, on average.
    #[schemars(range(max = 100))]
    pub repeats: u32,
    #[schemars(range(min = 1.0, max = 600_000.0))]
    pub pause_ms: f64,
    /// The part that waits as long as it is advised to.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub heeds: f64,
    /// The part that leaves before its time is over.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub leaves: f64,
}

impl Clients {
    /// After how long one that was not served asks again: never if it has asked often enough.
    pub fn returns(&self, repeats: u32, advice: Time, rng: &mut impl Rng) -> Option<Time> {
        if repeats >= self.repeats {
            return None;
        }
        let gap: f64 = Exp1.sample(rng);
        let after = ns(self.pause_ms * gap, MS);
        let heeds = advice > 0 && rng.random::<f64>() < self.heeds;
        Some(if heeds { after.max(advice) } else { after }.max(1))
    }
}

impl Default for Clients {
    fn default() -> Self {
        Clients { repeats: 1, pause_ms: 500.0, heeds: 0.5, leaves: 0.0 }
    }
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// Servers die at once and start again, cold, at the end.
    Kill,
    /// Servers say nothing until the end.
    Silent,
    /// Servers take `factor` times as long.
    Slow,
    /// Servers fail requests with the chance `factor`.
    Fail,
    /// Servers turn all away at once.
    Refuse,
    /// Servers are drained, and each is started again in turn, over the whole time.
    Release,
    /// What is said over the link does not arrive, and goes on when the fault ends; new connections do not come up. With
    /// a zone in place of a link: the zone's gateways and servers, and those of other zones, do not reach each other.
    Cut,
    /// Connections over the link are reset, new ones too.
    Reset,
    /// What is said over the link takes `factor` milliseconds longer.
    Delay,
    /// The share of the gateways is killed and starts again from nothing after half a second.
    Restart,
    /// The share of the gateways is restarted one after the other, over the whole time: with SIGTERM, where there are
    /// processes.
    Rolling,
    /// The share of the gateways stands still: with SIGSTOP, where there are processes.
    Pause,
    /// The share of the gateways gets SIGHUP, where there are processes.
    Hangup,
    /// Changes of the list are told at the end.
    ListDown,
    /// Customers ask `factor` times as much.
    Flood,
    /// The meter tells nothing.
    MeterDown,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Fault {
    pub kind: Trouble,
    #[schemars(range(min = 0.0, max = 86_400.0))]
    pub at_s: f64,
    #[serde(default = "one")]
    #[schemars(range(min = 0.0, max = 86_400.0))]
    pub for_s: f64,
    /// The link that it strikes, as `zone a except n3 -> zone b`: see [`crate::link`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(length(max = 1000))]
    pub link: Option<String>,
    /// The zone that it strikes; all without it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// The part of the zone, or of all, that it strikes.
    #[serde(default = "one")]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub share: f64,
    #[serde(default = "one")]
    #[schemars(range(min = 0.0, max = 1000.0))]
    pub factor: f64,
}

impl Fault {
    /// The link that it strikes, if it strikes one.
    pub fn link(&self, scenario: &Scenario) -> Option<Result<Link, String>> {
        let words = match (&self.link, &self.zone) {
            (Some(words), _) => words.clone(),
            (None, Some(zone)) => format!("zone {zone} <-> servers, gateways except zone {zone}"),
            (None, None) => return None,
        };
        Some(Link::parse(&words, scenario))
    }
}

impl Scenario {
    /// A gateway's zone, by the weights: the zones take turns until each has its part.
    pub fn zone_of_gateway(&self, gateway: usize) -> usize {
        let (weights, zones) = (&self.gateways.weights, self.zones.len());
        if weights.is_empty() {
            return gateway % zones;
        }
        let all: u64 = weights.iter().map(|w| u64::from(*w)).sum();
        let mut place = gateway as u64 % all;
        for (zone, weight) in weights.iter().enumerate() {
            match place.checked_sub(u64::from(*weight)) {
                Some(rest) => place = rest,
                None => return zone,
            }
        }
        0
    }

    /// A class, by the classes' shares; `draw` is from 0 to 1.
    pub fn class(&self, draw: f64) -> usize {
        let mut left = draw * self.classes.iter().map(|c| c.share).sum::<f64>();
        for (n, class) in self.classes.iter().enumerate() {
            left -= class.share;
            if left < 0.0 {
                return n;
            }
        }
        self.classes.len() - 1
    }

    /// Those that a fault strikes, in a random order: gateways, or servers.
    pub fn strikes(&self, fault: &Fault, rng: &mut impl Rng) -> Vec<usize> {
        let zone = fault.zone.as_ref().and_then(|z| self.zones.iter().position(|name| name == z));
        let (count, of): (u32, fn(&Self, usize) -> usize) = match fault.kind {
            Trouble::Restart | Trouble::Rolling | Trouble::Pause | Trouble::Hangup => {
                (self.gateways.count, Self::zone_of_gateway)
            }
            _ => (self.servers.count, Self::zone_of_server),
        };
        let mut all: Vec<usize> =
            (0..count as usize).filter(|n| zone.is_none_or(|zone| of(self, *n) == zone)).collect();
        all.shuffle(rng);
        all.truncate((all.len() as f64 * fault.share).round() as usize);
        all
    }

    /// The first seconds, and the time between two changes of what is wrong: a name, the first second and the one after it.
    pub fn phases(&self) -> Vec<(String, usize, usize)> {
        let mut ends: Vec<usize> = vec![5, self.seconds.ceil() as usize];
        for fault in &self.faults {
            ends.extend([fault.at_s, fault.at_s + fault.for_s].map(|at| at.round() as usize));
            // What a fault leaves behind shows soon after it.
            ends.push((fault.at_s + fault.for_s).round() as usize + 4);
        }
        ends.retain(|end| *end <= self.seconds.ceil() as usize);
        ends.sort_unstable();
        ends.dedup();
        let begins = [0].into_iter().chain(ends.iter().copied());
        let spans = begins.zip(&ends).filter(|(from, to)| from < to);
        spans.map(|(a, b)| (format!("{a} to {b} s"), a, *b)).collect()
    }

    /// When the last fault ends, in seconds.
    pub fn last_fault(&self) -> Option<f64> {
        self.faults.iter().map(|f| f.at_s + f.for_s).reduce(f64::max)
    }

    pub fn zone_of_server(&self, server: usize) -> usize {
        server % self.zones.len()
    }

    pub fn cell_of_server(&self, server: usize) -> u32 {
        (server / self.zones.len() / 4) as u32
    }

    /// The first of the gateways that a customer's requests come through.
    pub fn first_gateway(&self, customer: u32) -> usize {
        (customer as usize).wrapping_mul(7919) % self.gateways.count as usize
    }

    /// The servers' figures, for their models.
    pub fn build(&self) -> Build {
        let s = &self.servers;
        Build {
            cores: s.cores,
            waiting: s.waiting,
            cold: ns(s.cold_s, SECOND),
            cold_from: s.cold_from,
            fall: ns(s.fall_s, SECOND),
            fall_multiple: s.fall_multiple,
        }
    }

    pub fn load(path: &Path) -> Result<Self, Wrong> {
        let text = config::read(path)?;
        Self::parse(&text).map_err(|wrong| wrong.of(path))
    }

    /// Reads and checks a scenario; all that is wrong with it is told.
    pub fn parse(text: &[u8]) -> Result<Self, Wrong> {
        Self::from_value(Form::Toml.parse(text)?)
    }

    /// As [`Scenario::parse`], of what a text says.
    pub fn from_value(value: Value) -> Result<Self, Wrong> {
        let scenario = config::from_value::<Scenario>(value)?.read;
        let mut wrong = Vec::new();
        for (n, fault) in scenario.faults.iter().enumerate() {
            if let Some(zone) = fault.zone.as_ref().filter(|zone| !scenario.zones.contains(zone)) {
                let zones = scenario.zones.join(", ");
                wrong.push(format!("faults[{n}].zone is {zone:?}: a zone is wanted, of {zones}"));
            }
            if fault.link.is_some() && fault.zone.is_some() {
                wrong.push(format!("faults[{n}].link stands beside zone: one of them is wanted"));
            }
            let links = matches!(fault.kind, Trouble::Cut | Trouble::Reset | Trouble::Delay);
            match fault.link(&scenario) {
                Some(Err(what)) => wrong.push(format!("faults[{n}].link: {what}")),
                None if links => {
                    wrong.push(format!("faults[{n}].link is missing: a cut has a link, or a zone"));
                }
                Some(Ok(_)) if !links && fault.link.is_some() => {
                    wrong.push(format!("faults[{n}].link: {:?} strikes no link", fault.kind));
                }
                _ => {}
            }
        }
        let mut names = scenario.zones.clone();
        names.sort();
        names.dedup();
        if names.len() < scenario.zones.len() {
            wrong.push(format!("zones is {:?}: each name once is wanted", scenario.zones));
        }
        let weights = &scenario.gateways.weights;
        if !weights.is_empty() && (weights.len() != scenario.zones.len() || weights.iter().all(|w| *w == 0)) {
            let zones = scenario.zones.len();
            wrong.push(format!("gateways.weights is {weights:?}: {zones} are wanted, not all 0"));
        }
        for (n, plan) in scenario.plans.iter().enumerate() {
            if plan.spread > scenario.gateways.count {
                let count = scenario.gateways.count;
                wrong.push(format!(
                    "plans[{n}].spread is {}: {count} at most, as there are gateways",
                    plan.spread
                ));
            }
        }
        if scenario.classes.iter().map(|c| c.share).sum::<f64>() <= 0.0 {
            wrong.push("classes: a share above 0 is wanted".to_string());
        }
        if scenario.uncounted_s >= scenario.seconds {
            let seconds = scenario.seconds;
            wrong.push(format!(
                "uncounted_s is {}: less than seconds, {seconds}, is wanted",
                scenario.uncounted_s
            ));
        }
        if wrong.is_empty() {
            Ok(scenario)
        } else {
            Err(Wrong(wrong))
        }
    }

    /// The scenario as a file that is read again as it is.
    pub fn text(&self) -> String {
        // Names, numbers and lists are always worded.
        toml::to_string(self).unwrap_or_default()
    }

    /// What the scenario's gateway with this number is told at its start.
    pub fn settings(&self, me: u32, zone: u32) -> Settings {
        let classes = self.classes.iter().map(|k| Class {
            name: k.name.clone(),
            aim: ns(k.aim_ms, MS),
            deadline: ns(k.deadline_ms, MS),
            effect: match k.effect {
                Runs::Safe => Effect::Safe,
                Runs::Keyed => Effect::Keyed,
                Runs::Unsafe => Effect::Unsafe,
            },
            group: match k.group {
                Repeats::All => Group::All,
                Repeats::Zone => Group::Zone,
                Repeats::Cell => Group::Cell,
            },
            key_ttl: ns(k.key_ms, MS),
            late_worth: 0.0,
            points: k.points,
            stream: false,
        });
        let plans = self.plans.iter().map(|t| Plan {
            ceiling_rate: t.ceiling_rate,
            ceiling_burst: t.ceiling_burst,
            value_factor: t.worth,
            ..Plan::new(&t.name, t.rate, t.depth)
        });
        Settings {
            zone,
            me,
            gateways: self.gateways.count,
            classes: classes.collect(),
            plans: plans.collect(),
            cancelling: true,
            retry_after: true,
            max_retry_after: ns(2.0, SECOND),
            try_limit: self.gateways.tries,
            meter_period: METER,
            cold: ns(self.servers.cold_s, SECOND),
            cold_from: self.servers.cold_from,
            fall: ns(self.servers.fall_s, SECOND),
            fall_multiple: self.servers.fall_multiple,
            answer_slack: SLACK,
            cross_zone_price: self.network.crossing_price,
            tick: ns(self.gateways.tick_ms, MS),
            kept: ns(self.servers.idle_s, SECOND),
            ..Settings::default()
        }
    }
}

/// When a play begins, as Unix time: any time that is not 0, which means long ago.
pub const START: Time = 1_000_000 * 1_000_000_000;
/// How often the meter tells.
pub const METER: Time = 500_000_000;
/// How long past its deadline a request may have its final answer.
pub const SLACK: Time = 8_000_000;
/// How long after it was told draining or gone a server may be sent to.
pub const GRACE: Time = 500_000_000;
