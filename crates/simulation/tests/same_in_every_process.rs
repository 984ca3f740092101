//! A day is a function of its site and its script: another process, whose hash maps have other seeds, must
//! produce the same day.

mod digested;

use std::process::Command;

use digested::{digests, Day};
use simulation::script::Script;
use simulation::site::Site;

/// Set in the child process, which only simulates and prints.
const ONLY_PRINTS: &str = "SIMULATION_TEST_ONLY_PRINTS";
/// Marks the lines to compare, since the test harness prints lines of its own.
const MARK: &str = "played: ";

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

fn digests_of_another_process(test: &str) -> Vec<String> {
    let program = std::env::current_exe().expect("a test knows its own program");
    let output = Command::new(program)
        .args(["--exact", test, "--nocapture"])
        .env(ONLY_PRINTS, "1")
        .output()
        .expect("a test's program can be started again");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let printed = String::from_utf8(output.stdout).expect("digests are printed as text");
    printed.lines().filter_map(|line| Some(line.split_once(MARK)?.1.to_owned())).collect()
}

#[test]
fn another_process_plays_the_same_days() {
    const TEST: &str = "another_process_plays_the_same_days";
    let here = digests(&days());
    if std::env::var_os(ONLY_PRINTS).is_some() {
        // The harness has printed the start of a line.
        println!();
        here.iter().for_each(|line| println!("{MARK}{line}"));
        return;
    }
    for _ in 0..2 {
        assert_eq!(digests_of_another_process(TEST), here);
    }
}
