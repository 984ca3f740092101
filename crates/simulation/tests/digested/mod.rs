//! Days and the digests of their histories.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;

use simulation::day::digest;
use simulation::script::Script;
use simulation::site::Site;

/// A named day.
pub struct Day {
    name: String,
    site: Site,
    script: Script,
}

impl Day {
    /// A day of this kind, drawn from this seed.
    pub fn new(kind: &str, seed: u64, site: &Site, script: Script) -> Self {
        Day { name: format!("{kind} {seed}"), site: site.clone(), script }
    }
}

/// One line per day. Days are simulated in parallel on all processors.
pub fn digests(days: &[Day]) -> Vec<String> {
    let next = AtomicUsize::new(0);
    let lines = Mutex::new(vec![String::new(); days.len()]);
    let threads = thread::available_parallelism().map_or(1, usize::from).min(days.len());
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let position = next.fetch_add(1, Ordering::Relaxed);
                let Some(day) = days.get(position) else { return };
                let line = format!("{} {}", day.name, digest(&day.site, &day.script));
                lines.lock().expect("no thread panics while it holds the lock")[position] = line;
            });
        }
    });
    lines.into_inner().expect("no thread panics while it holds the lock")
}
