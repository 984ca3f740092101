//! Ends of attempts with long checkpoints: no command of the leader may be too long for a frame.

mod cluster;

use cluster::Cluster;
use messages::job::{JobSpec, Stage};

const JOB: u64 = 0x10;
const TASKS: u32 = 520;
const CHECKPOINT_BYTES: usize = 20_000;
/// Far below the longest frame, so that an entry has room for more than one command.
const MAX_COMMAND_BYTES: usize = 1024 * 1024;

/// The ends of a worker that was cut off, with their checkpoints, were one command of over 8 MB. No other core process
/// took it, and each next leader got the same list.
#[test]
fn ends_of_a_worker_with_long_checkpoints_make_no_long_command() {
    let mut cluster = Cluster::new(1);
    cluster.run_for_ms(1_500);
    let stage = Stage {
        count: TASKS,
        cpu: 5,
        mem_mb: 1,
        est_runtime_ms: 20_000,
        checkpoints: true,
        ..Stage::default()
    };
    cluster.send_job(
        "/a/",
        JOB,
        JobSpec { spec: "text".to_owned(), stages: vec![stage], ..JobSpec::default() },
    );
    assert!(cluster.run_until(5_000, |cluster| cluster.running() == TASKS as usize), "{}", cluster.running());
    cluster.workers.get_mut("i-0").expect("the worker").is_unreachable = true;
    cluster.run_for_ms(8_000);
    let now = cluster.now;
    let worker = cluster.workers.get_mut("i-0").expect("the worker");
    worker.enforce_lease(now);
    worker.finished.iter_mut().for_each(|end| end.checkpoint = "c".repeat(CHECKPOINT_BYTES));
    assert_eq!(worker.finished.len(), TASKS as usize);
    worker.is_unreachable = false;
    cluster.largest_command_bytes = 0;
    let are_acknowledged = |cluster: &Cluster| cluster.workers["i-0"].finished.is_empty();
    assert!(cluster.run_until(5_000, are_acknowledged), "the ends are not acknowledged");
    let longest = cluster.largest_command_bytes;
    assert!((CHECKPOINT_BYTES..=MAX_COMMAND_BYTES).contains(&longest), "{longest} bytes");
    cluster.assert_no_violations();
}
