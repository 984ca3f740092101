//! The encoding of every message must not change: processes of different versions exchange messages, and logs
//! and snapshots that an older version wrote must stay readable.
//!
//! `golden/messages.hex` contains one example of each message with every field set, as `name hex`. Fields may
//! be renamed in this test together with the schema, but the golden file must not change. The command
//! `GOLDEN=write cargo test -p messages --test golden_bytes` rewrites the file; use it only to add a new
//! message.

use messages::job::{self, mod_Command};
use messages::peer::mod_RelayedCall::OneOfrequest;
use messages::peer::mod_RelayedOutcome::OneOfkind as OneOfoutcome;
use messages::peer::{self, mod_ClientRequest, mod_ConsensusMessage, mod_PeerFrame};
use messages::{decode, encode, encode_frame};
use std::fmt::Debug;
use std::fs;
use std::path::PathBuf;

fn golden_file() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/messages.hex")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Lines of the golden file as this version encodes them.
#[derive(Default)]
struct Examples {
    lines: Vec<String>,
}

impl Examples {
    /// Adds a message, and checks that decoding its bytes gives the same message.
    fn add<M>(&mut self, name: &str, message: M)
    where
        M: quick_protobuf::MessageWrite + for<'a> quick_protobuf::MessageRead<'a> + PartialEq + Debug,
    {
        let bytes = encode(&message);
        assert_eq!(decode::<M>(&bytes).as_ref(), Ok(&message), "{name}");
        self.lines.push(format!("{name} {}", hex(&bytes)));
    }
}

fn task() -> job::TaskId {
    job::TaskId { job: 0x0102_0304_0506_0708, time: 9, step: 10, index: 11 }
}

fn stage() -> job::Stage {
    job::Stage {
        count: 1,
        cpu: 2,
        mem_mb: 3,
        gpu: 4,
        est_runtime_ms: 500,
        depends_on: vec![6, 700],
        checkpoints: true,
        gang: true,
        rack_local: true,
        constraint: "label".to_owned(),
        affinity: "rack".to_owned(),
        anti_affinity: 12,
        speculative: true,
        long_running: true,
    }
}

fn specification() -> job::JobSpec {
    job::JobSpec {
        spec: "text".to_owned(),
        stages: vec![stage(), job::Stage { count: 2, ..job::Stage::default() }],
        start_at_ms: 3_000,
        interval_ms: 4_000,
        repeat: 5,
    }
}

fn incarnation() -> job::WorkerIncarnation {
    job::WorkerIncarnation {
        instance: "instance".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        service: "service".to_owned(),
    }
}

fn start() -> job::AttemptStart {
    job::AttemptStart { task: Some(task()), attempt: 2, instance: "instance".to_owned() }
}

fn end(kind: job::EndKind) -> job::WorkerEnd {
    job::WorkerEnd {
        sequence: 1,
        task: Some(task()),
        attempt: 3,
        kind,
        checkpoint: "checkpoint".to_owned(),
        counted: true,
    }
}

fn resolved(resolution: job::Resolution) -> job::AttemptResolved {
    job::AttemptResolved {
        task: Some(task()),
        attempt: 2,
        instance: "instance".to_owned(),
        resolution,
        checkpoint: "checkpoint".to_owned(),
    }
}

fn configuration() -> job::PutConfiguration {
    job::PutConfiguration { body: b"{\"Version\":2}".to_vec(), version: 2, builds_on: 1 }
}

fn submission() -> job::SubmitJob {
    job::SubmitJob {
        id: 0x1112_1314_1516_1718,
        route: "route".to_owned(),
        service: "service".to_owned(),
        priority: 4,
        max_retries: 5,
        target_latency_ms: 6_000,
        stretch: 7.5,
        accepted_at_ms: 1_700_000_000_000,
        job: Some(specification()),
        prefix_key: "host/prefix/".to_owned(),
    }
}

fn commands() -> Vec<(&'static str, mod_Command::OneOfkind)> {
    use job::{EndKind, Resolution};
    use mod_Command::OneOfkind;
    let kinds = [
        EndKind::END_UNKNOWN,
        EndKind::DONE,
        EndKind::FAILED,
        EndKind::STOPPED,
        EndKind::LAPSED,
        EndKind::BROKEN,
        EndKind::ALONE,
    ];
    let resolutions = [
        Resolution::RESOLUTION_UNKNOWN,
        Resolution::REJECTED_NO_CAPACITY,
        Resolution::REJECTED,
        Resolution::NEVER_RAN,
        Resolution::LEASE_EXPIRED,
        Resolution::INCARNATION_ENDED,
    ];
    let ends = job::RecordEnds { instance: "instance".to_owned(), ends: kinds.map(end).to_vec() };
    let cancel = job::CancelJob { id: 0x2122_2324_2526_2728, prefix_key: "host/prefix/".to_owned() };
    vec![
        ("put_configuration", OneOfkind::put_configuration(configuration())),
        ("submit_job", OneOfkind::submit_job(submission())),
        ("cancel_job", OneOfkind::cancel_job(cancel)),
        (
            "start_attempts",
            OneOfkind::start_attempts(job::StartAttempts {
                starts: vec![start(); 2],
                incarnations: vec![incarnation()],
            }),
        ),
        ("record_ends", OneOfkind::record_ends(ends)),
        (
            "resolve_attempts",
            OneOfkind::resolve_attempts(job::ResolveAttempts {
                resolved: resolutions.map(resolved).to_vec(),
            }),
        ),
        (
            "forget_workers",
            OneOfkind::forget_workers(job::ForgetWorkers { instances: vec!["a".to_owned(), "b".to_owned()] }),
        ),
        ("advance_clock", OneOfkind::advance_clock(job::AdvanceClock { now_ms: 1_700_000_000_001 })),
    ]
}

fn snapshot() -> job::SchedulerSnapshot {
    use job::JobPhase;
    let state = job::TaskState {
        step: 1,
        index: 2,
        time: 3,
        done: true,
        last_attempt: 5,
        failures: 6,
        checkpoint: "checkpoint".to_owned(),
        active: vec![job::ActiveAttempt { attempt: 8, instance: "instance".to_owned() }],
    };
    let phases = [JobPhase::OPEN, JobPhase::COMPLETED, JobPhase::JOB_FAILED, JobPhase::CANCELLED];
    let job = |phase| job::JobState {
        submit: Some(submission()),
        phase,
        ended_at_ms: 3,
        tasks: vec![state.clone()],
    };
    job::SchedulerSnapshot {
        configurations: vec![configuration()],
        jobs: phases.map(job).to_vec(),
        workers: vec![job::WorkerState { incarnation: Some(incarnation()), noted: 2 }],
        clock_ms: 4,
        format: 1,
        cancel_tombstones: Vec::new(),
    }
}

fn tombstones() -> job::QueueTombstones {
    let tombstone = job::CancelTombstone { id: 0x4142_4344_4546_4748, recorded_at_ms: 1_700_000_000_000 };
    job::QueueTombstones { prefix_key: "host.example/queue/".to_owned(), tombstones: vec![tombstone] }
}

fn member() -> peer::Member {
    peer::Member {
        id: 0x3132_3334_3536_3738,
        address: "10.0.0.2:7660".to_owned(),
        control: "10.0.0.2:8146".to_owned(),
        voter: true,
    }
}

fn membership() -> peer::Membership {
    peer::Membership { members: vec![member(), peer::Member { id: 2, ..peer::Member::default() }] }
}

fn client_requests() -> Vec<(&'static str, mod_ClientRequest::OneOfcall)> {
    use mod_ClientRequest::OneOfcall;
    vec![
        ("submit", OneOfcall::submit(peer::SubmitRequest { id: 1, job: Some(specification()) })),
        ("read", OneOfcall::read(peer::ReadRequest { id: 2 })),
        ("cancel", OneOfcall::cancel(peer::CancelRequest { id: 3 })),
        ("count", OneOfcall::count(peer::CountRequest {})),
    ]
}

fn replies() -> Vec<peer::ClientReply> {
    use peer::Outcome;
    let outcomes = [
        Outcome::OUTCOME_UNKNOWN,
        Outcome::ACCEPTED,
        Outcome::STATE,
        Outcome::COUNT,
        Outcome::CANCEL_DONE,
        Outcome::NO_ROUTE,
        Outcome::NO_SUCH_JOB,
        Outcome::INVALID,
        Outcome::OVERLOADED,
        Outcome::UNAVAILABLE,
        Outcome::UNSURE,
        Outcome::NOT_LEADER,
    ];
    let reply = |outcome| peer::ClientReply {
        request_id: 1,
        outcome,
        state: "running".to_owned(),
        pending: 4,
        retry_after_ms: 5,
        text: "why".to_owned(),
    };
    outcomes.map(reply).to_vec()
}

fn consensus_messages() -> Vec<(&'static str, mod_ConsensusMessage::OneOfkind)> {
    use mod_ConsensusMessage::OneOfkind;
    use peer::EntryKind;
    let entry = |kind, payload: &[u8]| peer::LogEntry { index: 1, term: 2, kind, payload: payload.to_vec() };
    let entries = vec![
        entry(EntryKind::COMMAND, b"a"),
        entry(EntryKind::NOOP, b""),
        entry(EntryKind::MEMBERSHIP, b"b"),
    ];
    vec![
        (
            "vote_request",
            OneOfkind::vote_request(peer::VoteRequest {
                term: 1,
                last_index: 2,
                last_term: 3,
                pre_vote: true,
                transfer: true,
                unanimous: true,
            }),
        ),
        ("vote_reply", OneOfkind::vote_reply(peer::VoteReply { term: 1, granted: true, pre_vote: true })),
        (
            "append_request",
            OneOfkind::append_request(peer::AppendRequest {
                term: 1,
                previous_index: 2,
                previous_term: 3,
                entries,
                commit: 5,
                round: 6,
            }),
        ),
        (
            "append_reply",
            OneOfkind::append_reply(peer::AppendReply {
                term: 1,
                success: true,
                match_index: 3,
                conflict_index: 4,
                round: 5,
            }),
        ),
        (
            "snapshot_chunk",
            OneOfkind::snapshot_chunk(peer::SnapshotChunk {
                term: 1,
                last_index: 2,
                last_term: 3,
                membership: Some(membership()),
                offset: 5,
                total: 6,
                data: b"data".to_vec(),
                round: 8,
            }),
        ),
        (
            "snapshot_reply",
            OneOfkind::snapshot_reply(peer::SnapshotReply { term: 1, received: 2, last_index: 3, round: 4 }),
        ),
        ("timeout_now", OneOfkind::timeout_now(peer::TimeoutNow { term: 1 })),
    ]
}

fn founding_offer() -> peer::FoundingOffer {
    let seeds = vec!["10.0.0.1:7660".to_owned(), "10.0.0.2:7660".to_owned()];
    peer::FoundingOffer { member: Some(member()), seeds }
}

fn founding_proposal() -> peer::FoundingProposal {
    peer::FoundingProposal { membership: Some(membership()) }
}

fn group_notice() -> peer::GroupNotice {
    let address = "10.0.0.2:7660".to_owned();
    let leader_id = 0x5152_5354_5556_5758;
    peer::GroupNotice { address, leader_id, membership: Some(membership()), takes_commands: true }
}

fn frames() -> Vec<(String, mod_PeerFrame::OneOfbody)> {
    use mod_PeerFrame::OneOfbody;
    let hello = peer::Hello {
        node_name: "core-1".to_owned(),
        node_id: 0x4142_4344_4546_4748,
        address: "10.0.0.3:7660".to_owned(),
        control: "10.0.0.3:8146".to_owned(),
    };
    let leader = peer::LeaderNotice {
        term: 1,
        leader_id: 0x5152_5354_5556_5758,
        leader_address: "10.0.0.4:7660".to_owned(),
        membership: Some(membership()),
    };
    let mut frames = vec![
        ("hello".to_owned(), OneOfbody::hello(hello)),
        ("leader".to_owned(), OneOfbody::leader(leader)),
        ("join".to_owned(), OneOfbody::join(peer::Join { member: Some(member()) })),
        ("ping".to_owned(), OneOfbody::ping(peer::Ping { number: 7 })),
        ("pong".to_owned(), OneOfbody::pong(peer::Pong { number: 8 })),
        ("founding_offer".to_owned(), OneOfbody::founding_offer(founding_offer())),
        ("founding_proposal".to_owned(), OneOfbody::founding_proposal(founding_proposal())),
        ("group_notice".to_owned(), OneOfbody::group_notice(group_notice())),
    ];
    for (name, call) in client_requests() {
        let request = peer::ClientRequest {
            request_id: 1,
            host: "host".to_owned(),
            path: "/prefix/job".to_owned(),
            time_left_ms: 4,
            call,
        };
        frames.push((format!("request.{name}"), OneOfbody::request(request)));
    }
    for (outcome, reply) in replies().into_iter().enumerate() {
        frames.push((format!("reply.{outcome}"), OneOfbody::reply(reply)));
    }
    for (name, kind) in consensus_messages() {
        let message = peer::ConsensusMessage { from: 0x6162_6364_6566_6768, to: 0x7172_7374_7576_7778, kind };
        frames.push((format!("consensus.{name}"), OneOfbody::consensus(message)));
    }
    frames.extend(relay_frames());
    frames
}

fn relay_frames() -> Vec<(String, mod_PeerFrame::OneOfbody)> {
    let id = || Some(peer::RelayedCallId { worker: 1, call: 2 });
    let task = || Some(job::TaskId { job: 0x6162_6364_6566_6768, time: 1, step: 2, index: 3 });
    let requests = [
        OneOfrequest::start(peer::RelayedStart {
            task: task(),
            attempt: 4,
            spec: "spec".to_owned(),
            checkpoint: "saved".to_owned(),
            deadline_ms: 5,
        }),
        OneOfrequest::stop(peer::RelayedStop { task: task(), attempt: 6 }),
        OneOfrequest::renew_lease(peer::RelayedLeaseRenewal {
            last_seen: 7,
            has_deadline: true,
            deadline_ms: 8,
            wait_ms: 9,
        }),
    ];
    let call = |request| peer::RelayedCall {
        id: id(),
        address: "10.0.0.1:8080".to_owned(),
        instance: "i-1".to_owned(),
        leave_by: 10,
        fencing_token: 11,
        request,
    };
    let batch = peer::WorkerCallBatch {
        from: 0x6162_6364_6566_6768,
        term: 12,
        session: 13,
        number: 14,
        calls: requests.map(call).into(),
        cancelled: id().into_iter().collect(),
    };
    let end = job::WorkerEnd {
        sequence: 15,
        task: task(),
        attempt: 16,
        kind: job::EndKind::DONE,
        checkpoint: "saved".to_owned(),
        counted: true,
    };
    let running =
        peer::RelayedRunning { task: task(), attempt: 17, checkpoint: "saved".to_owned(), percent: 18 };
    let kinds = [
        OneOfoutcome::answer(peer::RelayedAnswer { now_ms: 19 }),
        OneOfoutcome::lists(peer::RelayedLists { now_ms: 20, running: vec![running], finished: vec![end] }),
        OneOfoutcome::refused(peer::RelayedRefusal {
            has_clock: true,
            now_ms: 21,
            reason: peer::RefusalReason::WRONG_INCARNATION,
        }),
        OneOfoutcome::failed(peer::RelayedFailure { kind: peer::FailureKind::WITHHELD }),
    ];
    let report = peer::RelayReport {
        from: 0x7172_7374_7576_7778,
        term: 22,
        session: 23,
        number: 24,
        received: 25,
        clock: 26,
        lost_batches: true,
        outcomes: kinds.map(|kind| peer::RelayedOutcome { id: id(), kind }).into(),
    };
    vec![
        ("worker_calls".to_owned(), mod_PeerFrame::OneOfbody::worker_calls(batch)),
        ("relay_report".to_owned(), mod_PeerFrame::OneOfbody::relay_report(report)),
    ]
}

#[test]
fn encoding_of_every_message_matches_golden_file() {
    let mut examples = Examples::default();
    for (name, body) in frames() {
        examples.add(&format!("peer_frame.{name}"), peer::PeerFrame { body });
    }
    examples.add("membership", membership());
    let mut all = Vec::new();
    for (name, kind) in commands() {
        let command = job::Command { kind };
        all.push(command.clone());
        examples.add(&format!("command.{name}"), command);
    }
    examples.add("command_batch", job::CommandBatch { commands: all });
    examples.add("scheduler_snapshot", snapshot());
    examples.add("queue_tombstones", tombstones());
    let with_tombstones =
        job::SchedulerSnapshot { cancel_tombstones: vec![tombstones()], ..job::SchedulerSnapshot::default() };
    examples.add("scheduler_snapshot_with_tombstones", with_tombstones);
    let written = examples.lines.join("\n") + "\n";
    if std::env::var("GOLDEN").is_ok_and(|what| what == "write") {
        fs::write(golden_file(), &written).expect("the golden file is writable");
    }
    let golden = fs::read_to_string(golden_file()).expect("the golden file is committed");
    for (line, expected) in written.lines().zip(golden.lines()) {
        assert_eq!(line, expected);
    }
    assert_eq!(written, golden, "messages were added or removed");
}

/// A frame consists of the length of the message (4 bytes, little endian) and the message.
#[test]
fn frame_is_length_followed_by_message() {
    let body = mod_PeerFrame::OneOfbody::ping(peer::Ping { number: 300 });
    let mut bytes = b"before".to_vec();
    encode_frame(&peer::PeerFrame { body }, &mut bytes);
    assert_eq!(hex(&bytes[6..]), "050000003a0308ac02");
}
