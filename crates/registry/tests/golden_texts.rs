//! The keys of the settings and the command line must not change.

use gateway_test_support::golden::{assert_golden, schema_rules};
use std::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_sprucehatch-registry");

#[test]
fn settings_and_command_line_are_unchanged() {
    let printed = |argument: &str| {
        let output = Command::new(PROGRAM).arg(argument).output().expect("it runs");
        assert!(output.status.success(), "{argument}");
        String::from_utf8(output.stdout).expect("text")
    };
    let schema = serde_json::from_str(&printed("print-schema")).expect("JSON");
    assert_golden(env!("CARGO_MANIFEST_DIR"), "settings_schema.json", &schema_rules(&schema));
    assert_golden(env!("CARGO_MANIFEST_DIR"), "help.txt", &printed("--help"));
}
