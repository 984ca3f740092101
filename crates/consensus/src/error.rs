//! Errors of what the caller hands in at start.

use quick_error::quick_error;

quick_error! {
    /// Options that cannot work together.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum OptionsError {
        /// Followers would time out between two heartbeats.
        Heartbeat(heartbeat: u64, election_timeout: u64) {
            display("heartbeat of {heartbeat} ns is over a third of the election timeout of {election_timeout} ns: \
                shorten the heartbeat or lengthen the timeout")
        }
        /// Leases would lapse between two heartbeats, or voters would stand while they give no vote.
        VotePause(vote_pause: u64, heartbeat: u64, election_timeout: u64) {
            display("vote pause of {vote_pause} ns is not between two heartbeats of {heartbeat} ns and the election \
                timeout of {election_timeout} ns: choose one that is")
        }
        /// The lease would never begin, or end too late for clocks that run at different rates.
        LeaseMargin(margin: u64, vote_pause: u64) {
            display("lease margin of {margin} ns is not between a twenty-fifth of the vote pause of {vote_pause} ns \
                and all of it: choose one that is")
        }
        /// A bound that must be positive is 0.
        Zero(name: &'static str) {
            display("{name} is 0: set it to at least 1")
        }
    }
}

quick_error! {
    /// A disk's contents that are not one log.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum RestoredError {
        /// An entry does not follow the one before it.
        Gap(expected: u64, found: u64) {
            display("entry {found} stands where entry {expected} should: \
                start with an empty disk and join the group anew")
        }
        /// An entry's term is below that of the one before it.
        TermFalls(index: u64) {
            display("the term falls at entry {index}: start with an empty disk and join the group anew")
        }
    }
}
