//! Memory of the state and of the leader, by what further copies of them add to this process.

use std::fs;

use messages::job::SchedulerSnapshot;
use scheduler::leader::{Input, Leader};
use scheduler::state::State;

use configuration::Instance;

/// Copies that are measured.
const COPIES: usize = 16;
/// Copies of the state that are made before, to fill the holes that the run has left in memory.
const FILLERS: usize = 64;
/// Bytes of a page of memory.
const PAGE_BYTES: f64 = 4_096.0;
const MEGABYTE: f64 = 1_000_000.0;

/// Memory in megabytes (10^6 bytes).
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    /// One copy of the replicated state.
    pub state_mb: f64,
    /// One leader beside its state, after it has taken over and read the platform's list.
    pub leader_mb: f64,
    /// This whole process, with all hollow workers and the core.
    pub process_mb: f64,
}

/// Measures by making copies. `lead` makes a leader over a state.
pub fn measure(
    snapshot: &SchedulerSnapshot,
    instances: &[Instance],
    now: u64,
    lead: impl Fn(&State) -> Leader,
) -> Memory {
    let process_mb = resident_mb();
    let restore = |_| State::restore(snapshot).expect("a snapshot that was just taken is whole");
    let fillers: Vec<State> = (0..FILLERS).map(restore).collect();
    let before = resident_mb();
    let states: Vec<State> = (0..COPIES).map(restore).collect();
    let with_states = resident_mb();
    let leaders: Vec<Leader> = states.iter().map(|state| led(state, instances, now, &lead)).collect();
    let with_leaders = resident_mb();
    drop((leaders, fillers));
    Memory {
        state_mb: (with_states - before) / COPIES as f64,
        leader_mb: (with_leaders - with_states) / COPIES as f64,
        process_mb,
    }
}

fn led(state: &State, instances: &[Instance], now: u64, lead: &impl Fn(&State) -> Leader) -> Leader {
    let mut leader = lead(state);
    let mut outputs = Vec::new();
    leader.handle(state, now, Input::Instances { instances: instances.to_vec() }, &mut outputs);
    leader
}

/// Resident memory of this process in megabytes; 0 where it cannot be read.
fn resident_mb() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES / MEGABYTE
}
