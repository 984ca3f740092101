//! Control processes form a group, keep a configuration, and accept machines that lost their disks.

mod support;

use messages::peer::mod_ClientRequest::OneOfcall;
use messages::peer::mod_PeerFrame::OneOfbody;
use messages::peer::{ClientReply, ClientRequest, LeaderNotice, Outcome, Ping, Pong, ReadRequest};
use support::http::{call, call_until_final};
use support::watcher::Watcher;
use support::Site;

/// Has spaces and an order of fields that no JSON serializer would reproduce.
const FIRST: &[u8] = br#"{ "Version" : 3, "Routes":[{"PathPrefix":"/a/","Name":"r1","Host":"h.example","RouteType":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":1,"Backend":"s","MaxRetries":3,"Stretch":2.2}],"Backends":[{"Name":"s","HealthCheck":"/healthz","MaxConnections":64,"Protocol":"h1","Tls":false,"Guards":true}] }"#;
const BROKEN: &[u8] = br#"{"Version":5,"Routes":[{"#;

fn put(site: &Site, machine: usize, if_match: u64, body: &[u8]) -> u16 {
    call_until_final(site.control(machine), "PUT", &format!("If-Match: {if_match}\r\n"), body).status
}

fn second() -> Vec<u8> {
    String::from_utf8_lossy(FIRST).replace("\"Version\" : 3", "\"Version\":4").into_bytes()
}

/// Whether the group has three voters, one of them at this address with another identity than `former`.
fn has_replaced(notice: &LeaderNotice, address: &str, former: u64) -> bool {
    let Some(membership) = &notice.membership else {
        return false;
    };
    let mut voters = membership.members.iter().filter(|member| member.voter);
    let is_replaced = voters.clone().any(|member| member.address == address && member.id != former);
    is_replaced && voters.by_ref().count() == 3
}

#[test]
fn founders_accept_a_configuration() {
    let site = Site::new("founders", 3);
    let processes = site.found();
    site.watch(0).wait_for_leader();
    assert_eq!(put(&site, 0, 0, FIRST), 200);
    assert_eq!(put(&site, 1, 0, FIRST), 200, "a repeated change is acknowledged again");
    assert_eq!(put(&site, 2, 0, &second()), 412, "another version is current");
    assert_eq!(put(&site, 1, 3, BROKEN), 400);
    assert_eq!(put(&site, 2, 3, &second()), 200);
    for machine in 0..3 {
        let reply = call_until_final(site.control(machine), "GET", "", b"");
        assert_eq!((reply.status, reply.body), (200, second()));
        assert_eq!(reply.head.to_lowercase().matches("content-type: application/json").count(), 1);
    }
    processes.into_iter().for_each(support::Process::stop);
}

#[test]
fn followers_redirect_to_the_leader() {
    let site = Site::new("followers", 3);
    let processes = site.found();
    let leader = site.machine_at(&site.watch(0).wait_for_leader().leader_address);
    let follower = (leader + 1) % 3;
    site.watch(follower).wait_for_leader();
    let reply = loop {
        let reply = call(site.control(follower), "GET", "", b"");
        if reply.status != 503 {
            break reply;
        }
    };
    assert_eq!(reply.status, 307);
    assert_eq!(support::http::target(&reply), site.control(leader));
    processes.into_iter().for_each(support::Process::stop);
}

#[test]
fn configuration_survives_a_restart_of_all_members() {
    let site = Site::new("restart", 3);
    let processes = site.found();
    site.watch(0).wait_for_leader();
    assert_eq!(put(&site, 0, 0, FIRST), 200);
    processes.into_iter().for_each(support::Process::stop);

    let processes: Vec<_> = (0..3).map(|machine| site.start(machine, false)).collect();
    site.watch(1).wait_for_leader();
    let reply = call_until_final(site.control(1), "GET", "", b"");
    assert_eq!((reply.status, reply.body), (200, FIRST.to_vec()));
    processes.into_iter().for_each(support::Process::stop);
}

#[test]
fn stopping_leader_transfers_leadership() {
    let site = Site::new("handover", 3);
    let mut processes: Vec<_> = site.found().into_iter().map(Some).collect();
    let first = site.watch(0).wait_for_leader();
    let leader = site.machine_at(&first.leader_address);
    // Without a committed command, the next leader would wait for the machine that is stopped here.
    assert_eq!(put(&site, leader, 0, FIRST), 200);
    let mut watcher = site.watch((leader + 1) % 3);
    processes[leader].take().expect("it runs").stop();
    let next = watcher.wait_for(|notice| notice.leader_id != 0 && notice.leader_id != first.leader_id);
    assert!(next.term > first.term);
    processes.into_iter().flatten().for_each(support::Process::stop);
}

#[test]
fn machine_with_lost_disk_joins_under_a_new_identity() {
    let site = Site::new("wiped", 3);
    let mut processes: Vec<_> = site.found().into_iter().map(Some).collect();
    let leader = site.machine_at(&site.watch(0).wait_for_leader().leader_address);
    assert_eq!(put(&site, leader, 0, FIRST), 200);
    let wiped = (leader + 1) % 3;
    processes[wiped].take().expect("it runs").stop();
    site.wipe(wiped);
    processes[wiped] = Some(site.start(wiped, false));

    let former = u64::from(u32::from(site.ip(wiped)));
    let address = site.peer(wiped).to_string();
    site.watch(leader).wait_for(|notice| has_replaced(notice, &address, former));

    // With the third machine stopped, the new member's vote is needed.
    let other = (leader + 2) % 3;
    processes[other].take().expect("it runs").stop();
    assert_eq!(put(&site, wiped, 3, &second()), 200);
    processes.into_iter().flatten().for_each(support::Process::stop);
}

/// Whether the group has three voters, one at address `to` and none at address `from`.
fn has_moved(notice: &LeaderNotice, to: &str, from: &str) -> bool {
    let Some(membership) = &notice.membership else {
        return false;
    };
    let mut voters = membership.members.iter().filter(|member| member.voter);
    let has = |address: &str| voters.clone().any(|member| member.address == address);
    has(to) && !has(from) && voters.by_ref().count() == 3
}

fn is_listed(notice: &LeaderNotice, address: &str) -> bool {
    let members = notice.membership.iter().flat_map(|membership| &membership.members);
    members.into_iter().any(|member| member.address == address)
}

#[test]
fn spare_replaces_a_stopped_voter_which_rejoins_after_its_restart() {
    let site = Site::new("spare", 4);
    let mut processes: Vec<_> = site.found().into_iter().map(Some).collect();
    let first = site.watch(0).wait_for_leader();
    let leader = site.machine_at(&first.leader_address);
    let stopped = (leader + 1) % 3;
    let (spare, stopped_address) = (site.peer(3).to_string(), site.peer(stopped).to_string());
    site.watch(leader).wait_for(|notice| is_listed(notice, &spare));

    processes[stopped].take().expect("it runs").stop();
    site.watch(leader).wait_for(|notice| has_moved(notice, &spare, &stopped_address));
    assert_eq!(put(&site, leader, 0, FIRST), 200);

    processes[stopped] = Some(site.start(stopped, false));
    site.watch(leader).wait_for(|notice| is_listed(notice, &stopped_address));
    site.watch(stopped).wait_for(|notice| notice.leader_id != 0 && is_listed(notice, &stopped_address));
    let reply = call_until_final(site.control(stopped), "GET", "", b"");
    assert_eq!((reply.status, reply.body), (200, FIRST.to_vec()));
    processes.into_iter().flatten().for_each(support::Process::stop);
}

/// Requests the state of a job as an edge does.
fn read_job(watcher: &mut Watcher, request_id: u64, path: &str) -> ClientReply {
    let call = OneOfcall::read(ReadRequest { id: 1 });
    let (host, path) = ("h.example".to_owned(), path.to_owned());
    watcher.send(OneOfbody::request(ClientRequest { request_id, host, path, time_left_ms: 3_000, call }));
    loop {
        if let OneOfbody::reply(reply) = watcher.next() {
            return reply;
        }
    }
}

/// Repeats the request while the leader's lease has expired, which may happen on a busy machine.
fn read_until_confirmed(watcher: &mut Watcher, request_id: u64, path: &str) -> ClientReply {
    loop {
        let reply = read_job(watcher, request_id, path);
        if reply.outcome != Outcome::NOT_LEADER {
            return reply;
        }
    }
}

#[test]
fn only_the_leader_answers_clients() {
    let site = Site::new("clients", 3);
    let processes = site.found();
    let leader = site.machine_at(&site.watch(0).wait_for_leader().leader_address);
    assert_eq!(put(&site, leader, 0, FIRST), 200);

    let mut to_leader = site.watch(leader);
    let reply = read_until_confirmed(&mut to_leader, 5, "/elsewhere/0000000000000001");
    assert_eq!((reply.request_id, reply.outcome), (5, Outcome::NO_ROUTE));
    let reply = read_until_confirmed(&mut to_leader, 6, "/a/0000000000000001");
    assert_eq!((reply.request_id, reply.outcome), (6, Outcome::NO_SUCH_JOB));

    let mut to_follower = site.watch((leader + 1) % 3);
    let reply = read_job(&mut to_follower, 7, "/a/0000000000000001");
    assert_eq!((reply.request_id, reply.outcome), (7, Outcome::NOT_LEADER));
    to_follower.send(OneOfbody::ping(Ping { number: 9 }));
    loop {
        match to_follower.next() {
            OneOfbody::pong(pong) => break assert_eq!(pong, Pong { number: 9 }),
            OneOfbody::leader(_) => {}
            other => panic!("a pong, not {other:?}"),
        }
    }
    processes.into_iter().for_each(support::Process::stop);
}
