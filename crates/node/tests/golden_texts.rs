//! The help texts of the program and the names of a core process's metrics do not change: operators and their
//! tools rely on them.

use gateway_test_support::golden::assert_golden;
use gateway_test_support::reserved_address;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_sprucehatch-node");
const SETTINGS: &str = "SPRUCEHATCH_CONFIG";
/// Loopback address that no other test uses.
const IP: &str = "127.77.2.9";

fn golden(name: &str, text: &str) {
    assert_golden(env!("CARGO_MANIFEST_DIR"), name, text);
}

/// Runs the program; returns its standard output and whether it succeeded.
fn printed(arguments: &[&str]) -> (String, bool) {
    let output = Command::new(PROGRAM).args(arguments).env_remove(SETTINGS).output().expect("it runs");
    (String::from_utf8(output.stdout).expect("text"), output.status.success())
}

#[test]
fn help_texts_match_the_golden_files() {
    for (name, arguments) in [("help.txt", &["--help"][..]), ("ctl_help.txt", &["ctl", "--help"])] {
        let (text, success) = printed(arguments);
        assert!(success, "{arguments:?}");
        golden(name, &text);
    }
}

/// A core of one process, killed when dropped.
struct Core {
    child: Child,
    folder: PathBuf,
    control: String,
}

impl Core {
    fn start() -> Self {
        let port = reserved_address().port();
        let control = format!("{IP}:{port}");
        let folder = std::env::temp_dir().join(format!("sprucehatch-node-{}-golden", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let settings = folder.join("settings.json");
        let text = format!(
            r#"{{"NodeId":"core-1","Role":"control","Ip":"{IP}","PortRange":[7660,7675],"SeedNodes":["{control}"],
            "ListenAddrs":{{"Control":"{control}"}},"Bootstrap":true,"DataDir":{:?},"Discovery":"cloud_api",
            "CountsForQuorum":true,"FaultTolerance":{{"Machines":0}}}}"#,
            folder.join("data").display().to_string()
        );
        std::fs::write(&settings, text).expect("a file");
        let mut command = Command::new(PROGRAM);
        let child = command.arg("control").env(SETTINGS, &settings).stderr(Stdio::null()).spawn();
        Core { child: child.expect("it starts"), folder, control }
    }

    fn ctl(&self, words: &[&str]) -> String {
        let arguments = [&["ctl"], words, &["--control", &self.control, "--timeout", "60"]].concat();
        let (text, success) = printed(&arguments);
        assert!(success, "{words:?}: {text}");
        text
    }
}

impl Drop for Core {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Compares the families with their kinds and the samples with their labels, without values.
#[test]
fn metric_names_of_a_core_process_match_the_golden_file() {
    let core = Core::start();
    let configuration = core.folder.join("configuration.json");
    let text = r#"{"Version":3,"Routes":[{"PathPrefix":"/a/","Name":"r1","Host":"h.example","TimeoutMs":3000,"Backend":"s"}],"Backends":[{"Name":"s"}]}"#;
    std::fs::write(&configuration, text).expect("a file");
    // The process leads once it has accepted the configuration.
    core.ctl(&["config", "put", configuration.to_str().expect("a path in ASCII")]);
    let text = core.ctl(&["metrics"]);
    let mut names = BTreeSet::new();
    for line in text.lines().filter(|line| !line.starts_with("# HELP")) {
        let name = match line.strip_prefix("# ") {
            Some(comment) => comment,
            None => line.rsplit_once(' ').expect("a name and a value").0,
        };
        names.insert(name.to_owned() + "\n");
    }
    golden("metrics.txt", &names.into_iter().collect::<String>());
}
