//! Processes of the demonstration as children.

use demo::children::Children;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::thread::yield_now;

/// A program that writes its process identity to its log and runs until it is killed.
const PROGRAM: &str = "#!/bin/sh\necho $$ >&2\nexec sleep 600\n";

fn folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("sprucehatch-children-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn write_program(folder: &Path) -> PathBuf {
    let program = folder.join("program.sh");
    fs::write(&program, PROGRAM).unwrap();
    fs::set_permissions(&program, fs::Permissions::from_mode(0o755)).unwrap();
    program
}

/// The process identity that the program has written to its log.
fn wait_for_identity(log: &Path) -> String {
    loop {
        let text = fs::read_to_string(log).unwrap();
        if let Some(identity) = text.strip_suffix('\n') {
            return identity.to_owned();
        }
        yield_now();
    }
}

#[test]
fn killing_a_child_that_is_slow_to_end_stops_neither_clients_nor_stand_ins() {
    let folder = folder();
    let mut children = Children::default();
    children.start(&write_program(&folder), "control", &folder.join("core-1.json")).unwrap();
    let identity = wait_for_identity(&folder.join("core-1.log"));
    let process = Path::new("/proc").join(identity);

    children.kill("core-1").unwrap();
    assert!(process.exists(), "its end was waited for");
    assert!(children.check().is_ok(), "a child that was killed has not ended by itself");

    drop(children);
    assert!(!process.exists(), "it is waited for at the end");
    fs::remove_dir_all(folder).unwrap();
}
