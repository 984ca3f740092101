//! Errors in the settings and the restored state that the caller passes in at startup.

use std::time::Duration;

use quick_error::quick_error;

quick_error! {
    /// Inconsistent options.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum OptionsError {
        /// The heartbeat interval is so long that followers could time out between two heartbeats.
        Heartbeat(heartbeat: Duration, election_timeout: Duration) {
            display("heartbeat interval of {heartbeat:?} is over a third of the election timeout of \
                {election_timeout:?}: shorten the interval or lengthen the timeout")
        }
        /// The leader stickiness is so short that leases could expire between two heartbeats, or so long that
        /// voters would campaign while other voters still reject vote requests.
        LeaderStickiness(stickiness: Duration, heartbeat: Duration, election_timeout: Duration) {
            display("leader stickiness of {stickiness:?} must be at least two heartbeat intervals of \
                {heartbeat:?} and at most the election timeout of {election_timeout:?}")
        }
        /// The lease margin leaves no time for a lease, or is too small for clocks that run at different
        /// rates.
        LeaseMargin(margin: Duration, stickiness: Duration) {
            display("lease margin of {margin:?} must be at least 1/25 of the leader stickiness of \
                {stickiness:?} and less than it")
        }
        /// An option that must be positive is 0.
        Zero(name: &'static str) {
            display("{name} is 0 but must be at least 1")
        }
    }
}

quick_error! {
    /// The restored entries do not form a valid log.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum RestoredError {
        /// The index of an entry does not follow the index of the previous entry.
        Gap(expected: u64, found: u64) {
            display("log contains entry {found} where entry {expected} is expected: \
                start with an empty disk and rejoin the group")
        }
        /// The term of an entry is lower than the term of the previous entry.
        TermDecreases(index: u64) {
            display("term decreases at entry {index}: start with an empty disk and rejoin the group")
        }
    }
}
