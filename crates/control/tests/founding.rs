//! The group is founded although processes end, or get other settings, before they have written its first log.

mod support;

use support::http::call_until_clear;
use support::Site;

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
