//! Events of workers that the driver logs and counts for operators.

use std::sync::Arc;

use crate::ids::AttemptKey;

/// Maximum number of events that wait for the driver. Further events are dropped.
const MAX_PENDING_EVENTS: usize = 256;

/// A decision or an observation of the leader about a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerEvent {
    /// The worker gets no starts for a while because its attempts failed or stalled more often than those of
    /// its peers.
    Ejected {
        /// The worker's instance ID.
        instance: Arc<str>,
        /// The ejection time in milliseconds.
        ejection_ms: u64,
    },
    /// A worker that had been ejected completed an attempt.
    Reinstated {
        /// The worker's instance ID.
        instance: Arc<str>,
    },
    /// The worker does not respond.
    TimedOut {
        /// The worker's instance ID.
        instance: Arc<str>,
        /// Number of attempts that may be running on the worker.
        attempts: u32,
    },
    /// The worker responds again.
    Recovered {
        /// The worker's instance ID.
        instance: Arc<str>,
    },
    /// The worker's incarnation has ended.
    Lost {
        /// The worker's instance ID.
        instance: Arc<str>,
        /// Number of attempts that were running on the worker.
        attempts: u32,
    },
    /// A gang member ended on the worker because not all other members started in time.
    GangMemberTimedOut {
        /// The worker's instance ID.
        instance: Arc<str>,
        /// The member's attempt.
        key: AttemptKey,
        /// What this leader knows of the gang.
        gang: GangProgress,
    },
    /// The platform's instance list is late. Workers with expired listings get no starts until the list shows
    /// them again.
    ListingsExpired {
        /// Number of workers whose listings have expired.
        workers: u32,
        /// How long ago the oldest of these listings expired, in milliseconds.
        overdue_ms: u64,
    },
    /// A worker has seen a newer leader, so that this leader sends no more orders.
    Fenced {
        /// The worker's instance ID.
        instance: Arc<str>,
    },
}

/// What a leader knows of a gang of which a member ended before the gang was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GangProgress {
    /// Time since this leader chose the gang's workers or took the gang over, in milliseconds.
    pub placed_ms: u64,
    /// Last reported progress of the member, in percent. While the member waits, this is the progress that it
    /// resumed from.
    pub percent: u32,
    /// Number of members that have not finished.
    pub members: u32,
    /// Number of these members that are known to have started.
    pub started: u32,
    /// Number of these members that were asked to stop.
    pub stopping: u32,
}

/// Events that the driver has not taken yet, oldest first.
#[derive(Debug, Default)]
pub(super) struct WorkerEvents {
    pending: Vec<WorkerEvent>,
}

impl WorkerEvents {
    pub(super) fn push(&mut self, event: WorkerEvent) {
        if self.pending.len() < MAX_PENDING_EVENTS {
            self.pending.push(event);
        }
    }

    /// Takes all pending events.
    pub(super) fn take(&mut self) -> Vec<WorkerEvent> {
        std::mem::take(&mut self.pending)
    }
}
