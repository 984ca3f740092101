//! Large deployments: more than a thousand workers, hundreds of jobs per second, and core machines with a
//! share of a processor core.

use configuration::Bounds;
use scheduler::placement::Resources;

use super::{ServiceSite, Site};
use crate::processor::Processor;
use crate::time::{ms, SECOND};
use crate::workload::Queue;

/// Number of workers of the plain service and of the service with GPUs.
const WORKERS: [usize; 2] = [792, 308];
/// Jobs per second.
const JOBS_PER_S: f64 = 235.0;
/// Share of a processor core that each core machine has.
const PROCESSOR_SHARE: f64 = 0.4;
/// Number of edge machines. Real deployments have more, but those would only add pings.
const EDGES: usize = 24;

fn bounds() -> Bounds {
    Bounds {
        catch_up_ms: 6_000,
        recovery_ms: 15_000,
        stop_ms: 200,
        gang_ms: 5_000,
        cancel_ms: 5_000,
        far_factor: 3.0,
        save_ms: 500,
        restore_ms: 100,
        ..Bounds::default()
    }
}

impl Site {
    /// A large deployment at full traffic.
    pub fn large() -> Site {
        Site::large_part(1)
    }

    /// One part in `parts` of a large deployment: workers and jobs are divided by `parts` and processors are
    /// slower by the same factor, so the core machines are as busy as in the whole deployment.
    pub fn large_part(parts: usize) -> Site {
        let plain = Resources { cpu: 32_000, mem_mb: 65_536, gpu: 0 };
        let with_devices = Resources { cpu: 64_000, mem_mb: 262_144, gpu: 8 };
        let service = |name, position: usize, available, sizes| ServiceSite {
            name,
            workers: WORKERS[position] / parts,
            available,
            rack_size: 8,
            guards: true,
            sizes,
        };
        Site {
            bounds: bounds(),
            zones: 6,
            cores: 5,
            spare_cores: 1,
            edges: EDGES.div_ceil(parts).max(4),
            tolerated_core_losses: 2,
            same_zone_delay: ms(1) / 5,
            cross_zone_delay: ms(1) * 9 / 10,
            list_reads_per_s: 50,
            traffic_start: 8 * SECOND,
            traffic_length: 40 * SECOND,
            jobs_per_s: JOBS_PER_S / parts as f64,
            queues: &Queue::LARGE,
            services: vec![
                service("rolls", 0, plain, &[2, 2, 1, 4]),
                service("scans", 1, with_devices, &[2]),
            ],
            processor: Some(Processor { share: PROCESSOR_SHARE, slowness: parts as f64 }),
            ..Site::small()
        }
    }
}
