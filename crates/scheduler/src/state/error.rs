//! Why a stored state cannot be taken up again.

use quick_error::quick_error;

quick_error! {
    /// A snapshot that is no whole state. Nothing of it is used: a process must not lead with a part of the state.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SnapshotError {
        /// Written by a later version.
        Format(found: u32, known: u32) {
            display("the snapshot has format {found}, this program reads formats up to {known}: \
                start the version that wrote it, or a later one")
        }
        /// The digest of a configuration that was taken cannot be read.
        Digest(version: u64, bytes: usize) {
            display("the snapshot holds a digest of {bytes} bytes for configuration {version}: \
                start this machine with an empty data folder, so that it joins the group anew")
        }
        /// A job has no specification that can be carried out.
        Job(id: u64) {
            display("the snapshot holds job {id:016x} without a specification that can be carried out: \
                start this machine with an empty data folder, so that it joins the group anew")
        }
        /// A worker has no instance.
        Worker {
            display("the snapshot holds a worker without an instance: \
                start this machine with an empty data folder, so that it joins the group anew")
        }
    }
}
