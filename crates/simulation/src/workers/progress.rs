//! Progress of runs.

use messages::job::EndKind;
use scheduler::ids::AttemptKey;

use super::{LiveRun, Phase};
use crate::time::MS;

impl LiveRun {
    /// Updates the progress to `now`.
    pub(super) fn update(&mut self, now: u64) {
        let passed_ms = now.saturating_sub(self.updated_at) as f64 / MS as f64;
        self.updated_at = self.updated_at.max(now);
        if self.phase != Phase::Working || self.stalled {
            return;
        }
        let restoring = passed_ms.min(self.restore_left_ms);
        self.restore_left_ms -= restoring;
        self.done_ms = (self.done_ms + (passed_ms - restoring) * self.rate).min(self.end_after_ms());
    }

    /// Amount of work after which the run ends, in milliseconds.
    fn end_after_ms(&self) -> f64 {
        let full = if self.long_running { f64::MAX } else { self.work_ms };
        self.fails_after_ms.map_or(full, |fails| fails.max(self.began_ms).min(full))
    }

    /// World time at which the run ends unless something else happens first.
    pub(super) fn ends_at(&self) -> u64 {
        match self.phase {
            Phase::Waiting { until } | Phase::Stopping { until } => until,
            Phase::Working if self.stalled => u64::MAX,
            Phase::Working => {
                let left_ms =
                    self.restore_left_ms + (self.end_after_ms() - self.done_ms).max(0.0) / self.rate;
                if left_ms > 1e9 {
                    return u64::MAX;
                }
                self.updated_at + (left_ms * MS as f64).ceil() as u64
            }
        }
    }

    /// How the run ends unless something else happens first.
    pub(super) fn end_kind(&self) -> EndKind {
        match self.phase {
            Phase::Waiting { .. } => EndKind::ALONE,
            Phase::Stopping { .. } => EndKind::STOPPED,
            Phase::Working if self.fails_after_ms.is_some() => EndKind::FAILED,
            Phase::Working => EndKind::DONE,
        }
    }

    /// Work that is saved in checkpoints, in milliseconds.
    pub(super) fn saved_ms(&self, save_ms: f64) -> f64 {
        let saves = ((self.done_ms - self.began_ms) / save_ms).floor().max(0.0);
        self.began_ms + saves * save_ms
    }

    /// Completed share of the work, in percent.
    pub(super) fn percent(&self) -> u32 {
        if self.long_running || self.work_ms <= 0.0 {
            return 0;
        }
        (self.done_ms / self.work_ms * 100.0).clamp(0.0, 100.0) as u32
    }

    /// The checkpoint text for the saved work.
    pub(super) fn checkpoint(&self, key: &AttemptKey, saved_ms: f64) -> String {
        if !self.saves || saved_ms < 1.0 {
            return String::new();
        }
        let index = if self.gang.is_some() { u32::MAX } else { key.task.index };
        let owner = key.task.job ^ u64::from(key.task.step) << 32 ^ u64::from(index);
        format!("{:08x}{:08x}", saved_ms as u64, owner as u32)
    }
}

/// The saved work that a checkpoint represents, in milliseconds.
pub fn checkpoint_work_ms(checkpoint: &str) -> f64 {
    let digits = checkpoint.get(..8).unwrap_or("0");
    u64::from_str_radix(digits, 16).map_or(0.0, |saved| saved as f64)
}
