//! Writes entries and a snapshot to a directory, then opens the directory again as after a restart.

use std::error::Error;
use std::path::PathBuf;
use std::sync::Arc;

use storage::{FileDirectory, Identity, Store, StoreOptions, StoredEntry, StoredSnapshot, WriteBatch};

fn main() -> Result<(), Box<dyn Error>> {
    let directory = std::env::args().nth(1).ok_or("usage: append_and_recover FOLDER")?;
    let directory = PathBuf::from(directory);

    let (mut store, recovered) = Store::open(FileDirectory::new(&directory)?, StoreOptions::default())?;
    println!("identity {:?}, {} entries kept", recovered.identity, recovered.entries.len());
    store.write_identity(&Identity { node_id: 7 })?;

    let next = store.last_index() + 1;
    let entries =
        (next..next + 3).map(|index| StoredEntry { index, term: 1, kind: 0, payload: b"job".to_vec() });
    store.write(&WriteBatch { entries: entries.collect(), ..WriteBatch::default() })?;

    let state = Arc::new(b"state after two of them".to_vec());
    let snapshot = StoredSnapshot { index: next + 1, term: 1, membership: Vec::new(), data: state };
    store.save_snapshot(&snapshot)?;
    drop(store);

    let (store, recovered) = Store::open(FileDirectory::new(&directory)?, StoreOptions::default())?;
    println!("snapshot up to {:?}", recovered.snapshot.map(|found| found.index));
    println!(
        "entries after it: {}, bytes on the disk: {}",
        recovered.entries.len(),
        store.disk_usage_bytes()
    );
    Ok(())
}
