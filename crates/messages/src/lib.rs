//! Messages between processes of the system, commands of the replicated log, and their encoding and framing.
//!
//! [`job`] contains the commands of the replicated log and the scheduler's snapshot, [`peer`] the frames
//! between processes. Both are Protocol Buffers (proto3). Field numbers must never change: logs and snapshots
//! on disk use them, and processes of different versions exchange messages.
//!
//! # Generated code
//!
//! The schema is in `proto/`. The code in `src/generated` is committed, so that builds do not need the
//! generator. After a change of the schema, run these commands in the directory of this crate (pb-rs 0.10):
//!
//! ```sh
//! pb-rs --dont_use_cow -I proto -d src/generated proto/job.proto proto/peer.proto
//! sed -i 's/\br\.read_message::<\([A-Za-z_:]*\)>(bytes)/crate::nested::read_message::<\1>(r, bytes)/g' src/generated/*.rs
//! ```
//!
//! The second command replaces the library's unbounded reading of nested messages by a bounded one (see the
//! module `nested`). A test fails if the command was omitted.

#![warn(missing_docs)]

mod framing;
#[rustfmt::skip]
#[allow(clippy::all, missing_docs)]
mod generated;
mod nested;

pub use framing::{
    decode, encode, encode_frame, encoded_len, FrameError, FrameReader, FRAME_HEADER_BYTES, MAX_FRAME_BYTES,
};
pub use generated::{job, peer};
