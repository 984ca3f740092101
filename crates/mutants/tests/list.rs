//! Checks that each change of the list applies to its file and names an existing test.

use mutants::mutants;
use std::collections::BTreeSet;
use std::path::Path;

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

#[test]
fn every_change_applies_once_to_its_file_and_alters_it() {
    for mutant in mutants() {
        let original = std::fs::read_to_string(root().join(mutant.file)).expect(mutant.file);
        let changed = mutant.apply(&original).unwrap_or_else(|error| panic!("{error}"));
        assert_ne!(changed, original, "{}", mutant.name);
    }
}

#[test]
fn every_change_names_an_existing_test() {
    for mutant in mutants() {
        let arguments: Vec<&str> = mutant.test.split(' ').collect();
        let [_, package, _, test, test_names @ ..] = arguments.as_slice() else {
            panic!("{}: {:?} is no `-p PACKAGE --test FILE [NAME]`", mutant.name, mutant.test)
        };
        let path = root().join(format!("crates/{package}/tests/{test}.rs"));
        let text =
            std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        for name in test_names {
            assert!(
                text.contains(&format!("fn {name}")),
                "{}: no test {name} in {}",
                mutant.name,
                path.display()
            );
        }
    }
}

#[test]
fn names_are_unique_and_every_point_has_changes() {
    let names: BTreeSet<&str> = mutants().iter().map(|mutant| mutant.name).collect();
    assert_eq!(names.len(), mutants().len());
    let points: BTreeSet<u8> = mutants().iter().map(|mutant| mutant.point).collect();
    assert_eq!(points, BTreeSet::from([1, 2, 3, 4, 5, 6, 7]));
}
