//! Gateways' processes, and the front that sends clients to them.

use crate::client::{IdleConnections, Reply};
use crate::ledger::Seen;
use crate::process::Program;
use crate::world::World;
use http_body_util::Full;
use hyper::Request;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

/// Between two looks at whether a gateway is ready, at most.
const LOOK: Duration = Duration::from_millis(200);

impl World {
    pub fn alive(&self, gateway: usize) -> bool {
        self.gateways[gateway].program.borrow_mut().as_mut().is_some_and(|program| program.ended().is_none())
    }

    /// A gateway's process has begun, with the servers that its configuration lists.
    pub fn born(&self, gateway: usize, program: Program, listed: Vec<usize>) {
        let place = &self.gateways[gateway];
        let boots = listed.iter().map(|n| (*n, self.stand_ins[*n].boot_ms.get()));
        place.told.replace(boots.collect());
        place.life.set(place.life.get() + 1);
        place.paused_until.set(0);
        self.note(self.clock.now(), Seen::Born { gateway, listed });
        place.program.replace(Some(program));
    }

    /// Takes a gateway in once it says that it is ready.
    pub async fn front(self: Rc<Self>, gateway: usize) {
        let (place, begun, life) =
            (&self.gateways[gateway], Instant::now(), self.gateways[gateway].life.get());
        let (looks, mut pause) = (IdleConnections::default(), Duration::from_millis(20));
        while place.life.get() == life {
            let look = Request::get("/ready").header("host", "front").body(Full::default());
            let Ok(look) = look else { return };
            let reply = timeout(Duration::from_secs(2), looks.send(self.addresses.gateway(gateway), look));
            if matches!(reply.await, Ok(Ok(Reply { status: 200, .. }))) && place.life.get() == life {
                place.taken_in.set(true);
                self.figures.borrow_mut().ready_s.push(begun.elapsed().as_secs_f64());
                return;
            }
            sleep(pause).await;
            pause = (pause * 2).min(LOOK);
        }
    }

    /// The front sends nobody there any more.
    pub fn leave_out(&self, gateway: usize) {
        self.gateways[gateway].taken_in.set(false);
        self.gateways[gateway].idle.clear();
    }
}
