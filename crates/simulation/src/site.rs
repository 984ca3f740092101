//! A deployment: machines, services with their workers, bounds of the rules.

mod large;

use configuration::Bounds;
use scheduler::placement::Resources;

use crate::processor::Processor;
use crate::time::{ms, SECOND};
use crate::workload::Queue;

/// One service and its workers.
#[derive(Clone, Debug)]
pub struct ServiceSite {
    /// Its name in configurations.
    pub name: &'static str,
    /// How many workers it has.
    pub workers: usize,
    /// What a worker of the usual size has.
    pub available: Resources,
    /// Workers that share a rack.
    pub rack_size: usize,
    /// Whether workers refuse what does not fit.
    pub guards: bool,
    /// Sizes of workers, in halves of the usual one, one after the other.
    pub sizes: &'static [u64],
}

/// A deployment.
#[derive(Clone, Debug)]
pub struct Site {
    /// Figures of the rules.
    pub bounds: Bounds,
    /// Zones, by number.
    pub zones: usize,
    /// Core machines; the first three are the seeds.
    pub cores: usize,
    /// Empty core machines that may replace others.
    pub spare_cores: usize,
    /// Edge machines.
    pub edges: usize,
    /// How many core machines may be lost at one time.
    pub tolerated: usize,
    /// Time that a sync of a core machine's disk takes.
    pub sync: u64,
    /// One way within a zone.
    pub near_delay: u64,
    /// One way between zones.
    pub far_delay: u64,
    /// One way between clients and edges, and between the operator and the core.
    pub client_delay: u64,
    /// By how much the platform's list lags.
    pub list_lag: u64,
    /// Readings of the list that the platform answers a second.
    pub list_rate: u64,
    /// Time before traffic starts.
    pub lead: u64,
    /// How long traffic lasts.
    pub length: u64,
    /// Jobs a second.
    pub jobs_per_s: f64,
    /// Changes of the load, in order of their times.
    pub load: Vec<LoadChange>,
    /// Its queues with their mix of jobs.
    pub queues: &'static [Queue; 4],
    /// Its services.
    pub services: Vec<ServiceSite>,
    /// The processors of core machines; `None`: work takes no time.
    pub processor: Option<Processor>,
}

/// A change of the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadChange {
    /// When.
    pub at: u64,
    /// How many times `jobs_per_s` come from then on.
    pub factor: f64,
}

/// Figures of the published example.
fn published_bounds() -> Bounds {
    Bounds::default()
}

impl Site {
    /// A small deployment of two services, both guarded, shaped like the published ones.
    pub fn small() -> Site {
        let plain = Resources { cpu: 32_000, mem_mb: 65_536, gpu: 0 };
        let with_devices = Resources { cpu: 64_000, mem_mb: 131_072, gpu: 8 };
        Site {
            bounds: published_bounds(),
            zones: 3,
            cores: 3,
            spare_cores: 1,
            edges: 4,
            tolerated: 1,
            sync: ms(4),
            near_delay: ms(1) / 4,
            far_delay: ms(1) + ms(1) * 2 / 5,
            client_delay: ms(3),
            list_lag: ms(800),
            list_rate: 30,
            lead: 10 * SECOND,
            length: 34 * SECOND,
            jobs_per_s: 5.0,
            load: Vec::new(),
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

    /// How many times `jobs_per_s` come at a time.
    pub fn load_at(&self, at: u64) -> f64 {
        self.load.iter().rev().find(|change| change.at <= at).map_or(1.0, |change| change.factor)
    }

    /// The small deployment with five core machines, two of which may be lost at one time, and unguarded workers.
    pub fn five() -> Site {
        Site { cores: 5, spare_cores: 2, tolerated: 2, ..Site::unguarded() }
    }

    /// The small deployment with a first service whose workers start whatever they are ordered.
    pub fn unguarded() -> Site {
        let mut site = Site::small();
        site.services[0].guards = false;
        site
    }

    /// Total length of a day: lead, traffic and the time until jobs are asked for.
    pub fn day_length(&self) -> u64 {
        self.lead + self.length + ms(self.bounds.finish_ms)
    }

    /// Core machines, spare ones included.
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
