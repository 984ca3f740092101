//! A day is a function of its site and its script: another process, whose hash maps have other seeds, must
//! produce the same day.

mod digested;

use std::process::Command;

use digested::{digests, Day};
use simulation::script::Script;
use simulation::site::Site;

/// Set in the child process, which only simulates and prints.
const CHILD_VARIABLE: &str = "SIMULATION_TEST_ONLY_PRINTS";
/// Marks the lines to compare, since the test harness prints lines of its own.
const LINE_PREFIX: &str = "played: ";

/// The first four days once had two outcomes, because services of a configuration were visited in hash map
/// order.
fn days() -> Vec<Day> {
    let (small, five) = (Site::small(), Site::five());
    vec![
        Day::new("normal", 12, &small, Script::draw(&small, 12)),
        Day::new("normal", 29, &small, Script::draw(&small, 29)),
        Day::new("harsh", 5, &small, Script::draw_harsh(&small, 5)),
        Day::new("harsh", 6, &small, Script::draw_harsh(&small, 6)),
        Day::new("five", 5, &five, Script::draw(&five, 5)),
        Day::new("five", 6, &five, Script::draw(&five, 6)),
    ]
}

fn digests_of_child_process(test: &str) -> Vec<String> {
    let program = std::env::current_exe().expect("the path of the test executable is known");
    let output = Command::new(program)
        .args(["--exact", test, "--nocapture"])
        .env(CHILD_VARIABLE, "1")
        .output()
        .expect("the test executable can be started");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let printed = String::from_utf8(output.stdout).expect("the output is UTF-8");
    printed.lines().filter_map(|line| Some(line.split_once(LINE_PREFIX)?.1.to_owned())).collect()
}

#[test]
fn other_processes_produce_the_same_days() {
    const TEST: &str = "other_processes_produce_the_same_days";
    let here = digests(&days());
    if std::env::var_os(CHILD_VARIABLE).is_some() {
        // The harness has printed the start of a line.
        println!();
        here.iter().for_each(|line| println!("{LINE_PREFIX}{line}"));
        return;
    }
    for _ in 0..2 {
        assert_eq!(digests_of_child_process(TEST), here);
    }
}
