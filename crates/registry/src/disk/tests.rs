use super::*;
use crate::store::tests::target;
use std::sync::atomic::{AtomicU64, Ordering};

static NEXT_FOLDER_NUMBER: AtomicU64 = AtomicU64::new(0);

/// A folder for one test, removed when dropped.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new() -> Self {
        let number = NEXT_FOLDER_NUMBER.fetch_add(1, Ordering::Relaxed);
        TestFolder(std::env::temp_dir().join(format!("sprucehatch-registry-{}-{number}", std::process::id())))
    }

    fn log(&self) -> Vec<u8> {
        fs::read(self.0.join(LOG)).unwrap()
    }

    fn write_log(&self, text: &[u8]) {
        fs::write(self.0.join(LOG), text).unwrap();
    }

    fn open(&self) -> Result<SavedList, String> {
        Disk::open(&self.0, 100).map(|(_, list)| list).map_err(|e| e.to_string())
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn put(n: u16) -> Change {
    Change::Put { target: target(&format!("s{}", n % 3), n, u64::from(n)), lease_ms: 1000 }
}

fn changes() -> Vec<Change> {
    vec![put(1), put(2), Change::Remove { uid: "s1".to_string() }, put(4), put(5)]
}

/// The list after these changes to an empty list.
fn list_after(changes: &[Change]) -> SavedList {
    let mut list = SavedList { rev: 100, entries: Vec::new() };
    let text: Vec<u8> = changes
        .iter()
        .zip(101..)
        .flat_map(|(change, rev)| {
            let payload = serde_json::to_vec(&Record { rev, change: change.clone() }).unwrap();
            [header(&payload).to_vec(), payload].concat()
        })
        .collect();
    replay(&mut list, &text).unwrap();
    list
}

/// Appends the changes. Returns the length of the log at the start and after each change.
fn append_all(folder: &TestFolder, changes: &[Change]) -> Vec<usize> {
    let (mut disk, list) = Disk::open(&folder.0, 100).unwrap();
    let mut ends = vec![folder.log().len()];
    for (change, rev) in changes.iter().zip(list.rev + 1..) {
        disk.append(rev, change).unwrap();
        ends.push(folder.log().len());
    }
    ends
}

#[test]
fn log_truncated_at_any_byte_yields_the_complete_records_and_accepts_appends() {
    let (folder, changes) = (TestFolder::new(), changes());
    let ends = append_all(&folder, &changes);
    let text = folder.log();
    for cut in 0..=text.len() {
        folder.write_log(&text[..cut]);
        let complete = ends.iter().filter(|end| **end <= cut).count() - 1;
        assert_eq!(folder.open().unwrap(), list_after(&changes[..complete]), "cut at {cut}");
        assert_eq!(folder.log().len(), ends[complete], "the torn end was truncated");
        append_all(&folder, &changes[complete..]);
        assert_eq!(folder.open().unwrap(), list_after(&changes), "cut at {cut}, after more appends");
    }
    // A file that has its new length but zeros instead of the written bytes.
    folder.write_log(&[&text[..], &[0; 40]].concat());
    assert_eq!(folder.open().unwrap(), list_after(&changes));
}

#[test]
fn flipped_bit_is_reported_as_damage_or_loses_only_the_last_record() {
    let (folder, changes) = (TestFolder::new(), changes());
    let ends = append_all(&folder, &changes);
    let text = folder.log();
    let last = ends[changes.len() - 1];
    for bit in 0..text.len() * 8 {
        let mut flipped = text.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        folder.write_log(&flipped);
        match folder.open() {
            Err(why) => assert!(why.contains("damaged"), "bit {bit}: {why}"),
            Ok(list) => {
                assert!(bit / 8 >= last, "bit {bit} before the last record");
                assert_eq!(list, list_after(&changes[..changes.len() - 1]), "bit {bit}");
            }
        }
        assert_eq!(
            folder.log().len(),
            if bit / 8 < last + HEADER_BYTES { text.len() } else { last },
            "bit {bit}"
        );
    }
}

#[test]
fn snapshot_replaces_the_log_and_a_crash_in_between_is_harmless() {
    let (folder, changes) = (TestFolder::new(), changes());
    append_all(&folder, &changes);
    let log = folder.log();
    let (mut disk, list) = Disk::open(&folder.0, 100).unwrap();
    disk.snapshot(&list).unwrap();
    assert_eq!((folder.log().len(), folder.open().unwrap()), (0, list_after(&changes)));
    // A crash before the log was truncated: the snapshot already contains its records.
    folder.write_log(&log);
    assert_eq!(folder.open().unwrap(), list_after(&changes));
    // An unfinished temporary snapshot is ignored.
    fs::write(folder.0.join("snapshot.new"), b"half").unwrap();
    assert_eq!(folder.open().unwrap(), list_after(&changes));
    for cut in 0..fs::read(folder.0.join(SNAPSHOT)).unwrap().len() {
        let snapshot = fs::read(folder.0.join(SNAPSHOT)).unwrap();
        fs::write(folder.0.join(SNAPSHOT), &snapshot[..cut]).unwrap();
        assert!(folder.open().unwrap_err().contains("damaged"), "cut at {cut}");
        fs::write(folder.0.join(SNAPSHOT), &snapshot).unwrap();
    }
}

#[test]
fn missing_snapshot_or_missing_version_is_an_error() {
    let (folder, changes) = (TestFolder::new(), changes());
    let ends = append_all(&folder, &changes);
    let text = folder.log();
    folder.write_log(&[&text[..ends[1]], &text[ends[2]..]].concat());
    assert!(folder.open().unwrap_err().contains("lacks version 102"));
    folder.write_log(&text);
    fs::remove_file(folder.0.join(SNAPSHOT)).unwrap();
    assert!(folder.open().unwrap_err().contains("no snapshot"));
}

/// A write fails, as on a full disk: the change is refused, earlier changes are kept, and appends succeed
/// again once writes do.
#[test]
fn failed_write_has_no_effect_and_later_appends_succeed() {
    let (folder, changes) = (TestFolder::new(), changes());
    let (mut disk, _) = Disk::open(&folder.0, 100).unwrap();
    disk.append(101, &changes[0]).unwrap();
    let end = folder.log().len();
    let log = std::mem::replace(&mut disk.log, File::open(folder.0.join(LOG)).unwrap());
    assert!(disk.append(102, &changes[1]).is_err() && disk.append(102, &changes[1]).is_err());
    // The failed write left a partial record behind.
    disk.log = log;
    fs::write(folder.0.join(LOG), [&folder.log()[..], b"half"].concat()).unwrap();
    disk.append(102, &changes[1]).unwrap();
    assert!(folder.log().len() > end);
    assert_eq!(folder.open().unwrap(), list_after(&changes[..2]));
}
