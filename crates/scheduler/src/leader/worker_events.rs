//! Events of workers for operators: the driver logs and counts them.

use std::sync::Arc;

use crate::ids::AttemptKey;

/// Events that wait for the driver at most; further ones are dropped.
const MAX_PENDING_EVENTS: usize = 256;

/// What the leader decided or found out about a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerEvent {
    /// Its attempts failed or stalled more often than those of its peers: it gets no starts for a while.
    Ejected {
        /// Its incarnation.
        instance: Arc<str>,
        /// The ejection time: how long it gets no starts, in milliseconds.
        ejection_ms: u64,
    },
    /// An attempt was completed on a worker that had been ejected.
    Reinstated {
        /// Its incarnation.
        instance: Arc<str>,
    },
    /// It does not answer.
    TimedOut {
        /// Its incarnation.
        instance: Arc<str>,
        /// Attempts that may be running there.
        attempts: u32,
    },
    /// It answers again.
    Recovered {
        /// Its incarnation.
        instance: Arc<str>,
    },
    /// Its incarnation has surely ended.
    Lost {
        /// Its incarnation.
        instance: Arc<str>,
        /// Attempts that were running there.
        attempts: u32,
    },
    /// A member of a gang ended there since the others had not all started in time.
    GangMemberTimedOut {
        /// The worker's incarnation.
        instance: Arc<str>,
        /// Which attempt.
        key: AttemptKey,
        /// What this leader knows of the gang.
        gang: GangProgress,
    },
    /// The platform's list is late: so many workers get no starts until it shows them again.
    ListingsExpired {
        /// Workers whose listings are too old.
        workers: u32,
        /// For how long the oldest of them has been too old, in milliseconds.
        overdue_ms: u64,
    },
    /// It has seen a newer leader: this one orders nothing more.
    Fenced {
        /// The worker's incarnation.
        instance: Arc<str>,
    },
}

/// What a leader knows of a gang of which a member waited in vain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GangProgress {
    /// Time since this leader chose its workers, or took it over, in milliseconds.
    pub placed_ms: u64,
    /// Share of the member's work that was listed last, in percent: what it resumed from, as long as it waits.
    pub percent: u32,
    /// Attempts that have not finished.
    pub members: u32,
    /// How many of them are known to have started.
    pub started: u32,
    /// How many of them were asked to stop.
    pub stopping: u32,
}

/// Events that the driver has not taken yet, the oldest first.
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

    /// Takes all events that wait.
    pub(super) fn take(&mut self) -> Vec<WorkerEvent> {
        std::mem::take(&mut self.pending)
    }
}
