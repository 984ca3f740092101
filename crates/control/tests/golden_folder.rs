//! A data directory written by an earlier version is recovered to the same state, can be extended, and is
//! written with the same bytes today.
//!
//! `golden/data-folder` holds the directory (an identity, segments, a snapshot); `golden/data-folder.txt`
//! describes the state recovered at a start. Both must not change. This command writes them again:
//! `GOLDEN=write cargo test -p control --test golden_folder -- recovered`. Use it only after an intended
//! change of the stored format, and then keep the old directory beside the new one.

use consensus::Payload;
use log_records::restored_from_stored;
use messages::job::mod_Command::OneOfkind;
use messages::job::{
    AdvanceClock, AttemptResolved, AttemptStart, CancelJob, Command, CommandBatch, EndKind, ForgetWorkers,
    JobSpec, PutConfiguration, RecordEnds, Resolution, ResolveAttempts, SchedulerSnapshot, Stage,
    StartAttempts, SubmitJob, TaskId, WorkerEnd, WorkerIncarnation,
};
use messages::peer::{Member, Membership};
use messages::{decode, encode};
use scheduler::state::{Job, State};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use storage::{
    FileDirectory, HardState, Identity, Recovered, Store, StoreOptions, StoredEntry, StoredSnapshot,
    WriteBatch,
};

/// Kinds of entries as stored on disk.
const COMMAND: u8 = 0;
const NOOP: u8 = 1;
const MEMBERSHIP: u8 = 2;
const IDENTITY: u64 = 0x0000_0007_0a00_0001;
const QUEUE: &str = "host.example/queue/";
/// Index of the last entry covered by the snapshot.
const SNAPSHOT_INDEX: u64 = 8;
/// Small enough that the log has several segments.
const SEGMENT_BYTES: u64 = 500;

fn golden(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// A directory that is removed at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("golden-folder-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    /// A copy of the golden folder.
    fn golden(name: &str) -> Self {
        let folder = Folder::new(name);
        for (file, bytes) in files(&golden("data-folder")) {
            fs::write(folder.0.join(file), bytes).expect("a copy");
        }
        folder
    }

    fn open(&self) -> Result<(Store<FileDirectory>, Recovered), storage::StorageError> {
        Store::open(FileDirectory::new(&self.0).expect("a folder"), StoreOptions::default())
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry"));
    let read = |entry: fs::DirEntry| {
        let name = entry.file_name().into_string().expect("a name in ASCII");
        (name, fs::read(entry.path()).expect("a file"))
    };
    entries.map(read).collect()
}

// ---- Contents of the golden directory

fn batch(commands: Vec<OneOfkind>) -> Vec<u8> {
    let commands = commands.into_iter().map(|kind| Command { kind }).collect();
    encode(&CommandBatch { commands })
}

fn members(learner: bool) -> Vec<u8> {
    let member = |number: u64| Member {
        id: 0x0a00_0000 + number,
        address: format!("10.0.0.{number}:7660"),
        control: format!("10.0.0.{number}:8146"),
        voter: number < 4,
    };
    encode(&Membership { members: (1..=if learner { 4 } else { 3 }).map(member).collect() })
}

fn put(version: u64, builds_on: u64) -> OneOfkind {
    let body = format!("{{\"Version\":{version},\"Routes\":[],\"Backends\":[]}}").into_bytes();
    OneOfkind::put_configuration(PutConfiguration { body, version, builds_on })
}

fn submit(id: u64, job: JobSpec) -> OneOfkind {
    OneOfkind::submit_job(SubmitJob {
        id,
        route: "r".to_owned(),
        service: "s".to_owned(),
        priority: 1,
        max_retries: 2,
        target_latency_ms: 5_000,
        stretch: 2.5,
        accepted_at_ms: 1_700_000_000_000 + id,
        job: Some(job),
        prefix_key: QUEUE.to_owned(),
    })
}

fn stage(count: u32, depends_on: &[u32]) -> Stage {
    Stage {
        count,
        cpu: 500,
        mem_mb: 64,
        est_runtime_ms: 1_000,
        depends_on: depends_on.to_vec(),
        checkpoints: true,
        ..Stage::default()
    }
}

fn job(stages: Vec<Stage>) -> JobSpec {
    JobSpec { spec: "text for workers".to_owned(), stages, ..JobSpec::default() }
}

fn task(job: u64, step: u32, index: u32) -> Option<TaskId> {
    Some(TaskId { job, time: 0, step, index })
}

fn starts(started: &[(Option<TaskId>, u32, &str)]) -> OneOfkind {
    let start = |(task, attempt, instance): &(Option<TaskId>, u32, &str)| AttemptStart {
        task: task.clone(),
        attempt: *attempt,
        instance: (*instance).to_owned(),
    };
    let incarnation = |number: u32| WorkerIncarnation {
        instance: format!("w-{number}"),
        address: format!("10.0.1.{number}:80"),
        service: "s".to_owned(),
    };
    OneOfkind::start_attempts(StartAttempts {
        starts: started.iter().map(start).collect(),
        incarnations: vec![incarnation(1), incarnation(2)],
    })
}

fn end(sequence: u64, task: Option<TaskId>, kind: EndKind, checkpoint: &str) -> OneOfkind {
    let end =
        WorkerEnd { sequence, task, attempt: 1, kind, checkpoint: checkpoint.to_owned(), counted: true };
    OneOfkind::record_ends(RecordEnds { instance: "w-1".to_owned(), ends: vec![end] })
}

fn resolve(task: Option<TaskId>, attempt: u32, instance: &str) -> OneOfkind {
    let resolved = AttemptResolved {
        task,
        attempt,
        instance: instance.to_owned(),
        resolution: Resolution::LEASE_EXPIRED,
        checkpoint: "c-9".to_owned(),
    };
    OneOfkind::resolve_attempts(ResolveAttempts { resolved: vec![resolved] })
}

/// Payloads of the entries before and after the snapshot, starting at index 1.
fn payloads() -> Vec<(u8, Vec<u8>)> {
    let gang = Stage { gang: true, ..stage(2, &[]) };
    let repeated = JobSpec {
        start_at_ms: 1_700_000_100_000,
        interval_ms: 60_000,
        repeat: 3,
        ..job(vec![stage(1, &[])])
    };
    let first = vec![
        submit(1, job(vec![stage(2, &[]), stage(1, &[0])])),
        submit(2, job(vec![stage(1, &[])])),
        submit(5, job(vec![gang.clone()])),
        submit(6, repeated.clone()),
    ];
    let begun = starts(&[
        (task(1, 0, 0), 1, "w-1"),
        (task(1, 0, 1), 1, "w-1"),
        (task(2, 0, 0), 1, "w-2"),
        (task(5, 0, 0), 1, "w-1"),
        (task(5, 0, 1), 1, "w-2"),
        (task(6, 0, 0), 1, "w-1"),
    ]);
    let ends = vec![
        end(2, task(1, 0, 1), EndKind::FAILED, "c-1"),
        end(3, task(5, 0, 0), EndKind::FAILED, ""),
        end(4, task(6, 0, 0), EndKind::DONE, ""),
    ];
    let later = starts(&[(task(1, 0, 1), 2, "w-2"), (task(4, 0, 0), 1, "w-1"), (task(4, 0, 1), 1, "w-2")]);
    let cancel = OneOfkind::cancel_job(CancelJob { id: 2, prefix_key: QUEUE.to_owned() });
    let clock = OneOfkind::advance_clock(AdvanceClock { now_ms: 1_700_000_050_000 });
    let forget = OneOfkind::forget_workers(ForgetWorkers { instances: vec!["w-3".to_owned()] });
    let mut payloads = vec![
        (MEMBERSHIP, members(false)),
        (NOOP, Vec::new()),
        (COMMAND, batch(vec![put(1, 0)])),
        (COMMAND, batch(first)),
        (COMMAND, batch(vec![begun])),
        (COMMAND, batch(vec![end(1, task(1, 0, 0), EndKind::DONE, "")])),
        (COMMAND, batch(ends)),
        (COMMAND, batch(vec![put(2, 1)])),
        (NOOP, Vec::new()),
        (COMMAND, batch(vec![submit(3, repeated), submit(4, job(vec![gang]))])),
        (COMMAND, batch(vec![later])),
        (COMMAND, batch(vec![cancel])),
        (COMMAND, batch(vec![clock])),
        (COMMAND, batch(vec![resolve(task(1, 0, 1), 2, "w-2")])),
        (MEMBERSHIP, members(true)),
        (COMMAND, batch(vec![put(5, 2)])),
        (COMMAND, batch(vec![forget])),
    ];
    for id in 10..20 {
        payloads.push((COMMAND, batch(vec![submit(id, job(vec![stage(3, &[]), stage(2, &[0])]))])));
    }
    payloads
}

/// Writes the golden directory: two terms, truncated entries at the end of the log, a snapshot in the middle.
fn write_folder(path: &Path) {
    let directory = FileDirectory::new(path).expect("a folder");
    let options = StoreOptions { segment_bytes: SEGMENT_BYTES };
    let (mut store, _) = Store::open(directory, options).expect("an empty folder");
    store.write_identity(&Identity { node_id: IDENTITY }).expect("written");
    let mut state = State::new();
    for (index, (kind, payload)) in (1..).zip(payloads()) {
        let term = if index <= SNAPSHOT_INDEX { 1 } else { 3 };
        if kind == COMMAND {
            state.apply(&decode(&payload).expect("a batch"));
        }
        let entry = StoredEntry { index, term, kind, payload };
        let hard_state = (kind == NOOP).then_some(HardState { term, vote: Some(IDENTITY) });
        if hard_state.is_some() {
            // An entry of another leader, which is truncated afterwards.
            let other = StoredEntry { term: term - 1, kind: NOOP, payload: Vec::new(), ..entry.clone() };
            let batch = WriteBatch { entries: vec![other], ..WriteBatch::default() };
            store.write(&batch).expect("written");
        }
        let truncate_from = hard_state.map(|_| index);
        store.write(&WriteBatch { hard_state, truncate_from, entries: vec![entry] }).expect("written");
        if index == SNAPSHOT_INDEX {
            let data = Arc::new(encode(&state.snapshot()));
            let snapshot = StoredSnapshot { index, term, membership: members(false), data };
            store.save_snapshot(&snapshot).expect("written");
        }
    }
}

// ---- Recovered state

/// Applies all recovered entries and returns the resulting state.
fn replay(recovered: Recovered, out: &mut String) -> State {
    let restored = restored_from_stored(recovered).expect("a log of this system");
    let mut state = State::new();
    if let Some(snapshot) = &restored.snapshot {
        let saved: SchedulerSnapshot = decode(&snapshot.data).expect("a state");
        state = State::restore(&saved).expect("a state");
        for member in &snapshot.meta.membership.members {
            writeln!(
                out,
                "snapshot member {:x} {} {} voter {}",
                member.id, member.address, member.control, member.voter
            )
            .expect("memory");
        }
    }
    for entry in restored.entries {
        let text = match entry.payload {
            Payload::Noop => "no-op".to_owned(),
            Payload::Command(bytes) => {
                let batch: CommandBatch = decode(&bytes).expect("a batch");
                state.apply(&batch);
                format!("{} command(s) in {} bytes", batch.commands.len(), bytes.len())
            }
            Payload::Membership(membership) => {
                format!("{} members", membership.members.len())
            }
        };
        writeln!(out, "entry {} of term {}: {text}", entry.index, entry.term).expect("memory");
    }
    state
}

/// Describes the state recovered at a start.
fn dump(recovered: Recovered) -> (String, State) {
    let mut out = String::new();
    let identity = recovered.identity.map(|identity| identity.node_id);
    writeln!(out, "identity {:x}", identity.expect("an identity")).expect("memory");
    let HardState { term, vote } = recovered.hard_state;
    writeln!(out, "term {term} vote {:x}", vote.expect("a vote")).expect("memory");
    let snapshot = recovered.snapshot.as_ref().expect("a snapshot");
    writeln!(out, "snapshot at {} of term {}, {} bytes", snapshot.index, snapshot.term, snapshot.data.len())
        .expect("memory");
    let state = replay(recovered, &mut out);
    for taken in state.configurations() {
        writeln!(out, "configuration {} on {}: {}", taken.version, taken.builds_on, taken.digest)
            .expect("memory");
    }
    writeln!(out, "clock {}, {} jobs pending", state.clock_ms(), state.pending_jobs(QUEUE)).expect("memory");
    for (id, job) in state.jobs() {
        writeln!(out, "job {id}: {}", job.state_text()).expect("memory");
    }
    let saved = state.snapshot();
    for job in &saved.jobs {
        let id = job.submit.as_ref().map_or(0, |submit| submit.id);
        for task in &job.tasks {
            let active = task.active.iter().map(|active| format!(" {}@{}", active.attempt, active.instance));
            writeln!(
                out,
                "task {id}.{}.{}.{}: done {}, attempts {}, failures {}, checkpoint {:?}, active{}",
                task.time,
                task.step,
                task.index,
                task.done,
                task.last_attempt,
                task.failures,
                task.checkpoint,
                active.collect::<String>()
            )
            .expect("memory");
        }
    }
    for worker in &saved.workers {
        let incarnation = worker.incarnation.as_ref().expect("an incarnation");
        writeln!(
            out,
            "worker {} {} {} noted {}",
            incarnation.instance, incarnation.address, incarnation.service, worker.noted
        )
        .expect("memory");
    }
    let bytes: String = encode(&saved).iter().map(|byte| format!("{byte:02x}")).collect();
    writeln!(out, "state {bytes}").expect("memory");
    (out, state)
}

#[test]
fn stored_folder_is_recovered_and_extended() {
    if std::env::var("GOLDEN").is_ok_and(|what| what == "write") {
        let (path, written) = (golden("data-folder"), Folder::new("golden"));
        write_folder(&written.0);
        files(&path).keys().for_each(|name| fs::remove_file(path.join(name)).expect("removed"));
        files(&written.0)
            .iter()
            .for_each(|(name, bytes)| fs::write(path.join(name), bytes).expect("written"));
        let (text, _) = dump(Folder::golden("write").open().expect("a sound folder").1);
        fs::write(golden("data-folder.txt"), text).expect("written");
    }
    let folder = Folder::golden("recover");
    let segments = files(&folder.0).keys().filter(|name| name.starts_with("segment-")).count();
    assert!(segments > 2, "{segments} segments");
    let (mut store, recovered) = folder.open().expect("a sound folder");
    let (text, _) = dump(recovered);
    assert_eq!(text, fs::read_to_string(golden("data-folder.txt")).expect("committed"));

    let index = store.last_index() + 1;
    let payload = batch(vec![submit(99, job(vec![stage(1, &[])]))]);
    let entry = StoredEntry { index, term: 4, kind: COMMAND, payload };
    let hard_state = Some(HardState { term: 4, vote: None });
    let next = WriteBatch { hard_state, truncate_from: None, entries: vec![entry.clone()] };
    store.write(&next).expect("the log accepts another entry");
    drop(store);
    let (_, recovered) = folder.open().expect("a sound folder");
    assert_eq!(recovered.entries.last(), Some(&entry));
    assert_eq!(recovered.hard_state, HardState { term: 4, vote: None });
    let state = replay(recovered, &mut String::new());
    assert_eq!(state.job(99).map(Job::state_text), Some("pending"));
}

#[test]
fn same_entries_are_written_as_the_same_bytes() {
    let folder = Folder::new("write-again");
    write_folder(&folder.0);
    let (written, expected) = (files(&folder.0), files(&golden("data-folder")));
    assert_eq!(written.keys().collect::<Vec<_>>(), expected.keys().collect::<Vec<_>>());
    for (name, bytes) in &expected {
        assert!(written[name] == *bytes, "{name} is written differently");
    }
}

#[test]
fn folder_of_another_program_is_rejected() {
    for (name, bytes) in files(&golden("data-folder")) {
        let folder = Folder::golden(&format!("foreign-{name}"));
        // Another magic number in front of the same content.
        let foreign = [b"FOREIGN1", &bytes[8..]].concat();
        fs::write(folder.0.join(&name), foreign).expect("written");
        assert!(folder.open().is_err(), "{name} of another program is accepted");
    }
    let folder = Folder::new("foreign");
    fs::write(folder.0.join("identity"), "not ours").expect("written");
    assert!(folder.open().is_err());
}
