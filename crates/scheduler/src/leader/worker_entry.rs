//! One incarnation of a worker as the leader knows it.

use std::sync::Arc;

use messages::job::{WorkerEnd, WorkerIncarnation};

use crate::ids::AttemptKey;
use crate::placement::{Resources, WorkerFacts};
use crate::worker::WorkerSession;

use super::outlier_detector::OutlierDetector;

/// What the platform's list says about an incarnation. Times are nanoseconds of the steady clock.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Listing {
    pub(super) capacity: Resources,
    pub(super) labels: Vec<String>,
    pub(super) zone: String,
    pub(super) draining: bool,
    /// The earliest end of an incarnation that is draining.
    pub(super) ends_at: Option<u64>,
    /// Until when it is warming up.
    pub(super) warm_at: u64,
}

/// One incarnation of a worker.
#[derive(Debug)]
pub(super) struct WorkerEntry {
    pub(super) instance: Arc<str>,
    /// Position of its service.
    pub(super) service: usize,
    pub(super) session: WorkerSession,
    /// As last listed; `None` before the first list.
    pub(super) listing: Option<Listing>,
    /// Whether the newest list shows it.
    pub(super) listed: bool,
    /// The read of the list that showed it last; 0: none did.
    pub(super) last_listed_read: u64,
    /// From then on its listing is too old for further starts.
    pub(super) starts_until: u64,
    /// Since when lists do not show it.
    pub(super) unlisted_since: Option<u64>,
    pub(super) reachable: bool,
    /// Whether a response of it is overdue.
    pub(super) suspect: bool,
    pub(super) unhealthy: bool,
    /// Whether this incarnation has certainly ended.
    pub(super) incarnation_ended: bool,
    /// Until when it gets no starts after it rejected one.
    pub(super) backoff_until: u64,
    pub(super) outlier_detector: OutlierDetector,
    /// Whether its address is in the log, or in the next proposal.
    pub(super) incarnation_logged: bool,
    /// Attempts that occupy it.
    pub(super) assigned: Vec<AttemptKey>,
    /// Ends that are to be made durable.
    pub(super) pending_ends: Vec<WorkerEnd>,
    /// Whether the session is to be polled at the end of this turn.
    pub(super) poll_scheduled: bool,
    /// The facts last reported to placement.
    pub(super) reported: Option<ReportedFacts>,
}

/// Facts reported to placement, coarse enough that small changes are not reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReportedFacts {
    pub(super) usable: bool,
    pub(super) ejected: bool,
    pub(super) capacity: Resources,
    pub(super) pace_percent: u32,
    pub(super) trust_percent: u32,
}

/// Share of its usual pace that a worker is assumed to have while it is warming up.
const WARMUP_PACE: f64 = 0.6;
/// Step in which changes of pace and trust are reported to placement, in percent.
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
            pending_ends: Vec::new(),
            poll_scheduled: false,
            reported: None,
        }
    }

    pub(super) fn incarnation(&self) -> &WorkerIncarnation {
        self.session.incarnation()
    }

    /// Whether it carries nothing and has not answered yet.
    pub(super) fn is_first_contact(&self) -> bool {
        self.session.is_idle() && !self.session.has_been_answered()
    }

    /// How many attempts occupy it.
    pub(super) fn assigned_count(&self) -> u32 {
        u32::try_from(self.assigned.len()).unwrap_or(u32::MAX)
    }

    /// Whether it may take starts now.
    pub(super) fn is_usable(&self, now: u64) -> bool {
        self.is_in_service(now) && self.outlier_detector.allows_start(now, self.assigned_count())
    }

    /// Whether only its ejection or probation prevents starts there now.
    pub(super) fn is_ejected(&self, now: u64) -> bool {
        self.is_in_service(now) && !self.outlier_detector.allows_start(now, self.assigned_count())
    }

    /// Whether it could take starts now if it were not ejected.
    fn is_in_service(&self, now: u64) -> bool {
        let is_listed = self.listed && self.listing.as_ref().is_some_and(|listing| !listing.draining);
        let is_listed = is_listed && now < self.starts_until;
        let answers = self.session.has_been_answered() && self.reachable && !self.suspect;
        let answers = answers && !self.unhealthy && !self.incarnation_ended;
        is_listed && answers && now >= self.backoff_until
    }

    /// Its pace relative to its peers, 1 at most.
    pub(super) fn pace(&self, now: u64, peers: f64) -> f64 {
        let warm = self.listing.as_ref().is_none_or(|listing| now >= listing.warm_at);
        let pace = self.outlier_detector.relative_pace(peers);
        if warm {
            pace
        } else {
            pace * WARMUP_PACE
        }
    }

    /// The facts for placement if they differ from those reported before.
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
            trust: trust / 100.0,
        })
    }
}

/// The rack among a worker's labels: they are its kind, then its rack.
fn rack_of(labels: &[String]) -> Option<String> {
    labels.get(1).or_else(|| labels.first()).cloned()
}
