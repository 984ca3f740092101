//! Errors of the state: snapshots that cannot be restored, calls that nothing committed backs.

use quick_error::quick_error;

use crate::ids::AttemptKey;

quick_error! {
    /// A snapshot that cannot be restored completely. Nothing of it is used: a process must not lead with a part of
    /// the state.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SnapshotError {
        /// Written by a later version.
        UnsupportedFormat(found: u32, known: u32) {
            display("the snapshot has format {found}, this program reads formats up to {known}: \
                start the version that wrote it, or a later one")
        }
        /// The digest of an accepted configuration cannot be read.
        InvalidDigest(version: u64, bytes: usize) {
            display("the snapshot holds a digest of {bytes} bytes for configuration {version}: \
                start this machine with an empty data folder, so that it joins the group anew")
        }
        /// A job has no specification that can be carried out.
        InvalidJob(id: u64) {
            display("the snapshot holds job {id:016x} without a specification that can be carried out: \
                start this machine with an empty data folder, so that it joins the group anew")
        }
        /// A worker has no instance.
        WorkerWithoutInstance {
            display("the snapshot holds a worker without an instance: \
                start this machine with an empty data folder, so that it joins the group anew")
        }
    }
}

quick_error! {
    /// A call that a change of leaders could make wrong: a fault of this program.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UncommittedCall {
        /// The worker would forget ends that are not durable.
        Ends(instance: String, last_seen: u64, acknowledged: u64) {
            display("worker {instance} would forget its ends up to {last_seen}, only those up to {acknowledged} are in the log: report this fault")
        }
        /// No leader after this one would know of the attempt.
        Start(key: AttemptKey, instance: String) {
            display("{key:?} would start on {instance}, and its intent is not in the log: report this fault")
        }
    }
}
