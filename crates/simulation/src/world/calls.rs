//! Calls from the leader to workers: delays, loss and late delivery.

use std::collections::HashMap;

use crate::history::StartOrder;
use scheduler::leader::CallId;
use scheduler::worker::{CallOutcome, WorkerRequest};

use super::event::Event;
use super::network::Endpoint;
use super::World;
use crate::core_process::CoreEvent;
use crate::time::ms;
use crate::workers::Delivery;

/// Identifies a call to a worker.
pub(super) type WorkerCallId = u64;

/// Shortest delay of an order that is carried out late, in milliseconds.
const MIN_LATENESS_MS: u64 = 2_000;
/// Longest delay of an order that is carried out late, in milliseconds.
const MAX_LATENESS_MS: u64 = 12_000;

/// A call in flight.
struct Exchange {
    machine: usize,
    incarnation: u32,
    term: u64,
    call: CallId,
    worker: usize,
    delivery: Delivery,
    /// The caller no longer waits for the answer.
    abandoned: bool,
}

/// Calls in flight.
#[derive(Default)]
pub(super) struct WorkerCalls {
    exchanges: HashMap<WorkerCallId, Exchange>,
    by_caller: HashMap<(usize, u64, CallId), WorkerCallId>,
    next: WorkerCallId,
}

impl World {
    pub(super) fn call_worker(
        &mut self,
        machine: usize,
        term: u64,
        call: CallId,
        address: &str,
        instance: String,
        request: WorkerRequest,
    ) {
        let Some(worker) = self.fleet.worker_at_address(address) else {
            self.report_call(machine, term, call, CallOutcome::NotSent);
            return;
        };
        if let WorkerRequest::Start { key, .. } = &request {
            self.history.start_orders.push(StartOrder { at: self.now, job: key.task.job, worker });
        }
        self.worker_calls.next += 1;
        let id = self.worker_calls.next;
        let late = self.late_share > 0.0 && self.rng.f64() < self.late_share;
        let random = self.rng.f64();
        let (sender, sent_at) = (machine, self.now);
        let delivery = Delivery { instance, request, sender, sent_at, late, token: id, random };
        let incarnation = self.cores[machine].incarnation;
        let exchange = Exchange { machine, incarnation, term, call, worker, delivery, abandoned: false };
        self.worker_calls.exchanges.insert(id, exchange);
        self.worker_calls.by_caller.insert((machine, term, call), id);
        let event = Event::CallArrives { call: id };
        if late {
            let at = self.now + ms(self.rng.u64(MIN_LATENESS_MS..=MAX_LATENESS_MS));
            self.queue.push(at, event);
        } else {
            self.send_unordered(Endpoint::Core(machine), Endpoint::Worker(worker), event);
        }
    }

    fn report_call(&mut self, machine: usize, term: u64, call: CallId, outcome: CallOutcome) {
        self.core_event(machine, CoreEvent::CallFinished { term, call, outcome });
    }

    pub(super) fn cancel_worker_call(&mut self, machine: usize, term: u64, call: CallId) {
        self.cores[machine].turns.drop_answers_to((term, call));
        let Some(id) = self.worker_calls.by_caller.remove(&(machine, term, call)) else { return };
        if let Some(exchange) = self.worker_calls.exchanges.get_mut(&id) {
            exchange.abandoned = true;
            let worker = exchange.worker;
            self.fleet.drop_long_poll(worker, id);
        }
    }

    pub(super) fn call_arrives(&mut self, call: WorkerCallId) {
        let Some(exchange) = self.worker_calls.exchanges.get_mut(&call) else { return };
        let worker = exchange.worker;
        let mut delivery = exchange.delivery.clone();
        if delivery.late || exchange.abandoned {
            // No caller waits for the answer, so the worker must not hold the call as a long poll.
            if let WorkerRequest::RenewLease { wait_ms, .. } = &mut delivery.request {
                *wait_ms = 0;
            }
        }
        let now = self.now;
        if self.trace {
            self.trace(|| format!("worker {worker} gets {:?} (late: {})", delivery.request, delivery.late));
        }
        let listed = self.fleet.listed_ends(worker);
        let outcome = self.fleet.deliver(worker, now, &delivery, &mut self.history);
        if self.fleet.listed_ends(worker) < listed {
            self.inject_after_record(delivery.sender);
        }
        if delivery.late {
            return;
        }
        if let Some(outcome) = outcome {
            self.send_worker_answer(call, outcome);
        }
    }

    /// Sends a worker's answer to its caller.
    pub(super) fn send_worker_answer(&mut self, call: WorkerCallId, outcome: CallOutcome) {
        let Some(exchange) = self.worker_calls.exchanges.get(&call) else { return };
        let (from, to) = (Endpoint::Worker(exchange.worker), Endpoint::Core(exchange.machine));
        if self.trace {
            self.trace(|| format!("{from:?} answers {outcome:?}"));
        }
        self.send_unordered(from, to, Event::CallAnswered { call, outcome });
    }

    pub(super) fn call_answered(&mut self, call: WorkerCallId, outcome: CallOutcome) {
        let Some(exchange) = self.worker_calls.exchanges.get(&call) else { return };
        let machine = exchange.machine;
        if self.cores[machine].incarnation != exchange.incarnation || exchange.abandoned {
            self.forget_call(call);
            return;
        }
        let until = self.cores[machine].frozen_until;
        if until > self.now {
            self.queue.push(until, Event::CallAnswered { call, outcome });
            return;
        }
        let (term, id) = (exchange.term, exchange.call);
        self.forget_call(call);
        self.report_call(machine, term, id, outcome);
    }

    fn forget_call(&mut self, call: WorkerCallId) {
        if let Some(exchange) = self.worker_calls.exchanges.remove(&call) {
            self.worker_calls.by_caller.remove(&(exchange.machine, exchange.term, exchange.call));
        }
    }
}
