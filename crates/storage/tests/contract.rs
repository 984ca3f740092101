//! Contract tests that run on both the directory of the operating system and the simulated directory.

mod support;

use std::io::ErrorKind;

use storage::{Directory, HardState, Identity, Recovered, StorageError, Store, StoreOptions, WriteBatch};
use support::*;

fn create_rejects_existing_name_and_read_returns_all_bytes<F: Fixture>() {
    let fixture = F::new();
    let directory = fixture.directory();
    let mut file = directory.create("a").expect("create");
    assert_eq!(directory.create("a").err().map(|error| error.kind()), Some(ErrorKind::AlreadyExists));
    directory.append(&mut file, b"one ").expect("append");
    directory.append(&mut file, b"two").expect("append");
    directory.sync(&mut file).expect("sync");
    directory.sync_directory().expect("sync the directory");
    assert_eq!(directory.read("a").expect("read"), b"one two");
    assert_eq!(names(&directory), ["a"]);
}

fn append_after_truncation_writes_at_new_end<F: Fixture>() {
    let fixture = F::new();
    let directory = fixture.directory();
    let mut file = directory.create("a").expect("create");
    directory.append(&mut file, b"123456").expect("append");
    directory.truncate(&mut file, 2).expect("truncated");
    directory.append(&mut file, b"x").expect("append");
    let mut again = directory.open("a").expect("open");
    directory.append(&mut again, b"y").expect("append");
    assert_eq!(directory.read("a").expect("read"), b"12xy");
}

fn missing_files_give_not_found<F: Fixture>() {
    let fixture = F::new();
    let directory = fixture.directory();
    let kinds = [
        directory.open("a").err().map(|error| error.kind()),
        directory.read("a").err().map(|error| error.kind()),
        directory.remove("a").err().map(|error| error.kind()),
        directory.rename("a", "b").err().map(|error| error.kind()),
    ];
    assert_eq!(kinds, [Some(ErrorKind::NotFound); 4]);
}

fn rename_replaces_target_and_keeps_open_file_valid<F: Fixture>() {
    let fixture = F::new();
    let directory = fixture.directory();
    let mut old = directory.create("b").expect("create");
    directory.append(&mut old, b"old").expect("append");
    let mut file = directory.create("a").expect("create");
    directory.append(&mut file, b"new").expect("append");
    directory.rename("a", "b").expect("rename");
    directory.append(&mut file, b"er").expect("append");
    assert_eq!(names(&directory), ["b"]);
    assert_eq!(directory.read("b").expect("read"), b"newer");
    directory.remove("b").expect("remove");
    assert!(names(&directory).is_empty());
}

fn new_store_is_empty<F: Fixture>() {
    let fixture = F::new();
    let (store, recovered) = open(fixture.directory());
    assert_eq!(recovered, Recovered::default());
    assert_eq!(store.last_index(), 0);
    drop(store);
    assert_eq!(open(fixture.directory()).1, Recovered::default());
}

fn written_state_is_recovered<F: Fixture>() {
    let fixture = F::new();
    let (mut store, _) = open(fixture.directory());
    store.write_identity(&Identity { node_id: u64::MAX }).expect("identity");
    store.write(&vote(3, Some(9))).expect("vote");
    store.write(&append(1..=2, 3)).expect("append");
    store.write(&append(3..=3, 4)).expect("append");
    drop(store);
    let (store, recovered) = open(fixture.directory());
    assert_eq!(recovered.identity, Some(Identity { node_id: u64::MAX }));
    assert_eq!(recovered.hard_state, HardState { term: 3, vote: Some(9) });
    assert_eq!(recovered.entries, [entry(1, 3), entry(2, 3), entry(3, 4)]);
    assert_eq!(recovered.snapshot, None);
    assert_eq!(store.last_index(), 3);
}

fn identity_can_be_replaced<F: Fixture>() {
    let fixture = F::new();
    let (mut store, _) = open(fixture.directory());
    store.write_identity(&Identity { node_id: 1 }).expect("identity");
    store.write_identity(&Identity { node_id: 2 }).expect("identity");
    drop(store);
    assert_eq!(open(fixture.directory()).1.identity, Some(Identity { node_id: 2 }));
}

fn truncated_entries_are_replaced<F: Fixture>() {
    let fixture = F::new();
    let (mut store, _) = open(fixture.directory());
    store.write(&append(1..=30, 1)).expect("append");
    let batch = WriteBatch { truncate_from: Some(4), entries: entries(4..=5, 2), ..WriteBatch::default() };
    store.write(&batch).expect("replace");
    assert_eq!(store.last_index(), 5);
    drop(store);
    let mut expected = entries(1..=3, 1);
    expected.extend(entries(4..=5, 2));
    assert_eq!(open(fixture.directory()).1.entries, expected);
}

fn truncation_beyond_the_end_changes_nothing<F: Fixture>() {
    let fixture = F::new();
    let (mut store, _) = open(fixture.directory());
    store.write(&append(1..=3, 1)).expect("append");
    let before = store.disk_usage_bytes();
    store.write(&WriteBatch { truncate_from: Some(4), ..WriteBatch::default() }).expect("truncate");
    store.write(&WriteBatch::default()).expect("nothing");
    assert_eq!(store.disk_usage_bytes(), before);
    assert_eq!(store.last_index(), 3);
}

fn batches_that_do_not_continue_the_log_are_rejected<F: Fixture>() {
    let fixture = F::new();
    let (mut store, _) = open(fixture.directory());
    store.write(&append(1..=3, 1)).expect("append");
    for batch in [append(3..=4, 2), append(5..=6, 2)] {
        let error = store.write(&batch).expect_err("out of order");
        assert!(matches!(error, StorageError::OutOfOrder { expected: 4, .. }), "{error}");
    }
    let mut gap = append(4..=6, 1);
    gap.entries.remove(1);
    let error = store.write(&gap).expect_err("gap");
    assert!(matches!(error, StorageError::OutOfOrder { expected: 5, found: 6 }), "{error}");
    store.write(&append(4..=4, 1)).expect("append");
    drop(store);
    assert_eq!(open(fixture.directory()).1.entries, entries(1..=4, 1));
}

fn full_segments_are_followed_by_new_ones_and_read_in_order<F: Fixture>() {
    let fixture = F::new();
    let (mut store, _) = open(fixture.directory());
    store.write(&vote(7, None)).expect("vote");
    for index in 1..=40 {
        store.write(&append(index..=index, 7)).expect("append");
    }
    drop(store);
    assert!(segments(&fixture.directory()).len() > 3);
    let (_, recovered) = open(fixture.directory());
    assert_eq!(recovered.entries, entries(1..=40, 7));
    assert_eq!(recovered.hard_state, HardState { term: 7, vote: None });
}

fn disk_usage_is_total_file_size<F: Fixture>() {
    let fixture = F::new();
    let (mut store, _) = open(fixture.directory());
    store.write_identity(&Identity { node_id: 1 }).expect("identity");
    for index in 1..=20 {
        store.write(&append(index..=index, 1)).expect("append");
    }
    store.save_snapshot(&snapshot(10, 1)).expect("snapshot");
    let directory = fixture.directory();
    let size = |name: &String| directory.read(name).expect("read").len() as u64;
    let total: u64 = names(&directory).iter().map(size).sum();
    assert_eq!(store.disk_usage_bytes(), total);
    drop(store);
    assert_eq!(open(fixture.directory()).0.disk_usage_bytes(), total);
}

fn snapshot_replaces_earlier_log<F: Fixture>() {
    let fixture = F::new();
    let (mut store, _) = open(fixture.directory());
    store.write(&vote(5, Some(2))).expect("vote");
    for index in 1..=40 {
        store.write(&append(index..=index, 5)).expect("append");
    }
    store.save_snapshot(&snapshot(20, 5)).expect("snapshot");
    let before = segments(&fixture.directory());
    store.save_snapshot(&snapshot(35, 5)).expect("snapshot");
    let after = segments(&fixture.directory());
    assert!(after.len() < before.len());
    store.write(&append(41..=41, 5)).expect("append");
    drop(store);
    let (_, recovered) = open(fixture.directory());
    assert_eq!(recovered.snapshot, Some(snapshot(35, 5)));
    assert_eq!(recovered.entries, entries(36..=41, 5));
    assert_eq!(recovered.hard_state, HardState { term: 5, vote: Some(2) });
    let snapshots = names(&fixture.directory()).into_iter().filter(|name| name.starts_with("snapshot-"));
    assert_eq!(snapshots.count(), 1);
}

fn log_continues_after_snapshot_beyond_its_end<F: Fixture>() {
    let fixture = F::new();
    let (mut store, _) = open(fixture.directory());
    store.write(&append(1..=5, 1)).expect("append");
    store.save_snapshot(&snapshot(100, 3)).expect("snapshot");
    assert_eq!(store.last_index(), 100);
    store.write(&append(101..=102, 3)).expect("append");
    drop(store);
    let (store, recovered) = open(fixture.directory());
    assert_eq!(recovered.snapshot, Some(snapshot(100, 3)));
    assert_eq!(recovered.entries, entries(101..=102, 3));
    assert_eq!(store.last_index(), 102);
}

fn snapshot_with_conflicting_term_replaces_complete_log<F: Fixture>() {
    let fixture = F::new();
    let (mut store, _) = open(fixture.directory());
    store.write(&vote(4, Some(1))).expect("vote");
    store.write(&append(1..=10, 1)).expect("append");
    store.save_snapshot(&snapshot(6, 2)).expect("snapshot");
    assert_eq!(store.last_index(), 6);
    store.write(&append(7..=8, 4)).expect("append");
    drop(store);
    let (_, recovered) = open(fixture.directory());
    assert_eq!(recovered.entries, entries(7..=8, 4));
    assert_eq!(recovered.hard_state, HardState { term: 4, vote: Some(1) });
}

fn older_snapshot_is_ignored<F: Fixture>() {
    let fixture = F::new();
    let (mut store, _) = open(fixture.directory());
    store.write(&append(1..=10, 1)).expect("append");
    store.save_snapshot(&snapshot(8, 1)).expect("snapshot");
    store.save_snapshot(&snapshot(6, 1)).expect("older");
    let batch = WriteBatch { truncate_from: Some(5), entries: entries(9..=9, 2), ..WriteBatch::default() };
    store.write(&batch).expect("a truncation does not go below the snapshot");
    drop(store);
    let (_, recovered) = open(fixture.directory());
    assert_eq!(recovered.snapshot, Some(snapshot(8, 1)));
    assert_eq!(recovered.entries, [entry(9, 2)]);
}

fn torn_tail_is_truncated_on_disk<F: Fixture>() {
    let fixture = F::new();
    let directory = fixture.directory();
    let (mut store, _) = open(fixture.directory());
    store.write(&append(1..=2, 1)).expect("append");
    let before = directory.read(&segments(&directory)[0]).expect("read");
    store.write(&append(3..=3, 1)).expect("append");
    drop(store);
    let name = segments(&directory)[0].clone();
    let content = directory.read(&name).expect("read");
    for length in before.len()..content.len() {
        rewrite(&directory, &name, &content[..length]);
        let (mut store, recovered) = open(fixture.directory());
        assert_eq!(recovered.entries, entries(1..=2, 1));
        assert_eq!(directory.read(&name).expect("read"), before);
        store.write(&append(3..=3, 9)).expect("append");
        drop(store);
        assert_eq!(open(fixture.directory()).1.entries.last(), Some(&entry(3, 9)));
    }
}

/// A copy of a valid record at another offset or in another segment must not be accepted as a record.
fn records_copied_from_other_offsets_or_segments_are_rejected<F: Fixture>() {
    let fixture = F::new();
    let directory = fixture.directory();
    let (mut store, _) = open(fixture.directory());
    let name = segments(&directory)[0].clone();
    let start = directory.read(&name).expect("read").len();
    store.write(&vote(1, Some(1))).expect("vote");
    let end = directory.read(&name).expect("read").len();
    store.write(&vote(2, Some(2))).expect("vote");
    drop(store);
    let content = directory.read(&name).expect("read");
    let mut repeated = content.clone();
    repeated.extend_from_slice(&content[start..end]);
    rewrite(&directory, &name, &repeated);
    assert_eq!(open(fixture.directory()).1.hard_state, HardState { term: 2, vote: Some(2) });
    assert_eq!(directory.read(&name).expect("read"), content);

    let (mut store, _) = open(fixture.directory());
    store.write(&append(1..=10, 2)).expect("append");
    store.write(&vote(3, Some(3))).expect("vote in a new segment");
    drop(store);
    let second = segments(&directory)[1].clone();
    let second_content = directory.read(&second).expect("read");
    let mut copied = second_content.clone();
    copied.truncate(start);
    copied.extend_from_slice(&content[start..end]);
    rewrite(&directory, &second, &copied);
    assert_eq!(open(fixture.directory()).1.hard_state, HardState { term: 2, vote: Some(2) });
}

fn incomplete_first_segment_is_recreated<F: Fixture>() {
    let fixture = F::new();
    let directory = fixture.directory();
    drop(open(fixture.directory()));
    let name = segments(&directory)[0].clone();
    let content = directory.read(&name).expect("read");
    for length in 0..content.len() {
        rewrite(&directory, &name, &content[..length]);
        assert_eq!(open(fixture.directory()).1, Recovered::default());
        assert_eq!(directory.read(&name).expect("read"), content);
    }
}

/// A damaged byte in the part that is proven durable is an error. A damaged byte in the last batch loses only
/// that batch.
fn damage_before_the_last_batch_is_an_error<F: Fixture>() {
    let fixture = F::new();
    let directory = fixture.directory();
    let (mut store, _) = Store::open(fixture.directory(), StoreOptions::default()).expect("open");
    store.write(&append(1..=2, 1)).expect("append");
    store.write(&append(3..=4, 1)).expect("append");
    let name = segments(&directory)[0].clone();
    let durable = directory.read(&name).expect("read").len();
    store.write(&append(5..=5, 1)).expect("append");
    drop(store);
    let content = directory.read(&name).expect("read");
    for offset in 0..content.len() {
        damage(&directory, &name, offset);
        if offset < durable {
            let error = open_error(fixture.directory());
            assert!(matches!(error, StorageError::Corrupt { .. }), "{error}");
        } else {
            assert_eq!(open(fixture.directory()).1.entries, entries(1..=4, 1));
        }
        rewrite(&directory, &name, &content);
    }
}

fn damage_before_a_later_segment_is_an_error<F: Fixture>() {
    let fixture = F::new();
    let directory = fixture.directory();
    let (mut store, _) = open(fixture.directory());
    store.write(&append(1..=30, 1)).expect("append");
    store.write(&append(31..=31, 1)).expect("append");
    drop(store);
    let first = segments(&directory)[0].clone();
    assert_eq!(segments(&directory).len(), 2);
    let content = directory.read(&first).expect("read");
    damage(&directory, &first, content.len() - 1);
    let error = open_error(fixture.directory());
    let text = error.to_string();
    assert!(matches!(error, StorageError::Corrupt { .. }), "{text}");
    assert!(
        text.contains(&first) && text.contains("at byte") && text.contains("joins as a new member"),
        "{text}"
    );
    rewrite(&directory, &first, &content[..content.len() - 1]);
    assert!(matches!(open_error(fixture.directory()), StorageError::Corrupt { .. }));
    directory.remove(&first).expect("remove");
    let error = open_error(fixture.directory());
    assert!(matches!(&error, StorageError::Missing { file } if *file == first), "{error}");
}

fn gap_between_segments_is_an_error<F: Fixture>() {
    let fixture = F::new();
    let directory = fixture.directory();
    let (mut store, _) = open(fixture.directory());
    for index in 1..=30 {
        store.write(&append(index..=index, 1)).expect("append");
    }
    drop(store);
    let second = segments(&directory)[1].clone();
    directory.remove(&second).expect("remove");
    let error = open_error(fixture.directory());
    assert!(matches!(&error, StorageError::Missing { file } if *file == second), "{error}");
}

fn identity_without_log_is_an_error<F: Fixture>() {
    let fixture = F::new();
    let directory = fixture.directory();
    let (mut store, _) = open(fixture.directory());
    store.write_identity(&Identity { node_id: 1 }).expect("identity");
    drop(store);
    let segment = segments(&directory)[0].clone();
    directory.remove(&segment).expect("remove");
    assert!(matches!(open_error(fixture.directory()), StorageError::Missing { .. }));
}

fn damaged_snapshot_or_identity_is_an_error<F: Fixture>() {
    let fixture = F::new();
    let directory = fixture.directory();
    let (mut store, _) = open(fixture.directory());
    store.write(&append(1..=2, 1)).expect("append");
    store.write_identity(&Identity { node_id: 1 }).expect("identity");
    store.save_snapshot(&snapshot(1, 1)).expect("snapshot");
    drop(store);
    let files = names(&directory);
    for name in files.iter().filter(|name| !name.starts_with("segment-")) {
        let content = directory.read(name).expect("read");
        for offset in 0..content.len() {
            damage(&directory, name, offset);
            let error = open_error(fixture.directory());
            assert!(matches!(&error, StorageError::Corrupt { file, .. } if file == name), "{error}");
            rewrite(&directory, name, &content);
        }
        rewrite(&directory, name, &content[..content.len() - 1]);
        assert!(matches!(open_error(fixture.directory()), StorageError::Corrupt { .. }));
        rewrite(&directory, name, &content);
    }
    open(fixture.directory());
}

fn leftovers_are_removed_and_foreign_files_are_kept<F: Fixture>() {
    let fixture = F::new();
    let directory = fixture.directory();
    let (mut store, _) = open(fixture.directory());
    store.write(&append(1..=40, 1)).expect("append");
    store.write(&append(41..=42, 1)).expect("append");
    let first = segments(&directory)[0].clone();
    let old_segment = directory.read(&first).expect("read");
    store.save_snapshot(&snapshot(20, 1)).expect("snapshot");
    let old_snapshot = directory.read("snapshot-00000000000000000020").expect("read");
    store.save_snapshot(&snapshot(40, 1)).expect("snapshot");
    drop(store);
    assert!(!segments(&directory).contains(&first));
    let leftovers = [
        (first.as_str(), old_segment.as_slice()),
        ("snapshot-00000000000000000020", &old_snapshot),
        ("snapshot-00000000000000000050.tmp", b"half a snapshot"),
        ("identity.tmp", b""),
    ];
    for (name, content) in leftovers {
        let mut file = directory.create(name).expect("create");
        directory.append(&mut file, content).expect("append");
    }
    let foreign = ["notes.txt", "segment-1", "snapshot-x.tmp"];
    for name in foreign {
        directory.create(name).expect("create");
    }
    let (_, recovered) = open(fixture.directory());
    assert_eq!(recovered.snapshot, Some(snapshot(40, 1)));
    assert_eq!(recovered.entries, entries(41..=42, 1));
    let found = names(&directory);
    assert!(leftovers.iter().all(|(name, _)| !found.iter().any(|other| other == name)), "{found:?}");
    assert!(foreign.iter().all(|name| found.iter().any(|other| other == name)), "{found:?}");
}

fn empty_and_large_payloads_are_recovered<F: Fixture>() {
    let fixture = F::new();
    let (mut store, _) = open(fixture.directory());
    let mut batch = append(1..=3, 1);
    batch.entries[0].payload = Vec::new();
    batch.entries[1].payload = vec![0; 3 << 20];
    batch.entries[2].payload = (0..100_000_u32).flat_map(u32::to_le_bytes).collect();
    store.write(&batch).expect("append");
    drop(store);
    assert_eq!(open(fixture.directory()).1.entries, batch.entries);
}

macro_rules! contract {
    ($module:ident, $fixture:ident, [$($test:ident),* $(,)?]) => {
        mod $module {
            $(
                #[test]
                fn $test() {
                    super::$test::<super::$fixture>();
                }
            )*
        }
    };
}

macro_rules! contracts {
    ($($tests:tt)*) => {
        contract!(file_directory, FileFixture, [$($tests)*]);
        contract!(model_directory, ModelFixture, [$($tests)*]);
    };
}

contracts!(
    create_rejects_existing_name_and_read_returns_all_bytes,
    append_after_truncation_writes_at_new_end,
    missing_files_give_not_found,
    rename_replaces_target_and_keeps_open_file_valid,
    new_store_is_empty,
    written_state_is_recovered,
    identity_can_be_replaced,
    truncated_entries_are_replaced,
    truncation_beyond_the_end_changes_nothing,
    batches_that_do_not_continue_the_log_are_rejected,
    full_segments_are_followed_by_new_ones_and_read_in_order,
    disk_usage_is_total_file_size,
    snapshot_replaces_earlier_log,
    log_continues_after_snapshot_beyond_its_end,
    snapshot_with_conflicting_term_replaces_complete_log,
    older_snapshot_is_ignored,
    torn_tail_is_truncated_on_disk,
    records_copied_from_other_offsets_or_segments_are_rejected,
    incomplete_first_segment_is_recreated,
    damage_before_the_last_batch_is_an_error,
    damage_before_a_later_segment_is_an_error,
    gap_between_segments_is_an_error,
    identity_without_log_is_an_error,
    damaged_snapshot_or_identity_is_an_error,
    leftovers_are_removed_and_foreign_files_are_kept,
    empty_and_large_payloads_are_recovered,
);
