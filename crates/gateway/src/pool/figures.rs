//! Figures of the pool for operators.

use crate::pool::close_reason::CloseReason;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// Figures of the pool for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PoolFigures {
    /// Open connections, including idle ones.
    pub open: usize,
    pub idle: usize,
    pub opening: usize,
    /// The highest number of connections that were open or being opened at the same time.
    pub peak: usize,
    /// Counts since the start: connections opened, connections that failed to open, checkouts that reused a
    /// connection, and checkouts that had to wait for one.
    pub opened: u64,
    pub failed: u64,
    pub reused: u64,
    pub waits: u64,
    /// Total time that checkouts waited before they got a connection.
    pub waited_us: u64,
    pub closed: BTreeMap<CloseReason, u64>,
}

impl fmt::Display for PoolFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PoolFigures { open, idle, opening, peak, opened, failed, reused, waits, waited_us, closed } =
            self;
        write!(
            f,
            "opened {opened}, not come up {failed}, used again {reused}, waited for {waits} ({} ms), ",
            waited_us / 1000
        )?;
        write!(f, "closed {closed:?}; open now {open} ({idle} idle), being opened {opening}, at most {peak}")
    }
}
