//! Compares the schema of scenario files and the help texts of the command line with golden files.

use gateway_simulation::Scenario;
use gateway_test_support::golden::{assert_golden, schema_rules};
use std::process::Command;

fn golden(name: &str, text: &str) {
    assert_golden(env!("CARGO_MANIFEST_DIR"), name, text);
}

#[test]
fn scenario_keys_and_bounds_match_the_golden_file() {
    let schema = program_support::config::schema::<Scenario>().to_value();
    golden("scenario_schema.json", &schema_rules(&schema));
}

#[test]
fn help_texts_match_the_golden_file() {
    let commands: [&[&str]; 5] = [&[], &["registry"], &["lab"], &["lab", "run"], &["trial"]];
    let help = |arguments: &&[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_sprucehatch"));
        let output = command.args(*arguments).arg("--help").output().expect("the program runs");
        assert!(output.status.success(), "{arguments:?}");
        format!("$ sprucehatch {}\n{}", arguments.join(" "), String::from_utf8_lossy(&output.stdout))
    };
    golden("help.txt", &commands.iter().map(help).collect::<String>());
}
