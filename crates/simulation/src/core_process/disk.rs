//! Writes to the modelled disk, including snapshots.

use std::sync::Arc;

use consensus::{Event, Snapshot};
use log_records::LogWrite;
use messages::encode;

use super::writer::Written;
use super::{CoreOutput, CoreProcess};

impl CoreProcess {
    pub(super) fn push_write(&mut self, write: LogWrite) {
        if self.writer.push(write) {
            self.out.push(CoreOutput::DiskBegins);
        }
    }

    pub(super) fn disk_done(&mut self) {
        let (written, begins) = self.writer.finish();
        if begins {
            self.out.push(CoreOutput::DiskBegins);
        }
        match written {
            Some(Written::Log { ticket }) => self.node_event(Event::Persisted { ticket }),
            Some(Written::Snapshot(snapshot)) => {
                self.snapshot_under_way = false;
                self.node_event(Event::SnapshotTaken { snapshot });
            }
            Some(Written::Retry) => self.out.push(CoreOutput::DiskRetries),
            Some(Written::Failed(text)) => self.out.push(CoreOutput::Failed(text)),
            None => {}
        }
    }

    pub(super) fn take_snapshot_if_due(&mut self) {
        if self.snapshot_under_way || self.entries_since_snapshot < self.snapshot_policy.snapshot_entries {
            return;
        }
        let Some(meta) = self.node.snapshot_meta(self.applied_index) else { return };
        let data = Arc::new(encode(&self.state.snapshot()));
        self.work.snapshot_bytes += data.len() as u64;
        self.snapshot_under_way = true;
        self.entries_since_snapshot = 0;
        self.push_write(LogWrite::Snapshot(Snapshot { meta, data }));
    }
}
