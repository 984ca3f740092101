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
        "mix" => mix(),
        "released" => released(trouble),
        "cancelled" => cancelled(trouble),
        "founding" => founding(),
        "failing" => failing(trouble),
        "rolled" => rolled(trouble),
        "chaos" => chaos(),
        "cancels" => cancels(trouble),
        "memory" => memory(trouble), // not a case: review/1 shows the same
        _ => None,
    }
}

/// The longest time in a row in which a job had nothing running while under half of the service's room was in use.
fn longest_wait_under_half(deployment: &Deployment, id: &str, until: u64) -> u64 {
    let (mut since, mut longest) = (now_ms(), 0);
    while first_start(id).is_none() && now_ms() < until {
        let (used, total) = deployment.room();
        if used * 2 >= total {
            since = now_ms();
        }
        longest = longest.max(now_ms() - since);
        sleep_ms(50);
    }
    longest
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
    let waited = longest_wait_under_half(&deployment, &id, accepted + 30_000);
    let (used, total) = deployment.room();
    note(&format!("in use at the end: {used} of {total} thousandths of a core; the worker of kind b has 15000 free"));
    let text = format!("the small job had nothing running for {waited} ms in a row with under half of the room in use, state {}", deployment.state("/lookup/", &id).1);
    Some(if waited < 3_000 { Ok(text) } else { Err(format!("LOST: {text}")) })
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
    // The jobs are handed in now and fall due from 16 s on, which is later than `finish_s` after the last request.
    const JOBS: u64 = 200;
    const BETWEEN_MS: u64 = 130;
    let (first_due, due_wall) = (now_ms() + 18_000, wall_ms() + 18_000);
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let times = format!(",\"Repeat\":1,\"IntervalMs\":1000,\"StartAtMs\":{}", due_wall + number * BETWEEN_MS);
        let near = job("ms=300;cpu=1000", r#"{"Count":1,"Cpu":1000,"MemMb":256,"EstRuntimeMs":2000,"Affinity":"r1"}"#, &times);
        let (id, status) = deployment.submit("/roll/", &near, "small, timed, data on rack r1");
        if status == 200 {
            jobs.push((id, first_due + number * BETWEEN_MS));
        }
    }
    let last_request = now_ms();
    note(&format!("the traffic ends; the first job falls due {} ms later", first_due.saturating_sub(last_request)));
    let (mut used, mut total) = (0, 0);
    while now_ms() < first_due + JOBS * BETWEEN_MS + 6_000 {
        let room = deployment.room();
        (used, total) = (room.0.max(used), room.1);
        sleep_ms(50);
    }
    note(&format!("in use at most: {used} of {total} thousandths of a core"));
    let under_half = used * 2 < total;
    let (mut longest, mut late, mut never) = (0, 0, 0);
    for (id, due) in &jobs {
        let Some(at) = first_start(id) else {
            never += 1;
            continue;
        };
        let waited = at.saturating_sub(*due);
        longest = longest.max(waited);
        if waited >= 3_000 && under_half {
            late += 1;
            note(&format!("job {id} had nothing running for {waited} ms after it fell due"));
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

/// What a client thread of `memory` has had accepted.
type Accepted = Arc<Mutex<Vec<String>>>;

/// Many jobs for a later time, as many users hand them in at once. Each core process may use 384 MB, as its settings say;
/// one that uses more is killed and started again, as the machine does.
fn memory(trouble: bool) -> Verdict {
    const LIMIT_KB: u64 = 384 * 1024;
    const USUAL_PER_S: u64 = 173;
    const BURST_PER_S: u64 = 450;
    const LOAD_MS: u64 = 76_000;
    const THREADS: u64 = 8;
    let mut deployment = Deployment::start(&[(16_000, "a", "r1"), (16_000, "a", "r1")], "")?;
    if !deployment.put_configuration(0, &configuration(1, &[("/roll/", 1)])) || !deployment.warm_up("/roll/") {
        return None;
    }
    let accepted: Accepted = Accepted::default();
    let first = deployment.next_id + 1_000;
    let until = now_ms() + LOAD_MS;
    let rate = if trouble { BURST_PER_S } else { USUAL_PER_S };
    for thread in 0..THREADS {
        let (accepted, front) = (accepted.clone(), deployment.fronts[thread as usize % deployment.fronts.len()]);
        thread::spawn(move || hand_in_later_jobs(front, first + thread, THREADS, rate, until, &accepted));
    }
    // `finish_s` after the end of the traffic some of the jobs are asked for, each for 10 s at both gateways.
    let (answers, fronts) = (Arc::new(Mutex::new(Vec::new())), deployment.fronts.clone());
    let (asked, asking) = (accepted.clone(), answers.clone());
    thread::spawn(move || {
        while now_ms() < until + 14_000 {
            sleep_ms(50);
        }
        let asked = asked.lock().unwrap().clone();
        for id in asked.iter().step_by((asked.len() / 8).max(1)).take(8) {
            let (asking, fronts, id) = (asking.clone(), fronts.clone(), id.clone());
            thread::spawn(move || {
                let reply = ask_for(&fronts, &id, 10_000);
                note(&format!("client: GET /roll/{id} -> {reply}"));
                asking.lock().unwrap().push(reply);
            });
        }
    });
    let (mut kills, mut noted) = (vec![0u32; 3], 0);
    while now_ms() < until + 28_000 {
        let used: Vec<u64> = (0..3).map(|core| resident_kb(deployment.children[core].id())).collect();
        for core in 0..3 {
            if used[core] > LIMIT_KB {
                kills[core] += 1;
                note(&format!("core-{core} uses {} kB, over its 384 MB: killed and started again", used[core]));
                deployment.kill_and_start_again(core);
            }
        }
        if now_ms() >= noted + 5_000 {
            noted = now_ms();
            let disk: Vec<u64> = (0..3).map(|core| deployment.data_mb(core)).collect();
            note(&format!("{} jobs accepted, resident kB {used:?}, data MB {disk:?}", accepted.lock().unwrap().len()));
        }
        sleep_ms(50);
    }
    let answers = answers.lock().unwrap().clone();
    let known = answers.iter().filter(|reply| reply.starts_with("200")).count();
    let text = format!(
        "{} jobs accepted; processes ended for memory by core machine {kills:?}; of 8 jobs that were asked for {known} got a state",
        accepted.lock().unwrap().len()
    );
    let faults = kills.iter().filter(|kills| **kills >= 3).count();
    let mut broken = Vec::new();
    if faults >= 2 {
        broken.push("Fault");
    }
    if known < 8 {
        broken.push("LOST");
    }
    Some(if broken.is_empty() { Ok(text) } else { Err(format!("{}: {text}", broken.join(", "))) })
}

/// Asks for a job until it gets a state or `for_ms` has passed.
fn ask_for(fronts: &[SocketAddr], id: &str, for_ms: u64) -> String {
    let until = now_ms() + for_ms;
    let mut last = "no answer".to_owned();
    for turn in 0.. {
        let left = until.saturating_sub(now_ms());
        if left == 0 {
            break;
        }
        let front = fronts[turn % fronts.len()];
        let reply = call(front, "GET", &format!("/roll/{id}"), "X-Deadline-Ms: 3000\r\n", "", left.min(3_000));
        if let Some((status, _, body)) = reply {
            last = format!("{status} {body}");
            if !matches!(status, 502..=504) {
                break;
            }
        }
        sleep_ms(100);
    }
    last
}

fn hand_in_later_jobs(front: SocketAddr, first: u64, step: u64, rate: u64, until: u64, accepted: &Accepted) {
    let spec: String = "roll of the day; ".chars().cycle().take(4_000).collect();
    let started = now_ms();
    let mut connection: Option<(TcpStream, BufReader<TcpStream>)> = None;
    let mut sent = 0u64;
    while now_ms() < until {
        if sent * 1_000 * step > (now_ms() - started) * rate {
            sleep_ms(2);
            continue;
        }
        let id = format!("{:016x}", first + sent * step);
        sent += 1;
        let steps = r#"{"Count":1,"Cpu":1000,"MemMb":256,"EstRuntimeMs":1000}"#;
        let body = job(&spec, steps, &format!(",\"Repeat\":1,\"IntervalMs\":1000,\"StartAtMs\":{}", wall_ms() + 3_600_000));
        let text = format!("POST /roll/{id} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\nX-Deadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if connection.is_none() {
            connection = TcpStream::connect(front).ok().and_then(|stream| {
                stream.set_nodelay(true).ok()?;
                stream.set_read_timeout(Some(Duration::from_millis(4_000))).ok()?;
                Some((stream.try_clone().ok()?, BufReader::new(stream)))
            });
        }
        let Some((writer, reader)) = &mut connection else { continue };
        let answered = writer.write_all(text.as_bytes()).ok().and_then(|()| read_message(reader).ok().flatten());
        match answered {
            Some(message) if message.head.split(' ').nth(1) == Some("200") => accepted.lock().unwrap().push(id),
            Some(_) => {}
            None => connection = None,
        }
    }
}

fn resident_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

/// Not a case: a search. Processes are killed, stopped and continued one at a time, orders come late, while clients hand in and
/// cancel jobs. Reports tasks that ran twice, and accepted jobs that did not end.
fn chaos() -> Verdict {
    let seed = std::env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1u64);
    RANDOM.store(seed.wrapping_mul(0x1234_5678_9abc_def1), Ordering::Relaxed);
    *JUDGE.lock().unwrap() = Some(Judge::default());
    let mut plan: Vec<WorkerPlan> = vec![(16_000, "a", "r1"); 4];
    plan.extend([(16_000, "b", "r2"); 4]);
    let mut deployment = Deployment::start(&plan, "")?;
    if !deployment.put_configuration(0, &configuration(1, &[("/lookup/", 0), ("/roll/", 1), ("/recon/", 2)])) || !deployment.warm_up("/lookup/") {
        return None;
    }
    LATE_PER_MILLE.store(std::env::var("LATE").ok().and_then(|text| text.parse().ok()).unwrap_or(40), Ordering::Relaxed);
    let accepted: Arc<Mutex<Vec<(String, String, bool)>>> = Arc::default();
    let until = now_ms() + 70_000;
    for client in 0..6u64 {
        let (accepted, fronts) = (accepted.clone(), deployment.fronts.clone());
        let first = deployment.next_id + 1_000_000 * (client + 1);
        thread::spawn(move || {
            let mut sent = 0;
            while now_ms() < until {
                sent += 1;
                let id = format!("{:016x}", first + sent);
                let prefix = ["/lookup/", "/roll/", "/recon/"][random(3) as usize];
                let length = 50 + random(1_500);
                let (count, cpu) = (1 + random(4), 500 + random(3_000));
                let stage = format!("\"Count\":{count},\"Cpu\":{cpu},\"MemMb\":64,\"EstRuntimeMs\":{length}");
                let body = job(&format!("ms={length};cpu={cpu}"), &format!("{{{stage}}},{{{stage},\"DependsOn\":[0]}}"), "");
                let mut last = 0;
                for turn in 0..8u64 {
                    let front = fronts[((client + turn) % 2) as usize];
                    last = call(front, "POST", &format!("{prefix}{id}"), "X-Deadline-Ms: 1500\r\n", &body, 1_500).map_or(0, |reply| reply.0);
                    if !matches!(last, 0 | 502 | 504) {
                        break;
                    }
                    sleep_ms(100);
                }
                let mut cancelled = false;
                if last == 200 && random(8) == 0 {
                    sleep_ms(random(800));
                    cancelled = true;
                    let reply = call(fronts[random(2) as usize], "DELETE", &format!("{prefix}{id}"), "X-Deadline-Ms: 1500\r\n", "", 1_500);
                    note(&format!("client: DELETE {prefix}{id} -> {}", reply.map_or(0, |reply| reply.0)));
                }
                if last == 200 {
                    accepted.lock().unwrap().push((prefix.to_owned(), id, cancelled));
                }
                sleep_ms(300 + random(600));
            }
        });
    }
    while now_ms() < until - 3_000 {
        sleep_ms(300 + random(2_500));
        let child = random(cores() as u64 + 1) as usize;
        match random(5) {
            4 if child < cores() => {
                note(&format!("kill process {child} and lose its disk"));
                deployment.signal(child, "-KILL");
                sleep_ms(random(1_500));
                let data = deployment.folder.join(format!("core-{child}-data"));
                let _ = deployment.children[child].wait();
                let _ = fs::remove_dir_all(&data);
                let _ = fs::create_dir_all(&data);
                deployment.restart(child);
                sleep_ms(6_000);
            }
            0 => {
                note(&format!("kill process {child}"));
                deployment.signal(child, "-KILL");
                sleep_ms(random(1_500));
                deployment.restart(child);
            }
            1 => {
                note(&format!("SIGTERM to process {child}"));
                deployment.signal(child, "-TERM");
                deployment.restart(child);
            }
            _ => {
                let length = 100 + random(4_500);
                note(&format!("stop process {child} for {length} ms"));
                deployment.signal(child, "-STOP");
                sleep_ms(length);
                deployment.signal(child, "-CONT");
            }
        }
    }
    LATE_PER_MILLE.store(0, Ordering::Relaxed);
    sleep_ms(24_000);
    let accepted = accepted.lock().unwrap().clone();
    let (mut open, mut total) = (Vec::new(), 0);
    for (prefix, id, cancelled) in &accepted {
        total += 1;
        let (status, body) = deployment.state(prefix, id);
        let is_over = body.contains("completed") || (*cancelled && body.contains("cancelled"));
        if status != 200 || !is_over {
            open.push(format!("{prefix}{id} {status} {body}"));
        }
    }
    let mut broken = JUDGE.lock().unwrap().take().map_or(Vec::new(), |judge| judge.broken);
    broken.extend(open);
    let text = format!("{total} jobs accepted, {} starts, broken: {broken:?}", STARTS.lock().unwrap().len());
    Some(if broken.is_empty() { Ok(text) } else { Err(text) })
}

/// Not a case: lasting tasks that fail as soon as they start, beside small jobs.
fn failing(trouble: bool) -> Verdict {
    let mut plan: Vec<WorkerPlan> = vec![(16_000, "a", "r1"); 4];
    plan.extend([(16_000, "b", "r2"); 4]);
    let mut deployment = Deployment::start(&plan, "")?;
    if !deployment.put_configuration(0, &configuration(1, &[("/lookup/", 0), ("/roll/", 1), ("/recon/", 2)])) || !deployment.warm_up("/lookup/") {
        return None;
    }
    if trouble {
        for _ in 0..4 {
            let lasting = job("cpu=100;ms=1;fail=1", r#"{"Count":20,"Cpu":100,"MemMb":16,"EstRuntimeMs":300,"LongRunning":true}"#, "");
            deployment.submit("/recon/", &lasting, "lasting, fails at once");
        }
    }
    sleep_ms(3_000);
    let before = STARTS.lock().unwrap().len();
    let (mut longest, mut refused) = (0, 0);
    for _ in 0..100 {
        let body = job("ms=50;cpu=100", r#"{"Count":1,"Cpu":100,"MemMb":16,"EstRuntimeMs":50}"#, "");
        let (id, status) = deployment.submit("/lookup/", &body, "small");
        let accepted = now_ms();
        if status != 200 {
            refused += 1;
            continue;
        }
        while first_start(&id).is_none() && now_ms() < accepted + 10_000 {
            sleep_ms(10);
        }
        longest = longest.max(now_ms() - accepted);
        sleep_ms(50);
    }
    let starts = STARTS.lock().unwrap().len() - before;
    Some(Ok(format!("{starts} starts, longest wait {longest} ms, {refused} refused, data MB {}", deployment.data_mb(0))))
}

/// Timed jobs with their data on a full rack, while the leader is stopped by SIGTERM once.
fn rolled(trouble: bool) -> Verdict {
    let mut plan: Vec<WorkerPlan> = vec![(16_000, "a", "r1")];
    plan.extend([(16_000, "a", "r2"); 4]);
    let mut deployment = Deployment::start(&plan, "(1 in rack r1, 4 in r2)")?;
    if !deployment.put_configuration(0, &configuration(1, &[("/roll/", 1), ("/recon/", 2)])) || !deployment.warm_up("/roll/") {
        return None;
    }
    let full = job("cpu=16000", r#"{"Count":1,"Cpu":16000,"MemMb":256,"EstRuntimeMs":300,"Affinity":"r1","LongRunning":true}"#, "");
    let (full_id, status) = deployment.submit("/recon/", &full, "lasting, fills rack r1");
    if status != 200 {
        return None;
    }
    sleep_ms(2_500);
    first_start(&full_id)?;
    let (first_due, due_wall) = (now_ms() + 18_000, wall_ms() + 18_000);
    let mut jobs = Vec::new();
    for number in 0..100u64 {
        let times = format!(",\"Repeat\":1,\"IntervalMs\":1000,\"StartAtMs\":{}", due_wall + number * 130);
        let near = job("ms=300;cpu=1000", r#"{"Count":1,"Cpu":1000,"MemMb":256,"EstRuntimeMs":2000,"Affinity":"r1"}"#, &times);
        let (id, status) = deployment.submit("/roll/", &near, "small, timed, data on rack r1");
        if status == 200 {
            jobs.push((id, first_due + number * 130));
        }
    }
    while now_ms() < first_due + 6_000 {
        sleep_ms(20);
    }
    if trouble {
        let leader = deployment.leader()?;
        note(&format!("SIGTERM to core-{leader}, which leads"));
        deployment.signal(leader, "-TERM");
        deployment.restart(leader);
        note("it is started again");
    }
    while now_ms() < first_due + 100 * 130 + 6_000 {
        sleep_ms(100);
    }
    let (mut longest, mut late, mut never) = (0, 0, 0);
    for (id, due) in &jobs {
        let Some(at) = first_start(id) else {
            never += 1;
            continue;
        };
        let waited = at.saturating_sub(*due);
        longest = longest.max(waited);
        if waited >= 3_000 {
            late += 1;
            note(&format!("job {id} had nothing running for {waited} ms after it fell due"));
        }
    }
    let text = format!("of {} jobs {late} had nothing running for 3 s, {never} never started, the longest wait was {longest} ms", jobs.len());
    Some(if late + never == 0 { Ok(text) } else { Err(format!("LOST: {text}")) })
}

/// Not a case: a search. First starts with processes killed and one disk lost in the first moments.
fn founding() -> Verdict {
    let seed = std::env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1u64);
    RANDOM.store(seed.wrapping_mul(0x9876_5432_1abc_def1), Ordering::Relaxed);
    let (mut tried, mut slow, mut slowest) = (0, Vec::new(), 0);
    while now_ms() < 85_000 {
        tried += 1;
        let mut deployment = Deployment::start(&[(16_000, "a", "r1")], "")?;
        let began = now_ms();
        let mut wiped = false;
        let rounds = 1 + random(3);
        let mut text = String::new();
        for _ in 0..rounds {
            sleep_ms(random([12, 40, 150, 600][random(4) as usize]));
            let victims = 1 + random(7);
            for core in 0..3 {
                if victims & (1 << core) != 0 {
                    end_process(&mut deployment.children[core]);
                }
            }
            let wipe = (!wiped && random(3) == 0).then(|| (0..3).find(|core| victims & (1 << core) != 0).unwrap_or(0));
            let _ = write!(text, "{} ms kill {victims:03b} wipe {wipe:?}; ", now_ms() - began);
            if let Some(core) = wipe {
                wiped = true;
                let data = deployment.folder.join(format!("core-{core}-data"));
                let _ = fs::remove_dir_all(&data);
                let _ = fs::create_dir_all(&data);
            }
            sleep_ms(random(400));
            for core in 0..3 {
                if victims & (1 << core) != 0 {
                    deployment.restart(core);
                }
            }
        }
        let from = now_ms();
        let taken = deployment.put_configuration(0, &configuration(1, &[("/lookup/", 0)]));
        let took = now_ms() - from;
        slowest = slowest.max(took);
        if !taken || took > 12_000 {
            note(&format!("SLOW {took} ms taken {taken}: {text} {}", deployment.folder.display()));
            slow.push(format!("{took} ms {taken}: {text}"));
        }
    }
    let text = format!("{tried} first starts, slowest {slowest} ms, {} over 12 s: {slow:?}", slow.len());
    Some(if slow.is_empty() { Ok(text) } else { Err(text) })
}

/// A small job is held back by a large one, which is then cancelled.
fn cancelled(trouble: bool) -> Verdict {
    let plan = [(16_000, "a", "r1"), (16_000, "a", "r1"), (16_000, "a", "r2"), (16_000, "b", "r2")];
    let mut deployment = Deployment::start(&plan, "(kinds a, a, a, b)")?;
    let body = configuration(1, &[("/lookup/", 0), ("/roll/", 1), ("/recon/", 2)]);
    if !deployment.put_configuration(0, &body) || !deployment.warm_up("/lookup/") {
        return None;
    }
    let lasting = job("cpu=1000", r#"{"Count":1,"Cpu":1000,"MemMb":256,"EstRuntimeMs":300,"Constraints":"b","LongRunning":true}"#, "");
    let (lasting_id, status) = deployment.submit("/recon/", &lasting, "lasting, 1 core on kind b");
    sleep_ms(2_500);
    if status != 200 {
        return None;
    }
    first_start(&lasting_id)?;
    let large = job("ms=2000;cpu=16000", r#"{"Count":1,"Cpu":16000,"MemMb":1024,"EstRuntimeMs":2000,"Constraints":"b"}"#, "");
    let (large_id, status) = if trouble { deployment.submit("/recon/", &large, "large, 16 cores on kind b") } else { (String::new(), 200) };
    sleep_ms(2_000);
    let small = job("ms=500;cpu=1200", r#"{"Count":1,"Cpu":1200,"MemMb":256,"EstRuntimeMs":500,"Constraints":"b"}"#, "");
    let (id, second) = deployment.submit("/lookup/", &small, "small, first priority, 1.2 cores on kind b");
    if status != 200 || second != 200 {
        return None;
    }
    sleep_ms(1_000);
    if trouble {
        let reply = call(deployment.fronts[0], "DELETE", &format!("/recon/{large_id}"), "X-Deadline-Ms: 3000\r\n", "", 3_000);
        note(&format!("client: DELETE /recon/{large_id} -> {}", reply.map_or(0, |reply| reply.0)));
    }
    let cancelled = now_ms();
    while first_start(&id).is_none() && now_ms() < cancelled + 40_000 {
        sleep_ms(100);
    }
    Some(match first_start(&id) {
        Some(at) if at.saturating_sub(cancelled) < 3_000 => Ok(format!("it started {} ms after the cancel", at.saturating_sub(cancelled))),
        at => Err(format!("LOST: the small job started at {at:?}, cancelled at {cancelled}, state {}", deployment.state("/lookup/", &id).1)),
    })
}

/// A small job is held back by a large one for a moment. The large one runs elsewhere and ends.
fn released(trouble: bool) -> Verdict {
    let mut deployment = Deployment::start(&[(16_000, "a", "r1"), (16_000, "b", "r2")], "(kinds a, b)")?;
    let body = configuration(1, &[("/lookup/", 0), ("/roll/", 1), ("/recon/", 2)]);
    if !deployment.put_configuration(0, &body) || !deployment.warm_up("/lookup/") {
        return None;
    }
    let lasting = job("cpu=1000", r#"{"Count":1,"Cpu":1000,"MemMb":256,"EstRuntimeMs":300,"Constraints":"b","LongRunning":true}"#, "");
    let (lasting_id, status) = deployment.submit("/recon/", &lasting, "lasting, 1 core on kind b");
    let usual = job("ms=4000;cpu=8000", r#"{"Count":1,"Cpu":8000,"MemMb":256,"EstRuntimeMs":4000,"Constraints":"a"}"#, "");
    let (usual_id, second) = deployment.submit("/roll/", &usual, "usual, 8 cores on kind a for 4 s");
    sleep_ms(500);
    if status != 200 || second != 200 {
        return None;
    }
    (first_start(&lasting_id)?, first_start(&usual_id)?);
    let large = job("ms=2000;cpu=16000", r#"{"Count":1,"Cpu":16000,"MemMb":1024,"EstRuntimeMs":2000}"#, "");
    let mut large_id = String::new();
    if trouble {
        let (id, status) = deployment.submit("/recon/", &large, "large, 16 cores on any kind");
        if status != 200 {
            return None;
        }
        large_id = id;
    }
    sleep_ms(2_000);
    let small = job("ms=500;cpu=1200", r#"{"Count":1,"Cpu":1200,"MemMb":256,"EstRuntimeMs":500,"Constraints":"b"}"#, "");
    let (id, status) = deployment.submit("/lookup/", &small, "small, first priority, 1.2 cores on kind b");
    if status != 200 {
        return None;
    }
    let accepted = now_ms();
    let waited = longest_wait_under_half(&deployment, &id, accepted + 35_000);
    if trouble {
        note(&format!("the large job: {}", deployment.state("/recon/", &large_id).1));
    }
    let (used, total) = deployment.room();
    note(&format!("in use at the end: {used} of {total} thousandths of a core"));
    let text = format!("the small job had nothing running for {waited} ms in a row with under half of the room in use, state {}", deployment.state("/lookup/", &id).1);
    Some(if waited < 3_000 { Ok(text) } else { Err(format!("LOST: {text}")) })
}

struct StepPlan {
    count: u64,
    cpu: u64,
    label: &'static str,
    rack: &'static str,
    apart: u64,
    gang: bool,
    lasting: bool,
    length_ms: u64,
}

struct JobPlan {
    id: String,
    prefix: &'static str,
    steps: Vec<StepPlan>,
    cancelled: bool,
    /// Since when it has nothing running although it could.
    starves_since: Option<u64>,
    longest: u64,
}

fn random_step(lasting: bool) -> StepPlan {
    let size = random(20);
    let cpu = if lasting { 300 + random(900) } else if size < 3 { 15_000 + random(1_001) } else if size < 8 { 4_000 + random(4_000) } else { 300 + random(2_000) };
    let gang = !lasting && random(8) == 0 && std::env::var_os("FAILURES").is_none();
    StepPlan {
        count: if size < 3 { 1 } else { 1 + random(4) },
        cpu,
        label: ["", "", "a", "b", "c"][random(5) as usize],
        rack: ["", "", "r1", "r2", "r3"][random(5) as usize],
        apart: if random(5) == 0 { 1 } else { 0 },
        gang,
        lasting,
        length_ms: 100 + random(2_500),
    }
}

/// Not a case: a search. Jobs of all shapes on a small service without any trouble; reports those that have nothing running for
/// 3 s though there is capacity twice over and under half of the room is in use.
fn mix() -> Verdict {
    let seed = std::env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1u64);
    RANDOM.store(seed.wrapping_mul(0x5851_f42d_4c95_7f2d), Ordering::Relaxed);
    let plan = [(16_000, "a", "r1"), (16_000, "a", "r2"), (8_000, "a", "r3"), (16_000, "b", "r1"), (8_000, "b", "r2"), (16_000, "c", "r3")];
    let mut deployment = Deployment::start(&plan, "")?;
    if !deployment.put_configuration(0, &configuration(1, &[("/lookup/", 0), ("/roll/", 1), ("/recon/", 2)])) || !deployment.warm_up("/lookup/") {
        return None;
    }
    let mut jobs: Vec<JobPlan> = Vec::new();
    let mut found = Vec::new();
    let mut next_check = 0;
    let has_failures = std::env::var_os("FAILURES").is_some();
    let (mut calm_from, mut rolled_at) = (0, 0);
    while now_ms() < 108_000 {
        let phase = now_ms() % 27_000;
        if std::env::var_os("ROLL").is_some() && phase > 6_500 && rolled_at + 9_000 < now_ms() {
            rolled_at = now_ms();
            calm_from = now_ms() + 5_000;
            if let Some(leader) = deployment.leader() {
                note(&format!("core-{leader}, which leads, is ended and started again"));
                deployment.signal(leader, if random(2) == 0 { "-TERM" } else { "-KILL" });
                deployment.restart(leader);
            }
        }
        if has_failures {
            FAIL_PER_MILLE.store(50, Ordering::Relaxed);
            let grey = if phase < 6_500 { now_ms() / 27_000 % 6 } else { u64::MAX };
            if GREY_WORKER.swap(grey, Ordering::Relaxed) != grey {
                note(&format!("worker that fails all: {grey}"));
                calm_from = now_ms() + 1_000;
            }
        }
        if phase < 6_000 {
            let lasting = random(6) == 0;
            let steps: Vec<StepPlan> = (0..1 + random(2)).map(|_| random_step(lasting)).collect();
            let texts: Vec<String> = steps
                .iter()
                .enumerate()
                .map(|(number, step)| {
                    let mut text = format!("{{\"Count\":{},\"Cpu\":{},\"MemMb\":16,\"EstRuntimeMs\":{}", step.count, step.cpu, step.length_ms);
                    for (name, value) in [("Constraints", step.label), ("Affinity", step.rack)] {
                        if !value.is_empty() {
                            let _ = write!(text, ",\"{name}\":\"{value}\"");
                        }
                    }
                    if step.apart > 0 {
                        text.push_str(",\"AntiAffinity\":1");
                    }
                    for (name, flag) in [("Gang", step.gang), ("LongRunning", step.lasting)] {
                        if flag {
                            let _ = write!(text, ",\"{name}\":true");
                        }
                    }
                    if number > 0 && !step.lasting {
                        let _ = write!(text, ",\"DependsOn\":[{}]", number - 1);
                    }
                    text + "}"
                })
                .collect();
            // All steps of a job have one text; the workers take amount and length by the step's number.
            let spec: Vec<String> = steps.iter().enumerate().map(|(number, step)| {
                format!("cpu{number}={};ms{number}={}", step.cpu, if step.lasting { 0 } else { step.length_ms })
            }).collect();
            let prefix = ["/lookup/", "/roll/", "/recon/"][random(3) as usize];
            let body = job(&spec.join(";"), &texts.join(","), "");
            let (id, status) = deployment.submit(prefix, &body, &texts.join(" "));
            if status == 200 {
                jobs.push(JobPlan { id, prefix, steps, cancelled: false, starves_since: None, longest: 0 });
            }
            sleep_ms(60 + random(200));
        }
        if random(40) == 0 && !jobs.is_empty() {
            let chosen = random(jobs.len() as u64) as usize;
            let job = &mut jobs[chosen];
            if !job.cancelled && (job.steps[0].lasting || random(3) == 0) {
                job.cancelled = true;
                let reply = call(deployment.fronts[0], "DELETE", &format!("{}{}", job.prefix, job.id), "X-Deadline-Ms: 3000\r\n", "", 3_000);
                note(&format!("client: DELETE {}{} -> {}", job.prefix, job.id, reply.map_or(0, |reply| reply.0)));
            }
        }
        if now_ms() >= next_check && now_ms() > calm_from && (!has_failures || phase >= 6_500) {
            next_check = now_ms() + 100;
            check_starving(&deployment, &mut jobs, &mut found);
        }
        sleep_ms(20);
    }
    let mut late: Vec<String> = jobs.iter().filter(|job| job.longest >= 3_000).map(|job| format!("{} {} ms", job.id, job.longest)).collect();
    late.extend(found);
    let text = format!("{} jobs, {} starts, starving: {late:?}", jobs.len(), STARTS.lock().unwrap().len());
    Some(if late.is_empty() { Ok(text) } else { Err(text) })
}

fn check_starving(deployment: &Deployment, jobs: &mut [JobPlan], _found: &mut Vec<String>) {
    let (used, total) = deployment.room();
    let mut free: Vec<u64> = Vec::new();
    let mut running: Vec<String> = Vec::new();
    let mut on: Vec<Vec<String>> = Vec::new();
    for worker in &deployment.workers {
        let state = worker.state.lock().unwrap();
        free.push(worker.cpu - state.running.values().map(|run| run.cpu).sum::<u64>());
        running.extend(state.running.keys().cloned());
        on.push(state.running.keys().cloned().collect());
    }
    let done = DONE.lock().unwrap().clone();
    let failed: Vec<String> = FAILS.lock().unwrap().iter().filter(|(_, fails)| **fails >= 4).map(|(task, _)| task[..16].to_owned()).collect();
    let now = now_ms();
    for job in jobs.iter_mut().filter(|job| !job.cancelled && (job.steps[0].lasting || !failed.contains(&job.id))) {
        let has_running = running.iter().any(|task| task.starts_with(&job.id));
        let ready = job.steps.iter().enumerate().find(|(number, step)| {
            let waits = |step: &StepPlan, number: usize| (0..step.count).filter(|index| !done.contains(&format!("{}.0.{number}.{index}", job.id))).count();
            let earlier = *number == 0 || step.lasting || waits(&job.steps[number - 1], number - 1) == 0 || job.steps[number - 1].gang && waits(&job.steps[number - 1], number - 1) < job.steps[number - 1].count as usize;
            earlier && waits(step, *number) > 0
        });
        let could = ready.is_some_and(|(number, step)| {
            let key = format!("{}.0.{number}.", job.id);
            let members = if step.gang { step.count } else { 1 };
            let room: u64 = deployment
                .workers
                .iter()
                .enumerate()
                .filter(|(_, worker)| step.label.is_empty() || worker.labels[0] == step.label)
                .map(|(at, _)| {
                    let fits = free[at] / step.cpu;
                    let here = on[at].iter().filter(|task| task.starts_with(&key)).count() as u64;
                    if step.apart > 0 { fits.min(step.apart.saturating_sub(here)) } else { fits }
                })
                .sum();
            room >= 2 * members
        });
        if !has_running && could && used * 2 < total {
            let since = *job.starves_since.get_or_insert(now);
            if now - since >= 3_000 && job.longest < 3_000 {
                note(&format!("STARVES {}{} since {since} ms; in use {used} of {total}", job.prefix, job.id));
            }
            job.longest = job.longest.max(now - since);
        } else {
            job.starves_since = None;
        }
    }
}

/// Large jobs run, and the client of one of them cancels it; without `trouble` the jobs have 100 tasks each. Sizes can be given
/// for trials.
fn cancels(trouble: bool) -> Verdict {
    let given = |name: &str, usual: u64| std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual);
    let (jobs, workers, cancels) = (given("JOBS", 3), given("WORKERS", 4), given("CANCELS", 1));
    let tasks = if trouble { given("TASKS", 10_000) } else { 100 };
    if trouble {
        NOTED_TASKS.store(250, Ordering::Relaxed);
        note("of the starts and ends of tasks each 250th of a job is written down; all are counted");
    }
    let plan: Vec<WorkerPlan> = vec![(64_000, "a", "r1"); workers as usize];
    let mut deployment = Deployment::start(&plan, "(64 cores each)")?;
    if !deployment.put_configuration(0, &configuration(1, &[("/lookup/", 0), ("/roll/", 1)])) || !deployment.warm_up("/roll/") {
        return None;
    }
    let cpu = (64_000 * workers / (jobs * tasks) * 9 / 10).min(1_000);
    let body = job(&format!("ms=60000;cpu={cpu}"), &format!(r#"{{"Count":{tasks},"Cpu":{cpu},"MemMb":1,"EstRuntimeMs":60000}}"#), "");
    let mut ids = Vec::new();
    for _ in 0..jobs {
        let (id, status) = deployment.submit("/roll/", &body, &format!("{tasks} tasks of a minute"));
        if status != 200 {
            return None;
        }
        ids.push(id);
    }
    let begun = |ids: &[String]| STARTS.lock().unwrap().iter().filter(|start| ids.iter().any(|id| start.2.starts_with(id.as_str()))).count() as u64;
    while begun(&ids) < jobs * tasks && now_ms() < 40_000 {
        sleep_ms(50);
    }
    note(&format!("{} of {} tasks started", begun(&ids), jobs * tasks));
    if begun(&ids) < jobs * tasks {
        return None;
    }
    sleep_ms(4_000);
    let mut asked = Vec::new();
    for (number, id) in ids.iter().take(cancels as usize).enumerate() {
        let front = deployment.fronts[number % deployment.fronts.len()];
        let reply = call(front, "DELETE", &format!("/roll/{id}"), "X-Deadline-Ms: 3000\r\n", "", 3_000);
        let status = reply.map_or(0, |reply| reply.0);
        note(&format!("client: DELETE /roll/{id} -> {status}"));
        if (200..300).contains(&status) {
            asked.push((id.clone(), now_ms()));
        }
    }
    if asked.is_empty() {
        return None;
    }
    // Meanwhile small jobs of the first priority, for the record alone.
    let (until, mut small) = (now_ms() + 20_000, Vec::new());
    while now_ms() < until {
        let lookup = job("ms=200;cpu=100", r#"{"Count":1,"Cpu":100,"MemMb":1,"EstRuntimeMs":200}"#, "");
        let sent = now_ms();
        let (id, status) = deployment.submit("/lookup/", &lookup, "small, first priority");
        small.push((id, sent, status));
        sleep_ms(500);
    }
    let ended = ENDED.lock().unwrap().clone();
    let starts: Vec<String> = STARTS.lock().unwrap().iter().map(|start| start.2.clone()).collect();
    for (id, at) in &asked {
        let over = |second: u64| {
            let is_over = |task: &&String| task.starts_with(id.as_str()) && ended.get(*task).is_none_or(|end| *end > at + second * 1_000);
            starts.iter().filter(is_over).count()
        };
        let left: Vec<String> = (0..=20).map(|second| over(second).to_string()).collect();
        note(&format!("tasks of the cancelled job {id} that still run, second by second after the answer: {}", left.join(" ")));
    }
    let (mut late, mut longest) = (0, 0);
    for (id, at) in &asked {
        for (_, _, task, _) in STARTS.lock().unwrap().iter().filter(|start| start.2.starts_with(id.as_str())) {
            let ran_on = ended.get(task).copied().unwrap_or(now_ms()).saturating_sub(*at);
            longest = longest.max(ran_on);
            late += u32::from(ran_on > 3_000 + 400);
        }
    }
    let refused = small.iter().filter(|(.., status)| *status != 200).count();
    let waits = small.iter().filter(|(.., status)| *status == 200).map(|(id, sent, _)| first_start(id).unwrap_or(now_ms()) - sent);
    note(&format!("of {} small jobs {refused} were refused, the longest wait of the others was {} ms", small.len(), waits.max().unwrap_or(0)));
    let text = format!(
        "of {} cancelled tasks {late} ran on later than 3.4 s after the acknowledgement, the longest {longest} ms",
        asked.len() as u64 * tasks
    );
    Some(if late == 0 { Ok(text) } else { Err(format!("UNASKED: {text}")) })
}
