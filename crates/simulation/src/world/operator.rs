//! The operator: full configurations, concurrent changes, invalid configurations and lost acknowledgements.

use super::event::Event;
use super::network::Endpoint;
use super::World;
use crate::core_process::{CoreEvent, OperatorReply};
use crate::history::{ConfigurationOrder, ConfigurationQuery};
use crate::time::{ms, MS, SECOND};
use crate::workload::{Queue, STRETCH, TARGET_LATENCY_MS};

/// Time after which the operator stops waiting for an answer, in nanoseconds.
const REPLY_TIMEOUT_NS: u64 = SECOND;
/// Mean time between two reads of the configuration, in nanoseconds.
const QUERY_INTERVAL_NS: u64 = 400 * MS;
/// Maximum number of attempts of one change.
const MAX_ATTEMPTS: u32 = 40;
/// Maximum number of redirects followed in one attempt.
const MAX_REDIRECTS: u32 = 2;
/// Base of the exponential backoff between attempts, in nanoseconds.
const BASE_BACKOFF_NS: u64 = 100 * MS;
/// Longest backoff between attempts, in nanoseconds.
const MAX_BACKOFF_NS: u64 = SECOND;

/// Why a configuration is invalid.
#[derive(Clone, Copy, Debug)]
pub(super) enum Defect {
    Truncated,
    UnknownService,
    DuplicatePrefix,
    ZeroTimeout,
    OldVersion,
}

/// State of the operator.
#[derive(Default)]
pub(super) struct Operator {
    orders: Vec<OrderProgress>,
    exchanges: Vec<Exchange>,
    /// Newest acknowledged version, and its additional prefixes.
    version: u64,
    extra_prefixes: Vec<String>,
    next_extra: u32,
    next_version: u64,
    /// Fraction of the acknowledgements that are lost.
    pub(super) lost_share: f64,
    read_back_attempts: u32,
    /// Power loss of the machine that acknowledges next: whether its disk is lost as well, and for how long.
    pub(super) power_loss_after_acknowledgement: Option<(bool, u64)>,
}

struct OrderProgress {
    attempts: u32,
    machine: usize,
    closed: bool,
}

/// Purpose of an exchange.
#[derive(Clone, Copy, Debug)]
enum Purpose {
    /// Change the configuration.
    Order(usize),
    /// Read the configuration back at the end of the day.
    ReadBack,
    /// Read the configuration once, during the day.
    Query(usize),
}

struct Exchange {
    purpose: Purpose,
    machine: usize,
    incarnation: u32,
    redirects: u32,
    done: bool,
}

impl World {
    /// Sends the initial configuration, before all traffic.
    pub(super) fn send_first_configuration(&mut self) {
        self.operator.next_version = 1 + self.rng.u64(0..3);
        let order = self.make_order(0, Vec::new());
        self.send_order(order);
        self.queue.push(self.now + SECOND, Event::OperatorQueries);
    }

    /// Sends a change of the newest version that adds or removes a queue.
    pub(super) fn change_configuration(&mut self) {
        let base = self.operator.version;
        let extra_prefixes = self.changed_extra_prefixes();
        let order = self.make_order(base, extra_prefixes);
        self.send_order(order);
    }

    /// Sends two concurrent changes of the same version.
    pub(super) fn race_configurations(&mut self) {
        let base = self.operator.version;
        for _ in 0..2 {
            let extra_prefixes = self.changed_extra_prefixes();
            let order = self.make_order(base, extra_prefixes);
            self.send_order(order);
        }
    }

    /// Sends a configuration that must be refused.
    pub(super) fn send_bad_configuration(&mut self, pick: u64) {
        use Defect::{DuplicatePrefix, OldVersion, Truncated, UnknownService, ZeroTimeout};
        let defects = [Truncated, UnknownService, DuplicatePrefix, ZeroTimeout, OldVersion];
        let defect = defects[(pick % defects.len() as u64) as usize];
        let base = self.operator.version;
        let extra_prefixes = self.changed_extra_prefixes();
        let mut order = self.make_order(base, extra_prefixes);
        apply_defect(&mut order, defect, base);
        order.invalid = true;
        self.send_order(order);
    }

    fn changed_extra_prefixes(&mut self) -> Vec<String> {
        let mut extra_prefixes = self.operator.extra_prefixes.clone();
        if !extra_prefixes.is_empty() && self.rng.bool() {
            let dropped = self.rng.usize(0..extra_prefixes.len());
            extra_prefixes.remove(dropped);
        } else {
            self.operator.next_extra += 1;
            extra_prefixes.push(format!("/extra{}/", self.operator.next_extra));
        }
        extra_prefixes
    }

    fn make_order(&mut self, builds_on: u64, extra_prefixes: Vec<String>) -> ConfigurationOrder {
        let version = self.operator.next_version.max(builds_on + 1);
        self.operator.next_version = version + self.rng.u64(1..4);
        let prefixes: Vec<String> =
            Queue::ALL.iter().map(|queue| queue.prefix.to_owned()).chain(extra_prefixes).collect();
        let timeout = 3_000 + self.rng.u64(0..1_000);
        let body = self.configuration_text(version, &prefixes, timeout).into_bytes();
        ConfigurationOrder {
            version,
            builds_on,
            body,
            invalid: false,
            prefixes,
            sent_at: self.now,
            acknowledged_at: None,
            accepted_at: None,
            refused: Vec::new(),
            repeats: Vec::new(),
            given_up_at: None,
        }
    }

    fn configuration_text(&self, version: u64, prefixes: &[String], timeout_ms: u64) -> String {
        let route = |(position, prefix): (usize, &String)| {
            let queue = Queue::ALL.get(position).unwrap_or(&Queue::ALL[0]);
            let name =
                if position < Queue::ALL.len() { queue.route.to_owned() } else { format!("r{position}") };
            format!(
                "{{\"Name\":\"{name}\",\"Host\":\"{}\",\"PathPrefix\":\"{prefix}\",\"RouteType\":\"non_idempotent\",\
                 \"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":{TARGET_LATENCY_MS},\"Priority\":{},\"Backend\":\"{}\",\
                 \"MaxRetries\":{},\"Stretch\":{STRETCH}}}",
                super::clients::HOST,
                queue.priority,
                self.site.services[queue.service].name,
                queue.max_retries,
            )
        };
        let routes: Vec<String> = prefixes.iter().enumerate().map(route).collect();
        let service = |service: &crate::site::ServiceSite| {
            format!(
                "{{\"Name\":\"{}\",\"HealthCheck\":\"/healthz\",\"MaxConnections\":64,\"Protocol\":\"h1\",\
                 \"Tls\":false,\"Guards\":{}}}",
                service.name, service.guards
            )
        };
        let services: Vec<String> = self.site.services.iter().map(service).collect();
        format!(
            "{{\"Version\":{version},\"Routes\":[{}],\"Backends\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
             \"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
            routes.join(","),
            services.join(",")
        )
    }

    fn send_order(&mut self, order: ConfigurationOrder) {
        let position = self.operator.orders.len();
        let machine = self.any_core();
        self.history.configurations.push(order);
        self.operator.orders.push(OrderProgress { attempts: 0, machine, closed: false });
        self.operator_sends(position);
    }

    /// Picks one of the core machines that the operator knows. The machine may be down.
    fn any_core(&mut self) -> usize {
        let known: Vec<usize> = (0..self.cores.len()).filter(|machine| self.cores[*machine].exists).collect();
        known[self.rng.usize(0..known.len())]
    }

    pub(super) fn operator_sends(&mut self, order: usize) {
        let progress = &mut self.operator.orders[order];
        if progress.closed {
            return;
        }
        progress.attempts += 1;
        if progress.attempts > MAX_ATTEMPTS {
            progress.closed = true;
            self.history.configurations[order].given_up_at = Some(self.now);
            return;
        }
        let machine = progress.machine;
        self.open_exchange(Purpose::Order(order), machine, 0);
    }

    fn open_exchange(&mut self, purpose: Purpose, machine: usize, redirects: u32) {
        let exchange = self.operator.exchanges.len();
        let incarnation = self.cores[machine].incarnation;
        self.operator.exchanges.push(Exchange { purpose, machine, incarnation, redirects, done: false });
        let delay = self.delay(Endpoint::Outside, Endpoint::Core(machine));
        self.queue.push(self.now + delay, Event::OperatorArrives { exchange });
        self.queue.push(self.now + REPLY_TIMEOUT_NS, Event::OperatorGivesUp { exchange });
    }

    pub(super) fn operator_arrives(&mut self, exchange: usize) {
        let Exchange { machine, purpose, .. } = self.operator.exchanges[exchange];
        let core = &self.cores[machine];
        if core.process.is_none() {
            if core.powered {
                let delay = self.delay(Endpoint::Core(machine), Endpoint::Outside);
                self.queue.push(self.now + delay, Event::OperatorGivesUp { exchange });
            }
            return;
        }
        self.operator.exchanges[exchange].incarnation = core.incarnation;
        let call = exchange as u64;
        let event = match purpose {
            Purpose::Order(order) => {
                let change = &self.history.configurations[order];
                CoreEvent::Put { call, if_match: Some(change.builds_on), body: change.body.clone() }
            }
            Purpose::ReadBack | Purpose::Query(_) => CoreEvent::Get { call },
        };
        self.core_event_when_awake(machine, event, |_| Event::OperatorArrives { exchange });
    }

    /// Sends a core machine's answer to the operator.
    pub(super) fn answer_operator(&mut self, machine: usize, exchange: usize, reply: OperatorReply) {
        let purpose = self.operator.exchanges[exchange].purpose;
        if let (Purpose::Order(order), OperatorReply::Accepted) = (purpose, &reply) {
            let now = self.now;
            self.history.configurations[order].accepted_at.get_or_insert(now);
            self.inject_after_acknowledgement(machine);
            if self.operator.lost_share > 0.0 && self.rng.f64() < self.operator.lost_share {
                return;
            }
        }
        let at = self.now + self.delay(Endpoint::Core(machine), Endpoint::Outside);
        self.queue.push(at, Event::OperatorAnswered { exchange, reply });
    }

    pub(super) fn operator_answered(&mut self, exchange: usize, reply: OperatorReply) {
        let answered = &mut self.operator.exchanges[exchange];
        let (purpose, redirects) = (answered.purpose, answered.redirects);
        if std::mem::replace(&mut answered.done, true) {
            return;
        }
        if let OperatorReply::Redirect(machine) = reply {
            if redirects < MAX_REDIRECTS && machine < self.cores.len() {
                self.open_exchange(purpose, machine, redirects + 1);
                return;
            }
        }
        match purpose {
            Purpose::Order(order) => self.order_answered(order, &reply),
            Purpose::ReadBack => self.read_answered(reply),
            Purpose::Query(query) => self.query_answered(query, reply),
        }
    }

    fn order_answered(&mut self, order: usize, reply: &OperatorReply) {
        let now = self.now;
        let text =
            || format!("operator: version {} -> {reply:?}", self.history.configurations[order].version);
        self.trace(text);
        let change = &mut self.history.configurations[order];
        match reply {
            OperatorReply::Accepted => {
                change.acknowledged_at.get_or_insert(now);
                self.operator.orders[order].closed = true;
                if change.version > self.operator.version && !change.invalid {
                    self.operator.version = change.version;
                    self.operator.extra_prefixes = change.prefixes[Queue::ALL.len()..].to_vec();
                    self.ask_counts();
                }
            }
            OperatorReply::Conflict | OperatorReply::Invalid => {
                let status = if *reply == OperatorReply::Conflict { 412 } else { 400 };
                change.refused.push((now, status));
                self.operator.orders[order].closed = true;
            }
            _ => self.retry_elsewhere(order),
        }
    }

    /// Schedules count requests from clients on queues that may have been added or removed.
    fn ask_counts(&mut self) {
        for number in 1..=self.operator.next_extra {
            let prefix = format!("/extra{number}/");
            for after in [0, 700, 2_100, 2_600] {
                let at = self.now + ms(after) + self.rng.u64(0..ms(200));
                self.queue.push(at, Event::ClientCounts { prefix: prefix.clone() });
            }
        }
    }

    fn retry_elsewhere(&mut self, order: usize) {
        let machine = self.any_core();
        let progress = &mut self.operator.orders[order];
        progress.machine = machine;
        let pause = (BASE_BACKOFF_NS << progress.attempts.min(5)).min(MAX_BACKOFF_NS);
        self.queue.push(self.now + pause, Event::OperatorSends { order });
    }

    pub(super) fn operator_gives_up(&mut self, exchange: usize) {
        let given_up = &mut self.operator.exchanges[exchange];
        if std::mem::replace(&mut given_up.done, true) {
            return;
        }
        match given_up.purpose {
            Purpose::Order(order) => self.retry_elsewhere(order),
            Purpose::ReadBack => self.read_back_again(),
            Purpose::Query(_) => {}
        }
    }

    pub(super) fn read_back(&mut self) {
        let machine = self.any_core();
        self.open_exchange(Purpose::ReadBack, machine, 0);
    }

    /// Reads the configuration from any machine, whatever its state, and schedules the next read.
    pub(super) fn operator_queries(&mut self) {
        let machine = self.any_core();
        let query = self.history.configuration_queries.len();
        self.history.configuration_queries.push(ConfigurationQuery { sent_at: self.now, answer: None });
        self.open_exchange(Purpose::Query(query), machine, 0);
        let next = self.now + QUERY_INTERVAL_NS / 2 + self.rng.u64(0..QUERY_INTERVAL_NS);
        if next < self.site.traffic_start + self.site.traffic_length {
            self.queue.push(next, Event::OperatorQueries);
        }
    }

    fn query_answered(&mut self, query: usize, reply: OperatorReply) {
        if let OperatorReply::Body(body) = reply {
            self.history.configuration_queries[query].answer = Some((self.now, body));
        }
    }

    fn read_back_again(&mut self) {
        self.operator.read_back_attempts += 1;
        if self.operator.read_back_attempts < MAX_ATTEMPTS && self.history.read_back.is_none() {
            self.queue.push(self.now + ms(300), Event::ReadBack);
        }
    }

    fn read_answered(&mut self, reply: OperatorReply) {
        match reply {
            OperatorReply::Body(body) => self.history.read_back = Some(body),
            _ => self.read_back_again(),
        }
    }
}

fn apply_defect(order: &mut ConfigurationOrder, defect: Defect, base: u64) {
    let text = String::from_utf8_lossy(&order.body).into_owned();
    let defective = match defect {
        Defect::Truncated => text[..text.len() * 2 / 3].to_owned(),
        Defect::UnknownService => text.replacen("\"Backend\":\"", "\"Backend\":\"no-", 1),
        Defect::DuplicatePrefix => text.replacen(Queue::ALL[1].prefix, Queue::ALL[0].prefix, 1),
        Defect::ZeroTimeout => text.replacen("\"TimeoutMs\":3", "\"TimeoutMs\":0,\"Was\":3", 1),
        Defect::OldVersion => {
            let version = format!("\"Version\":{},", order.version);
            order.version = base;
            text.replacen(&version, &format!("\"Version\":{base},"), 1)
        }
    };
    order.body = defective.into_bytes();
}
