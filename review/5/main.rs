//! One timed job whose times are all due stops the whole service for good.

#[path = "../harness-2/mod.rs"]
mod harness;

use harness::*;
use std::thread::sleep;
use std::time::{Duration, Instant};

const SMALL: &str = r#"{"Spec":"1500","Stages":[{"Count":2,"Cpu":500,"MemMb":256,"EstRuntimeMs":1500},{"Count":2,"Cpu":500,"MemMb":256,"EstRuntimeMs":1500,"DependsOn":[0]}]}"#;
const QUICK: &str = "/quick/";
const TIMED: &str = "/timed/";

fn main() {
    run_case(|root, record| {
        let mut cluster = Cluster::new(root, record.clone(), Options::default())?;
        cluster.start_all(&[(QUICK, 0), (TIMED, 2)])?;
        let fronts = cluster.fronts();
        let mut accepted = Vec::new();
        let submit = |number: u64, accepted: &mut Vec<String>| {
            let path = format!("{QUICK}{number:016x}");
            match client(fronts[number as usize % fronts.len()], "POST", &path, SMALL, 3_000) {
                Ok(answer) => {
                    record.line(&format!("POST {path}: {}", answer.status));
                    if answer.status == 200 {
                        accepted.push(path);
                    }
                }
                Err(error) => record.line(&format!("POST {path}: no answer ({:?})", error.kind())),
            }
        };
        for number in 0..20 {
            submit(0x100 + number, &mut accepted);
        }
        if accepted.len() < 20 {
            return Err(std::io::Error::other("a job was not accepted before the disruption"));
        }

        // One job. StartAtMs is 0 and left out, so that every time is due: with the disruption 10,000 times,
        // without it 2.
        let times = if with_trouble() { 10_000 } else { 2 };
        let timed = format!(
            r#"{{"Spec":"100","Repeat":{times},"IntervalMs":1000,"Stages":[{{"Count":3000,"Cpu":100,"MemMb":16,"EstRuntimeMs":100}}]}}"#
        );
        let path = format!("{TIMED}{:016x}", 0xa1);
        record.line(&format!("body of the timed job: {timed}"));
        match client(fronts[0], "POST", &path, &timed, 3_000) {
            Ok(answer) => record.line(&format!("POST {path}: {}", answer.status)),
            Err(error) => record.line(&format!("POST {path}: no answer ({:?})", error.kind())),
        }

        let traffic_ends = Instant::now() + Duration::from_secs(25);
        let mut number = 0x200;
        while Instant::now() < traffic_ends {
            submit(number, &mut accepted);
            number += 1;
            sleep(Duration::from_secs(1));
        }
        record.line(&format!(
            "end of the traffic; resident MB of the core processes: {} {} {}",
            cluster.resident_mb("core-1"),
            cluster.resident_mb("core-2"),
            cluster.resident_mb("core-3")
        ));
        if let Some(text) = cluster.ended_process() {
            record.line(&text);
        }

        // finish_s is 14.
        let missing = ask_all(&fronts, &accepted, Duration::from_secs(14));
        for (path, last) in &missing {
            record.line(&format!("{path} was accepted and got no state within 14 s; last: {last}"));
        }
        record.line(&format!("{} of {} accepted jobs got no state", missing.len(), accepted.len()));
        let changes = cluster.core_log_lines("leads term").len();
        record.line(&format!("terms led: {changes}"));
        Ok(!missing.is_empty())
    });
}
