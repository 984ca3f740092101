//! Child processes of the demonstration.

use demo::children::Children;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::thread::yield_now;

/// A program that writes its process ID to its log and runs until it is killed.
const PROGRAM: &str = "#!/bin/sh\necho $$ >&2\nexec sleep 600\n";

fn directory() -> PathBuf {
    let directory = std::env::temp_dir().join(format!("sprucehatch-children-{}", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    directory
}

fn write_program(directory: &Path) -> PathBuf {
    let program = directory.join("program.sh");
    fs::write(&program, PROGRAM).unwrap();
    fs::set_permissions(&program, fs::Permissions::from_mode(0o755)).unwrap();
    program
}

/// Waits until the program has written its process ID to its log and returns the ID.
fn wait_for_process_id(log: &Path) -> String {
    loop {
        let text = fs::read_to_string(log).unwrap();
        if let Some(process_id) = text.strip_suffix('\n') {
            return process_id.to_owned();
        }
        yield_now();
    }
}

#[test]
fn kill_does_not_wait_for_child_to_end() {
    let directory = directory();
    let mut children = Children::default();
    children.start(&write_program(&directory), "control", &directory.join("core-1.json")).unwrap();
    let process_id = wait_for_process_id(&directory.join("core-1.log"));
    let process = Path::new("/proc").join(process_id);

    children.kill("core-1").unwrap();
    assert!(process.exists(), "kill waited for the end of the child");
    assert!(children.check().is_ok(), "check reported a killed child");

    drop(children);
    assert!(!process.exists(), "drop did not wait for the end of the child");
    fs::remove_dir_all(directory).unwrap();
}
