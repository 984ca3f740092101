//! Code shared by the programs of the workspace: configuration files, logging, and the end of a process.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod log;
pub mod program;
