//! Report of the queues of all services.

use admin::{QueueReport, Queues};

use crate::leader::event_loop::Leader;

impl Leader {
    /// Returns the queues and deficits of all services.
    pub fn queues_report(&self, now: u64) -> Queues {
        let mut services: Vec<QueueReport> = self
            .service_positions
            .iter()
            .map(|(name, position)| self.queue_report(name, *position, now))
            .collect();
        services.sort_unstable_by(|a, b| a.service.cmp(&b.service));
        Queues { services }
    }

    fn queue_report(&self, name: &str, position: usize, now: u64) -> QueueReport {
        let of_service = self.workers.values().filter(|entry| entry.service == position);
        let usable = of_service.filter(|entry| entry.is_usable(now)).count();
        let mut report = self.services[position].report(name, now, |worker| self.instance_name(worker));
        report.usable_workers = usable as u32;
        report
    }
}
