//! The scheduler's guarantees that each start must keep: no second run of a task, order of the steps,
//! capacity of the worker, due times.

use std::collections::BTreeSet;

use messages::job::Stage;
use scheduler::ids::{AttemptKey, TaskKey};

use super::Cluster;

impl Cluster {
    /// Records the guarantees that a start violates at once.
    pub(super) fn check_start(&mut self, instance: &str, key: AttemptKey, stage: &Stage) {
        let mut found = Vec::new();
        let others =
            self.workers.values().filter(|worker| worker.is_up).flat_map(|worker| worker.running.keys());
        let copies = others.filter(|other| other.task == key.task).count();
        if copies > 1 && !stage.speculative {
            found.push(format!("TWICE: {key:?} runs more than once at the same time"));
        }
        self.starts.push((key, self.now));
        for earlier in &stage.depends_on {
            let count = self.jobs[&key.task.job].stages[*earlier as usize].count;
            let before = |index| TaskKey { step: *earlier, index, ..key.task };
            if (0..count).any(|index| !self.done.contains(&before(index))) {
                found.push(format!("ORDER: {key:?} started before step {earlier} was done"));
            }
        }
        let worker = &self.workers[instance];
        let cpu: u64 = worker.running.keys().map(|other| self.stage(other.task).cpu).sum();
        if cpu > worker.instance.available.cpu {
            found.push(format!("LIMIT: {instance} runs attempts of {cpu} CPU in total"));
        }
        let spec = &self.jobs[&key.task.job];
        let due_ms = spec.start_at_ms + u64::from(key.task.time) * spec.interval_ms;
        if spec.repeat > 0 && self.time_of_day_ms() < due_ms {
            found.push(format!("ORDER: {key:?} started before it was due"));
        }
        self.immediate_violations.extend(found);
    }

    /// Marks the ends up to `last_seen` as acknowledged, except those before the worker's last lease expiry.
    /// The worker no longer lists acknowledged ends.
    pub(super) fn acknowledge_ends(&mut self, instance: &str, last_seen: u64) {
        let Some(worker) = self.workers.get(instance) else { return };
        let ends = worker.ended.iter().filter(|(_, sequence)| **sequence <= last_seen);
        let acknowledged: BTreeSet<AttemptKey> = ends.map(|(key, _)| *key).collect();
        for end in &mut self.done_ends {
            let has_expired_since = worker.lease_expired_at.is_some_and(|at| at > end.at);
            if end.instance == instance && acknowledged.contains(&end.key) && !has_expired_since {
                end.acknowledged = true;
            }
        }
    }

    /// All violations so far, including those that only later events show: a start of a task after an end
    /// `done` of that task was acknowledged.
    pub fn violations(&self) -> Vec<String> {
        let mut found = self.immediate_violations.clone();
        for end in self.done_ends.iter().filter(|end| end.acknowledged) {
            let stage = self.stage(end.key.task);
            if stage.speculative || stage.long_running {
                continue;
            }
            let later = |(key, at): &&(AttemptKey, u64)| key.task == end.key.task && *at > end.at;
            for (key, _) in self.starts.iter().filter(later) {
                found
                    .push(format!("TWICE: {key:?} started after {:?} was done on {}", end.key, end.instance));
            }
        }
        found
    }

    /// Panics if a guarantee was violated or a gang member ended because the others did not start.
    pub fn assert_no_violations(&self) {
        assert!(self.violations().is_empty(), "{:?}", self.violations());
        assert_eq!(self.gang_timeouts, 0, "members of gangs timed out");
    }
}
