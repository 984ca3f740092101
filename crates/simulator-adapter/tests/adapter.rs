//! Runs the adapter as a process with a short transcript and checks its output.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const BEGIN_MESSAGE: &str = r#"["Begin",3,7,{"az":0,"me":0,"siblings":2,"discovery":"automatic","tick":2000000,"new_key":1,
"extra":{"cost_after":false,"meter_period":2000000000,"most_units":2},"limits":{"cancelling":true,"try_limit":4},
"obligations":{"answer_slack":8000000,"cold":17000000000,"cold_from":0.22,"fall":3000000000,"fall_multiple":3.0},
"plans":[{"name":"basic","quota_rate":1.5,"depth":6.0,"value_factor":1.0}],
"services":[{"name":"quote","on_time":750000000,"deadline":2500000000,"effect":"safe","points":2.0}]}]"#;
const FLEET_MESSAGE: &str = r#"["Fleet",3,1,"C",[["backend_a",0,0,0,"up",1,null]]]"#;
const NEW_REQUEST_MESSAGE: &str = r#"["NewRequest",3,"37f11c5a5d3a91c4",0,0,"u:x",8652250000,2,2,0,null]"#;

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sprucehatch-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    for line in lines {
        // The write fails if the adapter has already stopped at an earlier line.
        let _ = writeln!(input, "{line}");
    }
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

fn batch(messages: &[&str]) -> String {
    format!("{{\"sim_time\":6412250000,\"input\":[{}]}}", messages.join(",")).replace('\n', "")
}

#[test]
fn answers_a_transcript_line_by_line() {
    let end = r#"["AttemptEnd",3,"37f11c5a5d3a91c4",0,true,86,18500000,"pass",0,"backend_a",{"queue":3}]"#;
    let odd = r#"["Weather",3,"rain"]"#;
    let late = r#"["AttemptEnd",9,"37f11c5a5d3a91c4",0,true,0,1,"pass",0,"backend_z",null]"#;
    let out = run(&[
        batch(&[]),
        batch(&[BEGIN_MESSAGE, FLEET_MESSAGE]),
        batch(&[odd, NEW_REQUEST_MESSAGE]),
        batch(&[end, late]),
        batch(&[r#"["Exit",3]"#]),
    ]);
    assert!(out.status.success(), "{out:?}");
    let text = String::from_utf8(out.stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 5);
    assert_eq!([lines[0], lines[1], lines[3], lines[4]], [r#"{"do":[]}"#; 4]);
    assert!(
        lines[2].contains(r#"["Send",3,"37f11c5a5d3a91c4","backend_a",8652250000]"#)
            || lines[2].contains(r#"["Send",3,"37f11c5a5d3a91c4","backend_a","#),
        "{}",
        lines[2]
    );
    assert!(lines[2].contains(r#"["NotifyMe",3,"#), "{}", lines[2]);
}

#[test]
fn reports_invalid_input_on_one_line() {
    let cases = [
        ("nonsense".to_string(), "line 2"),
        (batch(&[r#"["NewRequest",3,"37f11c5a5d3a91c4",0,0,"u:x",null]"#]), "deadline"),
        (batch(&[r#"["NewRequest",3,"xyz",0,0,"u:x",5]"#]), "corr"),
        (batch(&[r#"["AttemptEnd",3,"37f11c5a5d3a91c4",0,true,0,1,"lost",0,"b"]"#]), "ending"),
        (batch(&[&BEGIN_MESSAGE.replace("\"me\":0,", "")]), "me"),
        (batch(&[&BEGIN_MESSAGE.replace("1.5", "-1.5")]), "plan basic: rate"),
    ];
    for (line, word) in cases {
        let out = run(&[batch(&[BEGIN_MESSAGE, FLEET_MESSAGE]), line]);
        assert_eq!(out.status.code(), Some(1), "{word}");
        let stderr = String::from_utf8(out.stderr).expect("text");
        assert!(
            stderr.lines().count() == 1 && stderr.contains(word) && stderr.contains("line 2"),
            "{word}: {stderr}"
        );
    }
}

#[test]
fn command_line_checks_the_configuration_and_rejects_invalid_arguments() {
    let run = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_sprucehatch-simulator-adapter"));
        let out = command.args(arguments).stdin(Stdio::null()).output().expect("it runs");
        (out.status.code(), String::from_utf8([out.stdout, out.stderr].concat()).expect("text"))
    };
    let file = |name: &str, text: &str| {
        let path = std::env::temp_dir()
            .join(format!("sprucehatch-simulator-adapter-{}-{name}.toml", std::process::id()));
        std::fs::write(&path, text).expect("written");
        path
    };
    assert_eq!(
        run(&["--version"]),
        (Some(0), format!("sprucehatch-simulator-adapter {}\n", env!("CARGO_PKG_VERSION")))
    );
    assert!(run(&["--help"]).1.contains("check-config"));
    assert_eq!(run(&["fly"]).0, Some(2));
    assert_eq!(run(&[]), (Some(0), String::new()), "the input ends at once");
    let (good, bad) =
        (file("good", "[log]\nlevel = \"debug\"\n"), file("bad", "[log]\nlevel = 1\nspeed = 2\n"));
    let path = |path: &std::path::PathBuf| path.to_str().expect("text").to_string();
    assert_eq!(run(&["check-config", "--config", &path(&good)]), (Some(0), "ok\n".to_string()));
    for command in [&["check-config"][..], &["run"], &[]] {
        let (code, output) = run(&[command, &["--config", &path(&bad)]].concat());
        assert_eq!((code, output.lines().count()), (Some(1), 2), "{output}");
        assert!(
            output.contains("log.level is 1: ") && output.contains("log.speed is no key here"),
            "{output}"
        );
    }
    [good, bad].iter().for_each(|path| std::fs::remove_file(path).expect("it is there"));
}
