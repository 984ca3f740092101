//! Conversion between the replicated log of `consensus` and the records of `storage`.
//!
//! `consensus` and `storage` do not depend on each other. This crate converts entries, snapshots and hard
//! states between the two and merges pending writes of the log. The control role and the simulation both use
//! this crate, so that the simulation runs the same code.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod batch_payloads;
mod log_write;
mod merge;
mod records;

pub use batch_payloads::{batch_payloads, MAX_BATCH_PAYLOAD_BYTES};
pub use log_write::{LogChange, LogWrite};
pub use merge::{merge_batch, MAX_MERGED_ENTRIES};
pub use records::{
    entry_to_stored, hard_state_to_stored, member_from_wire, member_to_wire, membership_from_wire,
    membership_to_wire, payload_from_bytes, payload_to_bytes, restored_from_stored, snapshot_to_stored,
    write_batch,
};
