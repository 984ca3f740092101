//! A small cluster in simulated time: disks that lose unsynced writes, links that lose, duplicate, delay and
//! reorder messages, clocks that drift, and an oracle that checks every output.
#![allow(dead_code)] // Each test file uses its own part.

pub mod cluster;
mod disk;
pub mod first_start;
mod invariants;
mod oracle;
pub mod single;
