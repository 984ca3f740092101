//! Metrics of this process in the OpenMetrics format.

use super::call::AdminReply;
use crate::driver::Driver;
use crate::metrics::text::MetricsText;

impl Driver {
    /// The counters and the current state of this process. Queues and workers are included on the leader
    /// only.
    pub(super) fn metrics_text(&self, now: u64) -> AdminReply {
        let mut text = MetricsText::default();
        self.write_member_metrics(&mut text, now);
        if let Some(leader) = self.leader.as_ref().filter(|_| self.is_serving(now)) {
            write_queue_metrics(&mut text, &leader.queues_report(now));
        }
        self.metrics.write(&mut text);
        AdminReply::Metrics(text.finish())
    }

    fn write_member_metrics(&self, text: &mut MetricsText, now: u64) {
        let (node, state) = (self.replica.node(), self.replica.state());
        let voters = node.membership().voters().count();
        let learners = node.membership().members.len() - voters;
        let open_jobs = state.jobs().filter(|(_, job)| job.open_work().is_some()).count();
        text.gauge("leads", "1 if this process leads and can confirm it.", u8::from(self.is_serving(now)));
        text.gauge("term", "The newest known term.", node.term());
        text.gauge("commit_index", "Entries up to here are committed.", node.commit_index());
        text.gauge("applied_index", "Entries up to here are applied.", self.replica.applied_index());
        text.gauge("last_index", "The last entry of the log.", node.last_index());
        text.gauge("snapshot_index", "The newest snapshot covers up to here.", self.replica.snapshot_index());
        text.gauge("voters", "Members that vote.", voters);
        text.gauge("learners", "Members that do not vote yet.", learners);
        text.gauge("configuration_version", "The version in force.", state.configuration_version());
        text.gauge("open_jobs", "Jobs that have not ended.", open_jobs);
        text.gauge("known_jobs", "Jobs that are known, ended ones included.", state.jobs().count());
    }
}

fn write_queue_metrics(text: &mut MetricsText, queues: &admin::Queues) {
    let services = &queues.services;
    let by_service = |value: fn(&admin::QueueReport) -> u32| {
        services.iter().map(move |report| ([("service", report.service.clone())], u64::from(value(report))))
    };
    text.gauges("workers", "Known workers.", by_service(|report| report.workers));
    text.gauges(
        "usable_workers",
        "Workers that may take starts.",
        by_service(|report| report.usable_workers),
    );
    let by_plan = services.iter().flat_map(|report| {
        report.plans.iter().map(|plan| {
            let labels = [("service", report.service.clone()), ("priority", plan.priority.to_string())];
            (labels, plan.waiting_tasks)
        })
    });
    text.gauges("waiting_tasks", "Tasks that wait for a start.", by_plan);
}
