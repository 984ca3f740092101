//! Full disks, failing syncs, kills and power losses at chosen points.

mod support;

use storage::model::ModelDirectory;
use storage::{Directory, Identity, Recovered, StorageError, Store, StoreOptions, WriteBatch};
use support::*;

/// Number of seeds; enough for every possible effect of a power loss to occur.
const SEEDS: u64 = 200;

#[test]
fn full_disk_rejects_batches_until_space_is_freed() {
    let disk = ModelDirectory::new(1);
    let (mut store, _) = open(disk.clone());
    store.write(&append(1..=2, 1)).expect("append");
    let used = disk.used_bytes();
    disk.set_capacity(Some(used + 20));
    let error = store.write(&append(3..=5, 1)).expect_err("full");
    assert!(error.is_full(), "{error}");
    assert!(error.to_string().contains("free space"), "{error}");
    assert_eq!(disk.used_bytes(), used);
    assert_eq!(store.last_index(), 2);
    disk.set_capacity(None);
    store.write(&append(3..=3, 2)).expect("append");
    disk.lose_power();
    assert_eq!(open(disk).1.entries, [entry(1, 1), entry(2, 1), entry(3, 2)]);
}

#[test]
fn write_without_space_for_new_segment_fails_until_space_is_freed() {
    let disk = ModelDirectory::new(1);
    let (mut store, _) = open(disk.clone());
    store.write(&append(1..=10, 1)).expect("append");
    disk.set_capacity(Some(disk.used_bytes() + 10));
    assert!(store.write(&append(11..=11, 1)).expect_err("full").is_full());
    assert_eq!(segments(&disk).len(), 1);
    disk.set_capacity(None);
    store.write(&append(11..=11, 1)).expect("append");
    assert_eq!(segments(&disk).len(), 2);
    disk.lose_power();
    assert_eq!(open(disk).1.entries, entries(1..=11, 1));
}

#[test]
fn full_disk_rejects_snapshot_and_frees_its_space() {
    let disk = ModelDirectory::new(1);
    let (mut store, _) = open(disk.clone());
    store.write(&append(1..=2, 1)).expect("append");
    let used = disk.used_bytes();
    disk.set_capacity(Some(used + 50));
    assert!(store.save_snapshot(&snapshot(2, 1)).expect_err("full").is_full());
    assert_eq!(disk.used_bytes(), used);
    disk.set_capacity(None);
    store.save_snapshot(&snapshot(2, 1)).expect("snapshot");
    disk.lose_power();
    assert_eq!(open(disk).1.snapshot, Some(snapshot(2, 1)));
}

#[test]
fn batch_with_failed_sync_does_not_reappear_after_next_write() {
    for seed in 0..SEEDS {
        let disk = ModelDirectory::new(seed);
        let (mut store, _) = open(disk.clone());
        store.write(&append(1..=2, 1)).expect("append");
        // With one failure, the following truncation is synced. With two, the next write repeats the
        // truncation.
        disk.fail_syncs(0, 1 + seed % 2);
        let error = store.write(&append(3..=6, 1)).expect_err("sync fails");
        assert!(matches!(error, StorageError::Io { .. }), "{error}");
        store.write(&append(3..=3, 2)).expect("append");
        disk.lose_power();
        assert_eq!(open(disk).1.entries, [entry(1, 1), entry(2, 1), entry(3, 2)]);
    }
}

#[test]
fn writes_fail_until_truncation_is_durable() {
    let disk = ModelDirectory::new(1);
    let (mut store, _) = open(disk.clone());
    store.write(&append(1..=2, 1)).expect("append");
    disk.fail_syncs(0, 4);
    for _ in 0..3 {
        store.write(&append(3..=3, 1)).expect_err("sync fails");
    }
    assert_eq!(store.last_index(), 2);
    store.write(&append(3..=3, 5)).expect("append");
    disk.lose_power();
    assert_eq!(open(disk).1.entries.last(), Some(&entry(3, 5)));
}

/// If the sync of a new segment fails, the segment must not be found after a restart: a torn tail of the
/// previous segment would then be reported as damage.
#[test]
fn segment_with_failed_sync_does_not_reappear() {
    let large = StoreOptions { segment_bytes: 1 << 20 };
    for seed in 0..SEEDS {
        // The sync of the file or of the directory fails. With two failures, the first attempt to remove the
        // segment fails too.
        for (successes, failures) in [(0, 1), (0, 2), (1, 1), (1, 2)] {
            let disk = ModelDirectory::new(seed);
            let (mut store, _) = open(disk.clone());
            store.write(&append(1..=10, 1)).expect("append");
            disk.fail_syncs(successes, failures);
            store.write(&append(11..=11, 1)).expect_err("sync fails");
            // With or without a restart, the next write goes to the old segment and may be torn.
            if seed % 2 == 0 {
                disk.kill();
                store = Store::open(disk.clone(), large).expect("open").0;
            }
            disk.halt_after(seed % 10);
            let result = store.write(&append(11..=11, 2));
            disk.lose_power();
            let (_, recovered) = open(disk);
            let with_entry = [entries(1..=10, 1), entries(11..=11, 2)].concat();
            assert!(
                recovered.entries == with_entry || (result.is_err() && recovered.entries == with_entry[..10])
            );
        }
    }
}

#[test]
fn snapshot_with_failed_sync_does_not_reappear() {
    for seed in 0..SEEDS {
        let disk = ModelDirectory::new(seed);
        let (mut store, _) = open(disk.clone());
        store.write(&append(1..=10, 1)).expect("append");
        // The snapshot has a conflicting term, so it would replace the complete log. The syncs of the new
        // segment and of the snapshot file succeed. The sync of the directory fails, as do the first attempts
        // to remove the snapshot.
        disk.fail_syncs(3, 1 + seed % 3);
        store.save_snapshot(&snapshot(5, 2)).expect_err("sync fails");
        while store.write(&append(11..=12, 1)).is_err() {}
        disk.lose_power();
        let (_, recovered) = open(disk);
        assert_eq!(recovered.snapshot, None);
        assert_eq!(recovered.entries, entries(1..=12, 1));
    }
}

/// A killed process leaves unsynced writes in the page cache. Recovery reads them and must make them durable.
#[test]
fn state_recovered_after_kill_survives_power_loss() {
    for seed in 0..SEEDS {
        let disk = ModelDirectory::new(seed);
        let (mut store, _) = open(disk.clone());
        store.write(&append(1..=2, 1)).expect("append");
        disk.halt_after(seed % 3);
        let batch = WriteBatch { truncate_from: Some(2), entries: entries(2..=4, 2), ..vote(2, Some(1)) };
        let _ = store.write(&batch);
        disk.kill();
        let (_, recovered) = open(disk.clone());
        disk.lose_power();
        assert_eq!(open(disk).1, recovered);
    }
}

/// After a kill, recovery may find a snapshot whose name is not durable yet. The files that the snapshot
/// replaces must not be removed before the name is durable.
#[test]
fn directory_opens_after_power_loss_during_restart_after_kill() {
    const SNAPSHOT_OPERATIONS: u64 = 12;
    const START_OPERATIONS: u64 = 10;
    for snapshot_halted_at in 0..SNAPSHOT_OPERATIONS {
        for start_halted_at in 0..START_OPERATIONS {
            for seed in 0..50 {
                let disk = ModelDirectory::new(seed);
                let (mut store, _) = open(disk.clone());
                for index in 1..=30 {
                    store.write(&append(index..=index, 1)).expect("append");
                }
                disk.halt_after(snapshot_halted_at);
                let _ = store.save_snapshot(&snapshot(25, 2));
                disk.kill();
                disk.halt_after(start_halted_at);
                let _ = Store::open(disk.clone(), SMALL);
                disk.lose_power();
                let (_, recovered) = open(disk);
                let has_snapshot =
                    recovered.snapshot == Some(snapshot(25, 2)) && recovered.entries.is_empty();
                let has_old_log = recovered.snapshot.is_none() && recovered.entries == entries(1..=30, 1);
                assert!(has_snapshot || has_old_log, "{recovered:?}");
            }
        }
    }
}

#[test]
fn directory_opens_after_interrupted_first_start() {
    for seed in 0..SEEDS {
        for operations in 0..6 {
            let disk = ModelDirectory::new(seed);
            disk.halt_after(operations);
            let opened = Store::open(disk.clone(), SMALL);
            disk.lose_power();
            let (mut store, recovered) = open(disk.clone());
            assert_eq!(recovered.entries, []);
            drop(opened);
            store.write_identity(&Identity { node_id: 5 }).expect("identity");
            disk.lose_power();
            assert_eq!(open(disk).1.identity, Some(Identity { node_id: 5 }));
        }
    }
}

#[test]
fn erased_disk_opens_as_new_store() {
    let disk = ModelDirectory::new(1);
    let (mut store, _) = open(disk.clone());
    store.write_identity(&Identity { node_id: 5 }).expect("identity");
    disk.erase();
    assert!(store.write(&append(1..=1, 1)).is_err());
    let (_, recovered) = open(disk.clone());
    assert_eq!(recovered, Recovered::default());
    assert_eq!(names(&disk).len(), 1);
}

/// Checks the model itself: unsynced writes are kept, lost or torn, and synced writes are always kept.
#[test]
fn model_keeps_loses_and_tears_unsynced_writes() {
    let mut kept = 0;
    let mut lost = 0;
    let mut torn = 0;
    for seed in 0..SEEDS {
        let disk = ModelDirectory::new(seed);
        let mut file = disk.create("a").expect("create");
        disk.append(&mut file, b"synced").expect("append");
        disk.sync(&mut file).expect("sync");
        disk.sync_directory().expect("sync the directory");
        disk.append(&mut file, b" and not").expect("append");
        disk.lose_power();
        assert!(disk.append(&mut file, b"x").is_err());
        let content = disk.read("a").expect("read");
        assert!(content.starts_with(b"synced"));
        match content.as_slice() {
            b"synced" => lost += 1,
            b"synced and not" => kept += 1,
            _ => torn += 1,
        }
    }
    assert!(kept > 10 && lost > 10 && torn > 10, "{kept} kept, {lost} lost, {torn} torn");
}

#[test]
fn model_keeps_and_loses_unsynced_names() {
    let mut found = std::collections::BTreeSet::new();
    for seed in 0..SEEDS {
        let disk = ModelDirectory::new(seed);
        for name in ["a", "b"] {
            let mut file = disk.create(name).expect("create");
            disk.append(&mut file, name.as_bytes()).expect("append");
            disk.sync(&mut file).expect("sync");
        }
        disk.sync_directory().expect("sync the directory");
        disk.rename("a", "c").expect("rename");
        disk.remove("b").expect("remove");
        disk.lose_power();
        found.insert(names(&disk).concat());
    }
    let expected = ["", "a", "ab", "abc", "ac", "b", "bc", "c"];
    assert!(found.iter().eq(expected.iter()), "{found:?}");
}
