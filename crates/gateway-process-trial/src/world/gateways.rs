//! The gateway processes, and the rotation of gateways that clients are sent to.

use crate::client::{IdleConnections, Reply};
use crate::ledger::Event;
use crate::process::Program;
use crate::world::World;
use http_body_util::Full;
use hyper::Request;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

/// The longest interval between two readiness checks of a gateway.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(200);

impl World {
    /// Whether the gateway's process is running.
    pub fn is_running(&self, gateway: usize) -> bool {
        self.gateways[gateway].program.borrow_mut().as_mut().is_some_and(|program| program.ended().is_none())
    }

    /// Records the start of a gateway process whose configuration lists these servers.
    pub fn gateway_started(&self, gateway: usize, program: Program, listed: Vec<usize>) {
        let process = &self.gateways[gateway];
        let boots = listed.iter().map(|n| (*n, self.stand_ins[*n].boot_ms.get()));
        process.known_starts.replace(boots.collect());
        process.incarnation.set(process.incarnation.get() + 1);
        process.paused_until.set(0);
        self.record(self.clock.now(), Event::GatewayStarted { gateway, listed });
        process.program.replace(Some(program));
    }

    /// Puts a gateway into rotation once it reports that it is ready.
    pub async fn wait_until_ready(self: Rc<Self>, gateway: usize) {
        let (process, started, incarnation) =
            (&self.gateways[gateway], Instant::now(), self.gateways[gateway].incarnation.get());
        let (connections, mut pause) = (IdleConnections::default(), Duration::from_millis(20));
        while process.incarnation.get() == incarnation {
            let request = Request::get("/ready").header("host", "front").body(Full::default());
            let Ok(request) = request else { return };
            let reply =
                timeout(Duration::from_secs(2), connections.send(self.addresses.gateway(gateway), request));
            if matches!(reply.await, Ok(Ok(Reply { status: 200, .. })))
                && process.incarnation.get() == incarnation
            {
                process.in_rotation.set(true);
                self.figures.borrow_mut().ready_s.push(started.elapsed().as_secs_f64());
                return;
            }
            sleep(pause).await;
            pause = (pause * 2).min(MAX_POLL_INTERVAL);
        }
    }

    /// Takes a gateway out of rotation; clients are no longer sent there.
    pub fn remove_from_rotation(&self, gateway: usize) {
        self.gateways[gateway].in_rotation.set(false);
        self.gateways[gateway].idle.clear();
    }
}
