//! Errors of the replicated state: snapshots that cannot be restored, and calls that are not backed by
//! committed commands.

use quick_error::quick_error;

use crate::ids::AttemptKey;

quick_error! {
    /// Reason why a snapshot cannot be restored. Nothing of such a snapshot is used, because a process must
    /// not lead with only a part of the state.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SnapshotError {
        /// The snapshot was written by a later version of this program.
        UnsupportedFormat(found: u32, known: u32) {
            display("the snapshot has format {found}, this program reads formats up to {known}: \
                start the version that wrote it, or a later one")
        }
        /// The digest of an accepted configuration is invalid.
        InvalidDigest(version: u64, bytes: usize) {
            display("the snapshot holds a digest of {bytes} bytes for configuration {version}: \
                start this machine with an empty data folder, so that it joins the group anew")
        }
        /// A job has no specification, or one that cannot be run.
        InvalidJob(id: u64) {
            display("the snapshot holds job {id:016x} without a specification that can be carried out: \
                start this machine with an empty data folder, so that it joins the group anew")
        }
        /// A worker has no incarnation.
        WorkerWithoutInstance {
            display("the snapshot holds a worker without an instance: \
                start this machine with an empty data folder, so that it joins the group anew")
        }
    }
}

quick_error! {
    /// A call that is not backed by committed commands, so that a change of leader could make it wrong. It
    /// is a fault of this program.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UncommittedCall {
        /// The call would make the worker forget ends that are not durable.
        Ends(instance: String, last_seen: u64, acknowledged: u64) {
            display("worker {instance} would forget its ends up to {last_seen}, but only those up to \
                {acknowledged} are in the log: report this fault")
        }
        /// The call would start an attempt that a later leader would not know of.
        Start(key: AttemptKey, instance: String) {
            display("{key:?} would start on {instance}, but its intent is not in the log: report this fault")
        }
    }
}
