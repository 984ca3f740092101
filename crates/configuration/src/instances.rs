//! Reads pages of the platform's list of instances.

use quick_error::quick_error;
use tinyjson::JsonValue;

use crate::fields::Fields;
use crate::json::{parse_bytes, JsonError, Location};

const INSTANCES: &str = "Instances";
const READY: &str = "ready";

quick_error! {
    /// Why a page cannot be read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InstancesError {
        /// The page is not a list of instances.
        Json(error: JsonError) {
            from()
            display("cannot read the platform's list of instances ({error}): keep the previous list and retry")
        }
    }
}

/// The amounts of a worker's resources, either in total or available.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerResources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Megabytes of memory.
    pub mem_mb: u64,
    /// Number of GPUs.
    pub gpu: u64,
}

/// One incarnation of a worker as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Identifier of the incarnation; changes with each restart.
    pub id: String,
    /// Name of the service whose tasks the worker runs.
    pub service: String,
    /// `ip:port`.
    pub address: String,
    /// Zone of the worker.
    pub zone: String,
    /// Version of its software.
    pub version: String,
    /// Number of slots for requests.
    pub capacity: u64,
    /// Whether the worker is draining. An unknown state counts as draining, so that nothing is started there.
    pub draining: bool,
    /// Remaining warm-up time in milliseconds.
    pub warmup_left_ms: u64,
    /// Resources available for tasks.
    pub available: WorkerResources,
    /// Labels of the worker, among them its kind and its rack.
    pub labels: Vec<String>,
    /// Minimum remaining time of a drain, in milliseconds.
    pub remaining_ms: Option<u64>,
}

/// One page of the list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct InstancePage {
    /// The valid entries.
    pub instances: Vec<Instance>,
    /// Token of the next page; none on the last page.
    pub next_token: Option<String>,
    /// Number of invalid entries, which are left out. If there are any, the absence of an instance from the
    /// list does not mean that the instance is gone.
    pub unreadable: usize,
}

/// Parses a page. Invalid entries are left out and counted; they do not hide the valid ones.
///
/// # Errors
///
/// If the body is not valid JSON, has no list of instances, or its token is not a string.
pub fn read(body: &[u8]) -> Result<InstancePage, InstancesError> {
    let document = parse_bytes(body)?;
    let fields = Fields::of(&document, Location::DOCUMENT)?;
    let list = fields.required_list(INSTANCES)?;
    let next_token = fields.text("NextToken")?.filter(|token| !token.is_empty());
    let mut page = InstancePage {
        instances: Vec::with_capacity(list.len()),
        next_token: next_token.map(str::to_owned),
        unreadable: 0,
    };
    for (entry, value) in list.iter().enumerate() {
        match read_instance(entry, value) {
            Ok(instance) => page.instances.push(instance),
            Err(_) => page.unreadable += 1,
        }
    }
    Ok(page)
}

fn read_instance(entry: usize, value: &JsonValue) -> Result<Instance, JsonError> {
    let fields = Fields::of(value, Location::entry(INSTANCES, entry))?;
    Ok(Instance {
        id: fields.required_text("Id")?,
        service: fields.required_text("Backend")?,
        address: fields.required_text("Address")?,
        zone: fields.text_or_empty("Zone")?,
        version: fields.text_or_empty("Version")?,
        capacity: fields.rounded_down("Capacity")?.unwrap_or(0),
        draining: fields.text("State")?.is_some_and(|state| state != READY),
        warmup_left_ms: fields.rounded_down("WarmupLeftMs")?.unwrap_or(0),
        available: read_resources(&fields)?,
        labels: fields.texts("Labels")?,
        remaining_ms: fields.rounded_down("RemainingMs")?,
    })
}

fn read_resources(fields: &Fields<'_>) -> Result<WorkerResources, JsonError> {
    let Some(section) = fields.section("Available")? else {
        return Ok(WorkerResources::default());
    };
    Ok(WorkerResources {
        cpu: section.rounded_down("Cpu")?.unwrap_or(0),
        mem_mb: section.rounded_down("MemMb")?.unwrap_or(0),
        gpu: section.rounded_down("Gpu")?.unwrap_or(0),
    })
}
