//! The group is founded although processes end, or get other settings, before they have written its first log.

mod support;

use std::time::Instant;
use support::http::{call, call_until_clear, status_text, wait_for_api};
use support::{Site, TEST_TIMEOUT};

const CONFIGURATION: &[u8] = br#"{"Version":3,"Routes":[{"Name":"r1","Host":"h.example","PathPrefix":"/a/","RouteType":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":1,"Backend":"s","MaxRetries":3,"Stretch":2.2}],"Backends":[{"Name":"s","HealthCheck":"/healthz","MaxConnections":64,"Protocol":"h1","Tls":false,"Guards":true}]}"#;

/// Starts machines with empty disks, each with the value of `Bootstrap` that its settings hold at that start, and lets the
/// group take a configuration.
fn found_with(name: &str, bootstrap: [bool; 3]) {
    let site = Site::new(name, bootstrap.len());
    let processes: Vec<_> =
        bootstrap.iter().enumerate().map(|(machine, bootstrap)| site.start(machine, *bootstrap)).collect();
    site.watch(0).wait_for_leader();
    let reply = call_until_clear(site.control(0), "PUT", "If-Match: 0\r\n", CONFIGURATION);
    assert_eq!(reply.status, 200);
    processes.into_iter().for_each(support::Process::stop);
}

#[test]
fn seeds_that_all_start_anew_before_they_founded_found_the_group() {
    found_with("none-founded", [false, false, false]);
}

#[test]
fn a_lone_founder_is_no_obstacle_to_seeds_that_start_anew() {
    found_with("one-founded", [false, true, false]);
}

/// Two of three founders elect a leader, which takes no configuration: the third may have nothing on its disk, and then
/// one lost disk would end the group. So it is once the third starts as a process that has lost its identity.
#[test]
fn a_group_takes_its_first_command_once_its_last_machine_has_come() {
    let site = Site::new("last-machine", 3);
    let mut processes = vec![site.start(0, true), site.start(1, true)];
    (0..2).for_each(|machine| wait_for_api(site.control(machine)));
    let deadline = Instant::now() + TEST_TIMEOUT;
    let waits =
        |machine: usize| status_text(site.control(machine)).contains("obstacle=voters-unconfirmed wanted=3");
    while !waits(0) && !waits(1) {
        assert!(Instant::now() < deadline, "no leader that waits: {}", status_text(site.control(0)));
    }
    for machine in 0..2 {
        let status = call(site.control(machine), "PUT", "If-Match: 0\r\n", CONFIGURATION).status;
        assert!([307, 503].contains(&status), "{status} from machine {machine}");
    }
    processes.push(site.start(2, false));
    let reply = call_until_clear(site.control(0), "PUT", "If-Match: 0\r\n", CONFIGURATION);
    assert_eq!(reply.status, 200);
    assert!(!status_text(site.control(0)).contains("obstacle="));
    processes.into_iter().for_each(support::Process::stop);
}
