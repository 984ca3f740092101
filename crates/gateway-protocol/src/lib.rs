//! Protocols shared by the gateway, the registry and their tools: the list of roll servers with its parsing
//! and merging, the client of the list protocol and its call schedule, the admission control of a list
//! service, HTTP calls to an operators' address, registrations, and the status of a gateway.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
pub mod call;
pub mod call_schedule;
pub mod list;
pub mod registration;
pub mod status;
pub mod watch;
