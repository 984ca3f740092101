//! Simulated platform: answers every request with the list of workers.

use crate::environment::SERVICE;
use crate::error::DemoError;
use crate::server::{serve, Reply};
use hyper::StatusCode;
use std::net::SocketAddr;

/// CPU capacity of each worker.
const WORKER_CPU_MILLICORES: u64 = 4_000;
/// Memory capacity of each worker.
const WORKER_MEM_MB: u64 = 8_192;

/// Entry of a worker in the list of the platform.
#[derive(Debug, Clone)]
pub struct ListedWorker {
    /// Instance identifier of the worker incarnation.
    pub instance: String,
    /// Network address of the worker.
    pub address: SocketAddr,
}

/// Starts a server for the list and returns its address.
pub async fn start(workers: &[ListedWorker]) -> Result<SocketAddr, DemoError> {
    let entries: Vec<serde_json::Value> = workers.iter().enumerate().map(list_entry).collect();
    let page = serde_json::json!({"Instances": entries, "NextToken": null}).to_string();
    serve(move |_| {
        let body = page.clone();
        async move { Reply { status: StatusCode::OK, body } }
    })
    .await
}

/// Encodes the entry of the worker with this number in the format of the platform.
fn list_entry((number, worker): (usize, &ListedWorker)) -> serde_json::Value {
    serde_json::json!({
        "Id": worker.instance,
        "Backend": SERVICE,
        "Address": worker.address.to_string(),
        "Zone": format!("zone-{}", number % 3 + 1),
        "Version": "v1",
        "Capacity": 8,
        "State": "ready",
        "WarmupLeftMs": 0,
        "Available": {"Cpu": WORKER_CPU_MILLICORES, "MemMb": WORKER_MEM_MB, "Gpu": 0},
        "Labels": ["demo", format!("rack-{}", number + 1)],
    })
}
