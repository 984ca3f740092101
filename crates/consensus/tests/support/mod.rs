//! A small cluster in simulated time: disks that lose what was not synced, links that lose, repeat, delay and reorder,
//! clocks that drift, and an oracle that watches every output.
#![allow(dead_code)] // Each test file uses its own part.

pub mod cluster;
mod disk;
pub mod first_start;
mod invariants;
mod oracle;
pub mod single;
