//! The group is founded even if processes end, or get other settings, before they have written its first log.

mod support;

use std::time::Instant;
use support::http::{call, call_until_final, status_text, wait_for_api};
use support::{Site, TEST_TIMEOUT};

const CONFIGURATION: &[u8] = br#"{"Version":3,"Routes":[{"Name":"r1","Host":"h.example","PathPrefix":"/a/","RouteType":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":1,"Backend":"s","MaxRetries":3,"Stretch":2.2}],"Backends":[{"Name":"s","HealthCheck":"/healthz","MaxConnections":64,"Protocol":"h1","Tls":false,"Guards":true}]}"#;

/// Starts machines with empty disks, each with the given value of the setting `Bootstrap`, and lets the group
/// accept a configuration.
fn found_with(name: &str, bootstrap: [bool; 3]) {
    let site = Site::new(name, bootstrap.len());
    let processes: Vec<_> =
        bootstrap.iter().enumerate().map(|(machine, bootstrap)| site.start(machine, *bootstrap)).collect();
    site.watch(0).wait_for_leader();
    let reply = call_until_final(site.control(0), "PUT", "If-Match: 0\r\n", CONFIGURATION);
    assert_eq!(reply.status, 200);
    processes.into_iter().for_each(support::Process::stop);
}

#[test]
fn seeds_without_a_group_found_one() {
    found_with("none-founded", [false, false, false]);
}

#[test]
fn seeds_found_a_group_despite_a_lone_founder() {
    found_with("one-founded", [false, true, false]);
}

/// Two of three founders elect a leader that accepts no configuration: the third founder's disk may be empty,
/// so the loss of one disk could lose the group's state. The leader accepts a configuration once the third
/// machine has started, here as a process that has lost its identity.
#[test]
fn first_command_waits_for_the_last_founder() {
    let site = Site::new("last-machine", 3);
    let mut processes = vec![site.start(0, true), site.start(1, true)];
    (0..2).for_each(|machine| wait_for_api(site.control(machine)));
    let deadline = Instant::now() + TEST_TIMEOUT;
    let waits =
        |machine: usize| status_text(site.control(machine)).contains("obstacle=voters-unconfirmed wanted=3");
    while !waits(0) && !waits(1) {
        assert!(
            Instant::now() < deadline,
            "no leader waits for the third voter: {}",
            status_text(site.control(0))
        );
    }
    for machine in 0..2 {
        let status = call(site.control(machine), "PUT", "If-Match: 0\r\n", CONFIGURATION).status;
        assert!([307, 503].contains(&status), "{status} from machine {machine}");
    }
    processes.push(site.start(2, false));
    let reply = call_until_final(site.control(0), "PUT", "If-Match: 0\r\n", CONFIGURATION);
    assert_eq!(reply.status, 200);
    assert!(!status_text(site.control(0)).contains("obstacle="));
    processes.into_iter().for_each(support::Process::stop);
}
