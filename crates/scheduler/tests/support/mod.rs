//! Model of a worker that follows the protocol, and of the network between the worker and a session, in
//! simulated time. Times are in nanoseconds unless a name ends in `_ms`.

#![allow(dead_code)]

pub mod driver;
pub mod model;
pub mod world;

use std::sync::Arc;

use messages::job::WorkerIncarnation;
use scheduler::ids::{AttemptKey, TaskKey};
use scheduler::worker::{SessionOptions, StartOrder};

/// Nanoseconds per millisecond.
pub const MS: u64 = 1_000_000;
pub const MAX_WORKER_LEASE_MS: u64 = 6_000;
pub const STOP_MS: u64 = 400;

pub fn key(index: u32, attempt: u32) -> AttemptKey {
    AttemptKey { task: TaskKey { job: 0x5c0e_7a21_d94b_36f8, time: 0, step: 1, index }, attempt }
}

pub fn incarnation(number: u64) -> WorkerIncarnation {
    WorkerIncarnation {
        instance: format!("i-{number}"),
        address: "10.128.0.9:8080".to_owned(),
        service: "huvo11a".to_owned(),
    }
}

pub fn options(fencing_token: u64, term_started_at: u64) -> SessionOptions {
    SessionOptions {
        fencing_token,
        worker_lease_ms: 5_000,
        max_worker_lease_ms: MAX_WORKER_LEASE_MS,
        long_poll_wait_ms: 1_000,
        call_timeout_ms: 1_000,
        max_order_calls: 8,
        max_stop_ms: STOP_MS,
        lease_renewal_bursts: true,
        hedged_lease_renewals: true,
        suspicion: true,
        term_started_at,
    }
}

pub fn order(key: AttemptKey, spec: &str) -> StartOrder {
    StartOrder { key, spec: Arc::from(spec), checkpoint: String::new() }
}
