//! Deployments: machines, services with their workers, and the time limits of the rules.

mod large;

use configuration::Bounds;
use messages::job::JobSpec;
use scheduler::placement::Resources;

use crate::processor::Processor;
use crate::time::{ms, SECOND};
use crate::workload::Queue;

/// One service and its workers.
#[derive(Clone, Debug)]
pub struct ServiceSite {
    /// The service's name in configurations.
    pub name: &'static str,
    /// Number of workers.
    pub workers: usize,
    /// Resources of a worker of the usual size.
    pub available: Resources,
    /// Number of workers in a rack.
    pub rack_size: usize,
    /// Whether workers refuse tasks that do not fit.
    pub guards: bool,
    /// Sizes of consecutive workers, in halves of the usual size; the sequence repeats.
    pub sizes: &'static [u64],
}

/// A deployment.
#[derive(Clone, Debug)]
pub struct Site {
    /// Time limits of the rules.
    pub bounds: Bounds,
    /// Number of zones.
    pub zones: usize,
    /// Number of core machines; the first three are the seeds.
    pub cores: usize,
    /// Number of empty core machines that may replace others.
    pub spare_cores: usize,
    /// Number of edge machines.
    pub edges: usize,
    /// Number of core machines that may be lost at the same time.
    pub tolerated_core_losses: usize,
    /// Time of a sync of a core machine's disk, in nanoseconds.
    pub disk_sync: u64,
    /// One-way delay within a zone, in nanoseconds.
    pub same_zone_delay: u64,
    /// One-way delay between zones, in nanoseconds.
    pub cross_zone_delay: u64,
    /// One-way delay between clients and edges, and between the operator and the core, in nanoseconds.
    pub client_delay: u64,
    /// Lag of the platform's worker list, in nanoseconds.
    pub list_lag: u64,
    /// Number of list reads per second that the platform answers.
    pub list_reads_per_s: u64,
    /// Time before the traffic starts, in nanoseconds.
    pub traffic_start: u64,
    /// Duration of the traffic, in nanoseconds.
    pub traffic_length: u64,
    /// Jobs per second.
    pub jobs_per_s: f64,
    /// Changes of the load, in the order of their times.
    pub load_changes: Vec<LoadChange>,
    /// Jobs that clients submit in addition to those drawn from the queues.
    pub added_jobs: Vec<AddedJob>,
    /// Time between two counts of each queue's pending jobs, in nanoseconds; `None` if clients do not ask for them.
    pub count_interval: Option<u64>,
    /// The queues with their mix of jobs.
    pub queues: &'static [Queue; 4],
    /// The services.
    pub services: Vec<ServiceSite>,
    /// The processors of the core machines; `None` if work takes no time.
    pub processor: Option<Processor>,
}

/// A change of the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadChange {
    /// When the load changes.
    pub at: u64,
    /// Factor of `jobs_per_s` from then on.
    pub factor: f64,
}

/// A job that a client submits in addition to the drawn ones.
#[derive(Clone, Debug, PartialEq)]
pub struct AddedJob {
    /// When the job is submitted.
    pub at: u64,
    /// Position of the job's queue in the site's queues.
    pub queue: usize,
    /// What the client submits.
    pub body: JobSpec,
}

/// The time limits of the published example.
fn published_bounds() -> Bounds {
    Bounds::default()
}

impl Site {
    /// A small deployment with two services, both guarded, similar to the published ones.
    pub fn small() -> Site {
        let plain = Resources { cpu: 32_000, mem_mb: 65_536, gpu: 0 };
        let with_devices = Resources { cpu: 64_000, mem_mb: 131_072, gpu: 8 };
        Site {
            bounds: published_bounds(),
            zones: 3,
            cores: 3,
            spare_cores: 1,
            edges: 4,
            tolerated_core_losses: 1,
            disk_sync: ms(4),
            same_zone_delay: ms(1) / 4,
            cross_zone_delay: ms(1) + ms(1) * 2 / 5,
            client_delay: ms(3),
            list_lag: ms(800),
            list_reads_per_s: 30,
            traffic_start: 10 * SECOND,
            traffic_length: 34 * SECOND,
            jobs_per_s: 5.0,
            load_changes: Vec::new(),
            added_jobs: Vec::new(),
            count_interval: None,
            queues: &Queue::ALL,
            services: vec![
                ServiceSite {
                    name: "rolls",
                    workers: 9,
                    available: plain,
                    rack_size: 3,
                    guards: true,
                    sizes: &[2, 2, 1, 4],
                },
                ServiceSite {
                    name: "scans",
                    workers: 5,
                    available: with_devices,
                    rack_size: 2,
                    guards: true,
                    sizes: &[2],
                },
            ],
            processor: None,
        }
    }

    /// Factor of `jobs_per_s` at a time.
    pub fn load_at(&self, at: u64) -> f64 {
        self.load_changes.iter().rev().find(|change| change.at <= at).map_or(1.0, |change| change.factor)
    }

    /// The small deployment with five core machines, two of which may be lost at the same time, and unguarded
    /// workers.
    pub fn five() -> Site {
        Site { cores: 5, spare_cores: 2, tolerated_core_losses: 2, ..Site::unguarded() }
    }

    /// The small deployment with a first service whose workers start every ordered task.
    pub fn unguarded() -> Site {
        let mut site = Site::small();
        site.services[0].guards = false;
        site
    }

    /// Length of a day: time before the traffic, traffic, and time until the final reads.
    pub fn day_length(&self) -> u64 {
        self.traffic_start + self.traffic_length + ms(self.bounds.finish_ms)
    }

    /// Number of core machines, including spare ones.
    pub fn all_cores(&self) -> usize {
        self.cores + self.spare_cores
    }

    /// The zone of a core machine.
    pub fn core_zone(&self, core: usize) -> usize {
        core % self.zones
    }

    /// The zone of an edge machine.
    pub fn edge_zone(&self, edge: usize) -> usize {
        edge % self.zones
    }
}
