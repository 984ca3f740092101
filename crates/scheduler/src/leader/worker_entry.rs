//! The leader's record of one incarnation of a worker.

use std::sync::Arc;

use messages::job::{WorkerEnd, WorkerIncarnation};

use crate::ids::AttemptKey;
use crate::placement::{Resources, WorkerFacts};
use crate::worker::WorkerSession;

use super::outlier_detector::OutlierDetector;
use super::worker_lease_need::AttemptNeeds;

/// Attributes of an incarnation in the platform's instance list. Times are in nanoseconds of the monotonic
/// clock.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Listing {
    pub(super) capacity: Resources,
    pub(super) labels: Vec<String>,
    pub(super) zone: String,
    pub(super) draining: bool,
    /// The earliest end of a draining incarnation.
    pub(super) ends_at: Option<u64>,
    /// When the worker's warm-up ends.
    pub(super) warm_at: u64,
}

/// One incarnation of a worker.
#[derive(Debug)]
pub(super) struct WorkerEntry {
    pub(super) instance: Arc<str>,
    /// Index of the worker's service in `Leader::services`.
    pub(super) service: usize,
    pub(super) session: WorkerSession,
    /// The newest list entry; `None` before the first one.
    pub(super) listing: Option<Listing>,
    /// Whether the newest list shows the worker.
    pub(super) listed: bool,
    /// The number of the last list read that showed the worker; 0 if no read did.
    pub(super) last_listed_read: u64,
    /// When the listing becomes too old for further starts.
    pub(super) starts_until: u64,
    /// Since when the list has not shown the worker.
    pub(super) unlisted_since: Option<u64>,
    pub(super) reachable: bool,
    /// Whether a response of the worker is overdue.
    pub(super) suspect: bool,
    pub(super) unhealthy: bool,
    /// Whether this incarnation is known to have ended.
    pub(super) incarnation_ended: bool,
    /// No starts until this time, after the worker rejected one.
    pub(super) backoff_until: u64,
    pub(super) outlier_detector: OutlierDetector,
    /// Whether the incarnation's address is in the log or in the next proposal.
    pub(super) incarnation_logged: bool,
    /// Attempts that occupy the worker.
    pub(super) assigned: Vec<AttemptKey>,
    /// What these attempts need of the session.
    pub(super) needs: AttemptNeeds,
    /// Ends that the worker reported and that are not proposed yet.
    pub(super) pending_ends: Vec<WorkerEnd>,
    /// Whether the session is in the poll queue.
    pub(super) poll_scheduled: bool,
    /// The facts last reported to placement.
    pub(super) reported: Option<ReportedFacts>,
}

/// The facts reported to placement, rounded so that small changes are not reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReportedFacts {
    pub(super) usable: bool,
    pub(super) ejected: bool,
    pub(super) capacity: Resources,
    pub(super) pace_percent: u32,
    pub(super) trust_percent: u32,
}

/// Assumed pace of a worker that is warming up, as a fraction of its regular pace.
const WARMUP_PACE: f64 = 0.6;
/// Step size in which pace and trust are reported to placement, in percent.
const REPORTED_STEP_PERCENT: f64 = 5.0;

impl WorkerEntry {
    pub(super) fn new(instance: Arc<str>, service: usize, session: WorkerSession) -> Self {
        Self {
            instance,
            service,
            session,
            listing: None,
            listed: false,
            last_listed_read: 0,
            starts_until: 0,
            unlisted_since: None,
            reachable: true,
            suspect: false,
            unhealthy: false,
            incarnation_ended: false,
            backoff_until: 0,
            outlier_detector: OutlierDetector::default(),
            incarnation_logged: false,
            assigned: Vec::new(),
            needs: AttemptNeeds::default(),
            pending_ends: Vec::new(),
            poll_scheduled: false,
            reported: None,
        }
    }

    pub(super) fn incarnation(&self) -> &WorkerIncarnation {
        self.session.incarnation()
    }

    /// Returns whether the worker has no attempts and has not responded yet.
    pub(super) fn is_first_contact(&self) -> bool {
        self.session.is_idle() && !self.session.has_answered()
    }

    /// Number of attempts that occupy the worker.
    pub(super) fn assigned_count(&self) -> u32 {
        u32::try_from(self.assigned.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether the worker may take starts now.
    pub(super) fn is_usable(&self, now: u64) -> bool {
        self.is_in_service(now) && self.outlier_detector.allows_start(now, self.assigned_count())
    }

    /// Returns whether starts are prevented only by the worker's ejection or probation.
    pub(super) fn is_ejected(&self, now: u64) -> bool {
        self.is_in_service(now) && !self.outlier_detector.allows_start(now, self.assigned_count())
    }

    /// Returns whether the worker could take starts now if it were neither ejected nor on probation.
    fn is_in_service(&self, now: u64) -> bool {
        let is_listed = self.listed && self.listing.as_ref().is_some_and(|listing| !listing.draining);
        let is_listed = is_listed && now < self.starts_until;
        let answers = self.session.has_answered() && self.reachable && !self.suspect;
        let answers = answers && !self.unhealthy && !self.incarnation_ended;
        is_listed && answers && now >= self.backoff_until
    }

    /// Returns the worker's pace relative to its peers, at most 1.
    pub(super) fn pace(&self, now: u64, peers: f64) -> f64 {
        let warm = self.listing.as_ref().is_none_or(|listing| now >= listing.warm_at);
        let pace = self.outlier_detector.relative_pace(peers);
        if warm {
            pace
        } else {
            pace * WARMUP_PACE
        }
    }

    /// Returns the facts for placement if they differ from those last reported.
    pub(super) fn changed_facts(&mut self, now: u64, peers_pace: f64) -> Option<WorkerFacts> {
        let pace =
            (self.pace(now, peers_pace) * 100.0 / REPORTED_STEP_PERCENT).round() * REPORTED_STEP_PERCENT;
        let trust = (self.outlier_detector.success_rate() * 100.0 / REPORTED_STEP_PERCENT).round()
            * REPORTED_STEP_PERCENT;
        let reported = ReportedFacts {
            usable: self.is_usable(now),
            ejected: self.is_ejected(now),
            capacity: self.listing.as_ref().map_or(Resources::ZERO, |listing| listing.capacity),
            pace_percent: pace as u32,
            trust_percent: trust as u32,
        };
        if self.reported == Some(reported) {
            return None;
        }
        self.reported = Some(reported);
        let (labels, zone) = match self.listing.as_ref() {
            Some(listing) => (listing.labels.clone(), listing.zone.clone()),
            None => (Vec::new(), String::new()),
        };
        Some(WorkerFacts {
            capacity: reported.capacity,
            rack: rack_of(&labels),
            labels,
            zone,
            usable: reported.usable,
            ejected: reported.ejected,
            pace: pace / 100.0,
            success_rate: trust / 100.0,
        })
    }
}

/// Returns the rack among a worker's labels, which are its kind followed by its rack.
fn rack_of(labels: &[String]) -> Option<String> {
    labels.get(1).or_else(|| labels.first()).cloned()
}
