//! Simulated clients of the gateways, with counts and latencies of their requests.

use super::random::exponential;
use gateway_process_trial::client::IdleConnections;
use http_body_util::Full;
use hyper::Request;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{timeout, Instant};

/// How long a client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Counts of requests by result during a period, with the latencies of those that were served.
#[derive(Default)]
pub struct RequestTally {
    pub served: Cell<u64>,
    pub refused: Cell<u64>,
    pub failed: Cell<u64>,
    latencies: RefCell<Vec<Duration>>,
}

/// Sends one request on an idle or new connection and adds its result to the tally.
async fn send_request(
    gateway: SocketAddr,
    idle_connections: Rc<IdleConnections>,
    id: u64,
    customer: u64,
    gateways: u64,
    tally: Rc<RequestTally>,
) {
    let started = Instant::now();
    let request = Request::get("/api")
        .header("host", "origin.svc")
        .header("request-id", format!("{id:016x}"))
        .header("request-class", "roll-lookup")
        .header("plan", "basic")
        .header("account", format!("{customer:016x}"))
        .header("request-timeout", format!("{:.3}", CLIENT_TIMEOUT.as_secs_f64()))
        .header("quota-info", format!("units=1,spread={gateways},first=0"))
        .body(Full::default());
    let Ok(request) = request else { return };
    let reply = timeout(CLIENT_TIMEOUT, idle_connections.send(gateway, request)).await;
    let status = reply.ok().and_then(Result::ok).map(|reply| reply.status);
    let count = match status {
        Some(200) => &tally.served,
        Some(429 | 503) => &tally.refused,
        _ => &tally.failed,
    };
    count.set(count.get() + 1);
    if status == Some(200) {
        tally.latencies.borrow_mut().push(started.elapsed());
    }
}

/// Sends `rate` requests per second at random times (Poisson arrivals) to random gateways, until the future
/// is dropped. Each request counts in the tally that `tally` holds when the request is sent.
pub async fn generate_load(gateways: Vec<SocketAddr>, rate: u64, tally: Rc<RefCell<Rc<RequestTally>>>) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let idle_connections: Vec<Rc<IdleConnections>> = gateways.iter().map(|_| Rc::default()).collect();
    let mut id = u64::from(std::process::id()) << 32;
    let mut next_arrival = Instant::now();
    let mut requests = JoinSet::new();
    loop {
        next_arrival += exponential(&mut rng, Duration::from_secs(1) / rate as u32);
        tokio::time::sleep_until(next_arrival).await;
        id += 1;
        let n = rng.random_range(0..gateways.len());
        let (customer, count) = (rng.random_range(1..=50), gateways.len() as u64);
        let tally = tally.borrow().clone();
        requests.spawn_local(send_request(
            gateways[n],
            idle_connections[n].clone(),
            id,
            customer,
            count,
            tally,
        ));
        while requests.try_join_next().is_some() {}
    }
}

impl RequestTally {
    /// The line that the demo prints for a second: counts, latency quantiles, and a note about what happened.
    pub fn summary_line(&self, second: u64, event: &str) -> String {
        let mut latencies = self.latencies.borrow_mut();
        latencies.sort();
        let latency_at = |quantile: f64| {
            latencies.get((latencies.len() as f64 * quantile) as usize).copied().unwrap_or_default()
        };
        let (served, refused, failed) = (self.served.get(), self.refused.get(), self.failed.get());
        let (p50, p99) = (latency_at(0.5).as_secs_f64() * 1000.0, latency_at(0.99).as_secs_f64() * 1000.0);
        format!(
            "{second:3} s  clients: {served} served, {refused} refused, {failed} failed, p50 {p50:.0} ms, p99 {p99:.0} ms{event}\n"
        )
    }
}
