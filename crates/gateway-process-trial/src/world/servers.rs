//! Servers as the other participants see them: incoming attempts, metered usage and list entries.

use crate::ledger::Event;
use crate::list::entry;
use crate::registration::renew;
use crate::world::World;
use bytes::Bytes;
use gateway_decisions::Time;
use gateway_protocol::call::{self, Call};
use gateway_protocol::list::State;
use gateway_protocol::registration::{Announcement, REGISTRATIONS_PATH};
use gateway_simulation::report::{count, flow};
use gateway_simulation::units::{METER_PERIOD_NS, START_NS};
use hyper::Method;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::interval;

/// How long a server stays registered after its last renewal.
const REGISTRATION_LEASE: Duration = Duration::from_secs(2);

impl World {
    /// Records an attempt at a server. Returns its work, and its plan and customer; `None` if no client sent
    /// the request.
    pub fn attempt_arrived(
        &self,
        id: u64,
        server: usize,
        gateway: usize,
        at: Time,
    ) -> Option<(Time, (usize, u32))> {
        let mut open = self.open_requests.borrow_mut();
        let Some(request) = open.get_mut(&id) else {
            self.record(at, Event::UnknownAttempt { id, server });
            return None;
        };
        self.record(at, Event::AttemptReceived { id, server, gateway });
        let asked = request.asked;
        let mut figures = self.figures.borrow_mut();
        let second = self.clock.second();
        count(&mut figures.report.flow, second, flow::ATTEMPTS);
        if request.unattempted {
            let plan = &self.scenario.plans[asked.plan];
            let customer = &mut self.customers.borrow_mut()[asked.plan][asked.customer as usize];
            request.within_quota = customer.charge(plan, self.clock.now());
            self.record(at, Event::QuotaUnitTaken { plan: asked.plan, customer: asked.customer });
            count(&mut figures.report.flow, second, flow::FIRST);
            count(&mut figures.report.quota, second, 0);
            if !request.within_quota {
                count(&mut figures.report.quota, second, 1);
            }
            if request.counted {
                figures.report.passed += 1;
                figures.report.beyond += u64::from(!request.within_quota);
            }
        }
        request.unattempted = false;
        if request.counted {
            let zones = [self.scenario.zone_of_gateway(gateway), self.scenario.zone_of_server(server)];
            figures.report.attempts += 1;
            figures.report.crossings += u64::from(zones[0] != zones[1]);
        }
        Some((request.work, (asked.plan, asked.customer)))
    }

    /// The share of the quota that a customer has used, as last metered.
    pub fn metered_usage(&self, (plan, customer): (usize, u32)) -> Option<f64> {
        self.customers.borrow()[plan][customer as usize].metered
    }

    /// Whether a gateway was told of the start of a server at `boot_ms`.
    pub fn knows_server_start(&self, gateway: usize, server: usize, boot_ms: u64) -> bool {
        self.gateways[gateway].known_starts.borrow().get(&server) == Some(&boot_ms)
    }

    /// Meters the customers' usage at regular intervals, until the future is dropped.
    pub async fn run_meter(self: Rc<Self>) {
        let mut every = interval(Duration::from_nanos(METER_PERIOD_NS));
        // The first tick fires at once, when there is no usage to meter.
        every.tick().await;
        loop {
            every.tick().await;
            self.sample_capacity();
            let on = self.meter_down.get() == 0;
            for (plan, customers) in self.scenario.plans.iter().zip(self.customers.borrow_mut().iter_mut()) {
                customers.iter_mut().for_each(|customer| customer.end_meter_period(plan, on));
            }
        }
    }

    /// Samples, in the middle of a second, the capacity of all servers that accept new requests.
    fn sample_capacity(&self) {
        let now = self.clock.now();
        let cores = &mut self.figures.borrow_mut().report.cores;
        // Sampling may run late, but not by half a second.
        if now < START_NS + cores.len() as Time * 2 * METER_PERIOD_NS + METER_PERIOD_NS {
            return;
        }
        let silent = |n| self.net.get().is_some_and(|net| net.is_silent(n));
        let wanting =
            self.stand_ins.iter().enumerate().filter(|(n, stand_in)| {
                stand_in.up.get() && stand_in.state.get() == State::Ready && !silent(*n)
            });
        let sum = wanting.fold([0.0; 2], |sum, (_, stand_in)| {
            let one = stand_in.model.borrow().cores(now);
            [sum[0] + one[0], sum[1] + one[1]]
        });
        cores.push(sum);
    }

    /// Counts an attempt at a server that serves nothing.
    pub fn in_vain(&self, server: usize) {
        let second = self.clock.second();
        self.vain.borrow_mut().count(&mut self.figures.borrow_mut().report.flow, second, server);
    }

    /// Publishes a server's new state to the list service or the registry.
    pub fn announce(self: &Rc<Self>, n: usize, state: State) {
        let stand_in = &self.stand_ins[n];
        stand_in.state.set(state);
        let endpoint = self.addresses.placeholder(n).to_string();
        let zone = &self.scenario.zones[self.scenario.zone_of_server(n)];
        let cell = self.scenario.cell_of_server(n);
        let boot_ms = stand_in.boot_ms.get();
        let Some([_, registrars]) = self.registry.get().copied() else {
            return self.list_service.update(entry(n, endpoint, zone, cell, state, boot_ms));
        };
        let old_renewal = match state {
            State::Ready => {
                let announcement = Announcement {
                    endpoint,
                    az: zone.clone(),
                    model: "stand-in".to_string(),
                    pod_group: cell,
                    capacity_hint: 1.0,
                    boot_ms,
                    lease_ms: REGISTRATION_LEASE.as_millis() as u64,
                };
                let task = spawn_local(renew(format!("s-{n}"), announcement, registrars));
                self.renewals.borrow_mut().insert(n, task)
            }
            State::Terminating => {
                let path = format!("{REGISTRATIONS_PATH}/s-{n}/drain");
                let body = Bytes::from(format!(r#"{{"boot_ms":{boot_ms}}}"#));
                spawn_local(call::make(
                    registrars,
                    Call { method: Method::POST, path, body },
                    REGISTRATION_LEASE,
                ));
                None
            }
            State::Gone => self.renewals.borrow_mut().remove(&n),
        };
        if let Some(task) = old_renewal {
            task.abort();
        }
    }
}
