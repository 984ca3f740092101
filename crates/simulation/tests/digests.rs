//! Pins the behaviour of the system on fifty days: the digest of each day's history must equal the one in
//! `fixtures/digests.txt`.
//!
//! A change that must not alter behaviour leaves the file as it is. A change that alters a decision, a
//! message, a log record or a time on purpose rewrites the file and says so in its commit: `WRITE_DIGESTS=1
//! cargo test -p simulation --test digests`.

mod digested;

use std::fs;
use std::path::Path;

use digested::{digests, Day};
use simulation::script::Script;
use simulation::site::Site;

const PINNED: &str = include_str!("fixtures/digests.txt");
/// If set, the digests are written instead of compared.
const WRITE_VARIABLE: &str = "WRITE_DIGESTS";
const NORMAL_DAYS: u64 = 36;
const HARSH_DAYS: u64 = 8;
const FIVE_CORE_DAYS: u64 = 6;

fn days() -> Vec<Day> {
    let (small, five) = (Site::small(), Site::five());
    let normal = (1..=NORMAL_DAYS).map(|seed| Day::new("normal", seed, &small, Script::draw(&small, seed)));
    let harsh =
        (1..=HARSH_DAYS).map(|seed| Day::new("harsh", seed, &small, Script::draw_harsh(&small, seed)));
    let with_five_cores =
        (1..=FIVE_CORE_DAYS).map(|seed| Day::new("five", seed, &five, Script::draw(&five, seed)));
    normal.chain(harsh).chain(with_five_cores).collect()
}

#[test]
fn days_match_pinned_digests() {
    let played = digests(&days());
    if std::env::var_os(WRITE_VARIABLE).is_some() {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/digests.txt");
        fs::write(&path, played.join("\n") + "\n").expect("the digests can be written");
        return;
    }
    let pinned: Vec<&str> = PINNED.lines().collect();
    assert_eq!(pinned.len(), played.len(), "the file must have a line for each day");
    let differing: Vec<&String> = played
        .iter()
        .zip(&pinned)
        .filter(|(played, pinned)| played != *pinned)
        .map(|(line, _)| line)
        .collect();
    assert!(
        differing.is_empty(),
        "{} of {} days differ from their pinned digests: {differing:#?}",
        differing.len(),
        played.len()
    );
}
