//! Load faults from clients: bursts of jobs and mass cancellation.

use crate::script::InjectedFault;
use crate::time::{ms, SECOND};
use crate::workload::{draw_queue, make_job};
use crate::world::event::{Event, Intent};
use crate::world::World;

impl World {
    pub(super) fn burst(&mut self, fault: &InjectedFault, poison: bool) {
        let mut at = self.now;
        let until = self.now + fault.lasts.min(4 * SECOND);
        let gap = (SECOND as f64 / self.site.jobs_per_s / 2.0) as u64;
        while at < until {
            let queue = draw_queue(&self.site, &mut self.rng);
            let mut job = make_job(&self.site, queue, at, &mut self.rng);
            if poison && self.rng.bool() {
                job.steps[0].poison = true;
            }
            self.jobs.push(job);
            self.queue.push(at, Event::JobComes { job: self.jobs.len() - 1 });
            at += self.rng.u64(gap / 2..gap * 3 / 2);
        }
    }

    pub(super) fn cancel_many(&mut self, fault: &InjectedFault) {
        let from = self.now.saturating_sub(ms(6_000));
        let lately: Vec<u64> =
            self.history.jobs.values().filter(|job| job.submit_at > from).map(|job| job.id).collect();
        for job in lately {
            if (job ^ fault.pick) % 3 == 0 {
                let at = self.now + self.rng.u64(0..ms(1_500));
                self.queue.push(at, Event::ClientSends { job, intent: Intent::Cancel });
            }
        }
    }
}
