//! Inspection of a directory verifies every file and does not change any.

mod support;

use storage::{
    inspect, FileContent, HardState, Identity, Inspection, SegmentHealth, Store, StoreOptions, StoredEntry,
    StoredSnapshot, WriteBatch,
};
use storage::{Directory, StorageError};
use support::{Fixture, ModelFixture, SMALL};

fn entry(index: u64) -> StoredEntry {
    StoredEntry { index, term: 2, kind: 1, payload: vec![7; 40] }
}

fn batch(entries: Vec<StoredEntry>) -> WriteBatch {
    WriteBatch { hard_state: Some(HardState { term: 2, vote: Some(5) }), truncate_from: None, entries }
}

/// A directory with a snapshot up to entry 6 and entries up to 12. Small segments give several segment files.
fn filled_directory(options: StoreOptions) -> ModelFixture {
    let fixture = ModelFixture::new();
    let (mut store, _) = Store::open(fixture.directory(), options).expect("an empty directory");
    store.write_identity(&Identity { node_id: 5 }).expect("written");
    for index in 1..=12 {
        store.write(&batch(vec![entry(index)])).expect("written");
        if index == 6 {
            let data = std::sync::Arc::new(vec![9; 100]);
            let snapshot = StoredSnapshot { index, term: 2, membership: vec![1], data };
            store.save_snapshot(&snapshot).expect("written");
        }
    }
    fixture
}

fn content<'a>(inspection: &'a Inspection, prefix: &str) -> Vec<&'a FileContent> {
    let of_kind = inspection.files.iter().filter(|file| file.name.starts_with(prefix));
    of_kind.map(|file| &file.content).collect()
}

fn files<D: Directory>(directory: &D) -> Vec<(String, Vec<u8>)> {
    let mut names = directory.list().expect("a list");
    names.sort_unstable();
    names.into_iter().map(|name| (name.clone(), directory.read(&name).expect("a file"))).collect()
}

#[test]
fn inspection_reports_state_that_a_start_would_recover() {
    let fixture = filled_directory(SMALL);
    let directory = fixture.directory();
    let before = files(&directory);
    let inspection = inspect(&directory).expect("inspection");
    assert_eq!(files(&directory), before, "inspection changed a file");

    let log = inspection.log.as_ref().expect("an undamaged log");
    assert_eq!(log.identity, Some(Identity { node_id: 5 }));
    assert_eq!(log.hard_state, HardState { term: 2, vote: Some(5) });
    assert_eq!(log.snapshot.as_ref().map(|snapshot| snapshot.index), Some(6));
    let indices: Vec<u64> = log.entries.iter().map(|entry| entry.index).collect();
    assert_eq!(indices, (7..=12).collect::<Vec<u64>>());
    assert!(!log.truncates_torn_tail && log.leftovers.is_empty());

    assert_eq!(content(&inspection, "identity"), [&FileContent::Identity(Identity { node_id: 5 })]);
    assert!(matches!(
        content(&inspection, "snapshot")[..],
        [FileContent::Snapshot { index: 6, term: 2, data_bytes: 100, .. }]
    ));
    let segments = content(&inspection, "segment");
    assert!(segments.len() > 1, "{segments:?}");
    for segment in segments {
        assert!(matches!(segment, FileContent::Segment { end: SegmentHealth::Complete, .. }), "{segment:?}");
    }
}

#[test]
fn every_damaged_file_is_reported() {
    let fixture = filled_directory(SMALL);
    let directory = fixture.directory();
    for name in directory.list().expect("a list") {
        let undamaged = directory.read(&name).expect("a file");
        let mut damaged = undamaged.clone();
        damaged[25.min(undamaged.len() - 1)] ^= 1;
        rewrite(&directory, &name, &damaged);
        let inspection = inspect(&directory).expect("inspection");
        let found = inspection.files.iter().find(|file| file.name == name).expect("the file");
        match &found.content {
            FileContent::Damaged(_) => {}
            FileContent::Segment { end, .. } => assert_ne!(*end, SegmentHealth::Complete, "{name}"),
            other => panic!("{name} is damaged but reported as {other:?}"),
        }
        let last_segment = inspection.files.iter().rfind(|file| file.name.starts_with("segment"));
        if last_segment.is_none_or(|last| last.name != name) {
            assert!(matches!(inspection.log, Err(StorageError::Corrupt { .. })), "{name}");
        }
        rewrite(&directory, &name, &undamaged);
    }
    assert!(inspect(&directory).expect("inspection").log.is_ok());
}

fn rewrite<D: Directory>(directory: &D, name: &str, bytes: &[u8]) {
    let mut file = directory.open(name).expect("a file");
    directory.truncate(&mut file, 0).expect("truncated");
    directory.append(&mut file, bytes).expect("written");
    directory.sync(&mut file).expect("synced");
}

#[test]
fn torn_tail_is_reported() {
    let fixture = filled_directory(StoreOptions::default());
    let directory = fixture.directory();
    let name = directory.list().expect("a list").into_iter().filter(|name| name.starts_with("segment")).max();
    let mut file = directory.open(&name.expect("a segment")).expect("a file");
    directory.append(&mut file, &[0; 5]).expect("written");
    let inspection = inspect(&directory).expect("inspection");
    assert!(inspection.log.expect("an undamaged log").truncates_torn_tail);
}

#[test]
fn foreign_and_temporary_files_are_distinguished() {
    let fixture = filled_directory(StoreOptions::default());
    let directory = fixture.directory();
    directory.create("notes.txt").expect("created");
    directory.create("identity.tmp").expect("created");
    let inspection = inspect(&directory).expect("inspection");
    assert_eq!(content(&inspection, "notes"), [&FileContent::Foreign]);
    assert!(content(&inspection, "identity").contains(&&FileContent::Temporary));
    assert_eq!(inspection.log.expect("an undamaged log").leftovers, ["identity.tmp"]);
}
