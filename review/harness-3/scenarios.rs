//! The scenarios, one function for each.

use super::*;

/// `Ok`: the rule held; `Err`: it was broken; `None`: the scenario could not run.
type Verdict = Option<Result<String, String>>;

pub fn run(scenario: &str, trouble: bool) -> Verdict {
    match scenario {
        "reserved" => reserved(trouble),
        "paused" => paused(trouble),
        "prefix" => prefix(trouble),
        "probe" => probe(),
        _ => None,
    }
}

/// A large job waits for a worker on which a lasting task runs. A small job that fits beside the lasting task.
fn reserved(trouble: bool) -> Verdict {
    let plan = [(16_000, "a", "r1"), (16_000, "a", "r1"), (16_000, "a", "r2"), (16_000, "b", "r2")];
    let mut deployment = Deployment::start(&plan, "(kinds a, a, a, b)")?;
    let body = configuration(1, &[("/lookup/", 0), ("/roll/", 1), ("/recon/", 2)]);
    if !deployment.put_configuration(0, &body) || !deployment.warm_up("/lookup/") {
        return None;
    }
    let lasting = job("cpu=1000", r#"{"Count":1,"Cpu":1000,"MemMb":256,"EstRuntimeMs":300,"Constraints":"b","LongRunning":true}"#, "");
    let (lasting_id, status) = deployment.submit("/recon/", &lasting, "lasting, 1 core on kind b");
    if status != 200 {
        return None;
    }
    for _ in 0..100 {
        if first_start(&lasting_id).is_some() {
            break;
        }
        sleep_ms(50);
    }
    first_start(&lasting_id)?;
    if trouble {
        let large = job("ms=2000;cpu=16000", r#"{"Count":1,"Cpu":16000,"MemMb":1024,"EstRuntimeMs":2000,"Constraints":"b"}"#, "");
        if deployment.submit("/recon/", &large, "large, 16 cores on kind b").1 != 200 {
            return None;
        }
    }
    sleep_ms(3_000);
    let small = job("ms=500;cpu=1200", r#"{"Count":1,"Cpu":1200,"MemMb":256,"EstRuntimeMs":500,"Constraints":"b"}"#, "");
    let (id, status) = deployment.submit("/lookup/", &small, "small, first priority, 1.2 cores on kind b");
    if status != 200 {
        return None;
    }
    let accepted = now_ms();
    let mut longest_room = (0, 0);
    while first_start(&id).is_none() && now_ms() < accepted + 30_000 {
        sleep_ms(100);
        longest_room = deployment.room();
    }
    let (used, total) = longest_room;
    note(&format!("in use at the end: {used} of {total} thousandths of a core; the worker of kind b has 15000 free"));
    match first_start(&id) {
        Some(at) if at.saturating_sub(accepted) < 3_000 => {
            Some(Ok(format!("the small job started after {} ms", at.saturating_sub(accepted))))
        }
        Some(at) => Some(Err(format!("LOST: the small job had nothing running for {} ms", at - accepted))),
        None => Some(Err(format!("LOST: the small job had nothing running for 30000 ms, state {}", deployment.state("/lookup/", &id).1))),
    }
}

/// Jobs with their data on a rack that is full wait for it, then for a gang that waits itself.
fn paused(trouble: bool) -> Verdict {
    let mut plan: Vec<WorkerPlan> = vec![(16_000, "a", "r1")];
    plan.extend([(16_000, "a", "r2"); 4]);
    plan.extend([(16_000, "a", "r3"); 4]);
    let mut deployment = Deployment::start(&plan, "(1 in rack r1, 4 in r2, 4 in r3)")?;
    let body = configuration(1, &[("/roll/", 1), ("/recon/", 2)]);
    if !deployment.put_configuration(0, &body) || !deployment.warm_up("/roll/") {
        return None;
    }
    let full = job("cpu=15500", r#"{"Count":1,"Cpu":15500,"MemMb":256,"EstRuntimeMs":300,"Affinity":"r1","LongRunning":true}"#, "");
    let (full_id, status) = deployment.submit("/recon/", &full, "lasting, fills rack r1");
    let spread = job("cpu=500", r#"{"Count":9,"Cpu":500,"MemMb":256,"EstRuntimeMs":300,"AntiAffinity":1,"LongRunning":true}"#, "");
    let (spread_id, second) = deployment.submit("/recon/", &spread, "lasting, half a core on each worker");
    if status != 200 || second != 200 {
        return None;
    }
    sleep_ms(2_500);
    first_start(&full_id)?;
    first_start(&spread_id)?;
    if trouble {
        let gang = job("ms=2000;cpu=16000", r#"{"Count":8,"Cpu":16000,"MemMb":1024,"EstRuntimeMs":2000,"Gang":true}"#, "");
        if deployment.submit("/recon/", &gang, "a gang of 8 that asks for 8 whole workers").1 != 200 {
            return None;
        }
    }
    let mut jobs = Vec::new();
    let until = now_ms() + 26_000;
    while now_ms() < until {
        let near = job("ms=300;cpu=1000", r#"{"Count":1,"Cpu":1000,"MemMb":256,"EstRuntimeMs":2000,"Affinity":"r1"}"#, "");
        let (id, status) = deployment.submit("/roll/", &near, "small, data on rack r1");
        if status == 200 {
            jobs.push((id, now_ms()));
        }
        sleep_ms(130);
    }
    sleep_ms(6_000);
    let (mut longest, mut late, mut never) = (0, 0, 0);
    for (id, accepted) in &jobs {
        let Some(at) = first_start(id) else {
            never += 1;
            continue;
        };
        let waited = at.saturating_sub(*accepted);
        longest = longest.max(waited);
        if waited >= 3_000 {
            late += 1;
            note(&format!("job {id} had nothing running for {waited} ms"));
        }
    }
    let text = format!("of {} jobs {late} had nothing running for 3 s, {never} never started, the longest wait was {longest} ms", jobs.len());
    Some(if late + never == 0 { Ok(text) } else { Err(format!("LOST: {text}")) })
}

/// A route whose prefix does not end with a slash.
fn prefix(trouble: bool) -> Verdict {
    let mut deployment = Deployment::start(&[(16_000, "a", "r1"), (16_000, "a", "r1")], "")?;
    let first = configuration(1, &[("/lookup/", 0)]);
    if !deployment.put_configuration(0, &first) || !deployment.warm_up("/lookup/") {
        return None;
    }
    let added = if trouble { "/roll-" } else { "/roll-/" };
    let second = configuration(3, &[("/lookup/", 0), (added, 1)]);
    if !deployment.put_configuration(1, &second) {
        return None;
    }
    sleep_ms(2_500);
    let mut refused = Vec::new();
    for turn in 0..4 {
        let body = job("ms=50;cpu=100", r#"{"Count":1,"Cpu":100,"MemMb":16,"EstRuntimeMs":50}"#, "");
        let (id, status) = deployment.submit(added, &body, "on the added route");
        if status == 404 {
            refused.push(format!("POST {added}{id} -> 404"));
        }
        let front = deployment.fronts[turn % deployment.fronts.len()];
        let count = call(front, "GET", added, "X-Deadline-Ms: 3000\r\n", "", 3_000);
        let status = count.as_ref().map_or(0, |(status, ..)| *status);
        note(&format!("client: GET {added} -> {status}"));
        if status == 404 {
            refused.push(format!("GET {added} -> 404"));
        }
    }
    Some(if refused.is_empty() {
        Ok("jobs and counts on the added route were served".to_owned())
    } else {
        Err(format!("CONFIG: refused with 404 though the route is there: {}", refused.join(", ")))
    })
}

/// Not a case: bodies of jobs that are seldom seen.
fn probe() -> Verdict {
    let mut deployment = Deployment::start(&[(16_000, "a", "r1"), (16_000, "a", "r1")], "")?;
    if !deployment.put_configuration(0, &configuration(1, &[("/lookup/", 0)])) || !deployment.warm_up("/lookup/") {
        return None;
    }
    let bodies = [
        ("asks for nothing", job("ms=100", r#"{"Count":1,"EstRuntimeMs":50}"#, "")),
        ("no estimate, long", job("ms=9000;cpu=100", r#"{"Count":1,"Cpu":100}"#, "")),
        ("two steps", job("ms=100;cpu=100", r#"{"Count":2,"Cpu":100},{"Count":2,"Cpu":100,"DependsOn":[0]}"#, "")),
        ("memory only", job("ms=100", r#"{"Count":1,"MemMb":100}"#, "")),
        ("wide", job("ms=300;cpu=5", r#"{"Count":3000,"Cpu":5}"#, "")),
    ];
    let mut ids = Vec::new();
    for (what, body) in &bodies {
        ids.push((what, deployment.submit("/lookup/", body, what)));
    }
    sleep_ms(16_000);
    for (what, (id, status)) in ids {
        println!("{what}: {status} {:?}", deployment.state("/lookup/", &id));
    }
    Some(Ok(String::new()))
}
