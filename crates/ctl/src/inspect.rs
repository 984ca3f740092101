//! Inspects the data folder of a core process that is down, without changing the folder.

use crate::error::CtlError;
use crate::output;
use crate::table::Table;
use messages::peer::{EntryKind, Membership};
use messages::{decode, job};
use scheduler::state::State;
use serde::Serialize;
use std::io::Write;
use std::path::Path;
use storage::{FileContent, FileDirectory, InspectedFile, InspectedLog, SegmentHealth, StoredEntry};

/// One file in the report.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct FileLine {
    name: String,
    bytes: u64,
    sound: bool,
    content: String,
}

/// The log that a start would recover.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct LogReport {
    identity: Option<String>,
    term: u64,
    vote: Option<String>,
    snapshot: Option<SnapshotReport>,
    first_index: Option<u64>,
    last_index: Option<u64>,
    commands: usize,
    memberships: usize,
    noops: usize,
    /// Entries that this version cannot read.
    unreadable: Vec<u64>,
    members: Vec<String>,
    cuts_torn_end: bool,
    leftovers: Vec<String>,
}

/// The newest snapshot in the report.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct SnapshotReport {
    index: u64,
    term: u64,
    bytes: usize,
    configuration_version: u64,
    jobs: usize,
    workers: usize,
}

/// The complete report.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Report {
    files: Vec<FileLine>,
    log: Option<LogReport>,
    /// Why a start would fail; none if it would succeed.
    error: Option<String>,
}

/// Inspects a data folder and writes a report.
///
/// # Errors
///
/// A [`CtlError`] if the folder cannot be read, a start on it would fail, or `out` fails.
pub fn run(path: &Path, json: bool, out: &mut dyn Write) -> Result<(), CtlError> {
    let unreadable = |error| CtlError::ReadFile(path.to_owned(), error);
    let directory = FileDirectory::existing(path).map_err(unreadable)?;
    let inspection = storage::inspect(&directory)
        .map_err(|error| CtlError::Damaged(path.to_owned(), error.to_string()))?;
    let error = inspection.log.as_ref().err().map(ToString::to_string);
    let report = Report {
        files: inspection.files.iter().map(file_line).collect(),
        log: inspection.log.as_ref().ok().map(log_report),
        error: error.clone(),
    };
    if json {
        output::json(&report, out)?;
    } else {
        write_text(&report, out).map_err(CtlError::Output)?;
    }
    error.map_or(Ok(()), |error| Err(CtlError::Damaged(path.to_owned(), error)))
}

/// Writes the unchanged bytes of the newest configuration on the disk. The last log entries may be
/// uncommitted, so this may be a configuration that was never acknowledged.
///
/// # Errors
///
/// A [`CtlError`] if the folder cannot be read or is damaged, holds no configuration, or `out` fails.
pub fn configuration(path: &Path, out: &mut dyn Write) -> Result<(), CtlError> {
    let directory =
        FileDirectory::existing(path).map_err(|error| CtlError::ReadFile(path.to_owned(), error))?;
    let damaged = |error: storage::StorageError| CtlError::Damaged(path.to_owned(), error.to_string());
    let log = storage::inspect(&directory).and_then(|inspection| inspection.log).map_err(damaged)?;
    let state = replay(&log).map_err(|reason| CtlError::Damaged(path.to_owned(), reason))?;
    match state.configuration() {
        Some(newest) => {
            out.write_all(&newest.body).and_then(|()| out.write_all(b"\n")).map_err(CtlError::Output)
        }
        None => {
            Err(CtlError::Refused(format!("{} holds no configuration: look at another one", path.display())))
        }
    }
}

/// Replays the log and returns the resulting state. Skips unreadable entries and fails on an unreadable
/// snapshot, like a core process.
fn replay(log: &InspectedLog) -> Result<State, String> {
    let mut state = match &log.snapshot {
        Some(snapshot) => {
            let saved: job::SchedulerSnapshot = decode(&snapshot.data).map_err(|error| error.to_string())?;
            State::restore(&saved).map_err(|error| error.to_string())?
        }
        None => State::new(),
    };
    let commands = log.entries.iter().filter(|entry| i32::from(entry.kind) == EntryKind::COMMAND as i32);
    for batch in commands.filter_map(|entry| decode::<job::CommandBatch>(&entry.payload).ok()) {
        state.apply(&batch);
    }
    Ok(state)
}

fn file_line(file: &InspectedFile) -> FileLine {
    let (sound, content) = match &file.content {
        FileContent::Identity(identity) => (true, format!("identity {:x}", identity.node_id)),
        FileContent::Snapshot { index, term, first_segment, data_bytes } => (
            true,
            format!("snapshot up to entry {index} of term {term}, {data_bytes} bytes of state, log from segment {first_segment}"),
        ),
        FileContent::Segment { records, entries, end } => segment_text(*records, *entries, *end),
        FileContent::Temporary => (true, "half written, goes at the next start".to_owned()),
        FileContent::Foreign => (true, "not of this program".to_owned()),
        FileContent::Damaged(reason) => (false, (*reason).to_owned()),
    };
    FileLine { name: file.name.clone(), bytes: file.bytes, sound, content }
}

fn segment_text(records: usize, entries: Option<(u64, u64)>, end: SegmentHealth) -> (bool, String) {
    let entries =
        entries.map_or_else(|| "no entries".to_owned(), |(first, last)| format!("entries {first} to {last}"));
    let text = format!("{records} records, {entries}");
    match end {
        SegmentHealth::Complete => (true, text),
        SegmentHealth::Torn { offset } => (true, format!("{text}; torn at byte {offset}")),
        SegmentHealth::Damaged { offset } => (false, format!("{text}; damaged at byte {offset}")),
    }
}

fn log_report(log: &InspectedLog) -> LogReport {
    let kind = |kind: EntryKind| move |entry: &&StoredEntry| i32::from(entry.kind) == kind as i32;
    let unreadable = log.entries.iter().filter(|entry| !is_readable(entry));
    LogReport {
        identity: log.identity.map(|identity| format!("{:x}", identity.node_id)),
        term: log.hard_state.term,
        vote: log.hard_state.vote.map(|vote| format!("{vote:x}")),
        snapshot: log.snapshot.as_ref().map(snapshot_report),
        first_index: log.entries.first().map(|entry| entry.index),
        last_index: log.entries.last().map(|entry| entry.index),
        commands: log.entries.iter().filter(kind(EntryKind::COMMAND)).count(),
        memberships: log.entries.iter().filter(kind(EntryKind::MEMBERSHIP)).count(),
        noops: log.entries.iter().filter(kind(EntryKind::NOOP)).count(),
        unreadable: unreadable.map(|entry| entry.index).collect(),
        members: members(log),
        cuts_torn_end: log.truncates_torn_tail,
        leftovers: log.leftovers.clone(),
    }
}

fn is_readable(entry: &StoredEntry) -> bool {
    match EntryKind::from(i32::from(entry.kind)) {
        EntryKind::NOOP => true,
        EntryKind::COMMAND => decode::<job::CommandBatch>(&entry.payload).is_ok(),
        EntryKind::MEMBERSHIP => decode::<Membership>(&entry.payload).is_ok(),
    }
}

fn snapshot_report(snapshot: &storage::StoredSnapshot) -> SnapshotReport {
    let state = decode::<job::SchedulerSnapshot>(&snapshot.data).unwrap_or_default();
    SnapshotReport {
        index: snapshot.index,
        term: snapshot.term,
        bytes: snapshot.data.len(),
        configuration_version: state.configurations.last().map_or(0, |newest| newest.version),
        jobs: state.jobs.len(),
        workers: state.workers.len(),
    }
}

/// Returns the members in the newest membership of the log, which may be uncommitted.
fn members(log: &InspectedLog) -> Vec<String> {
    let is_membership = |entry: &&StoredEntry| i32::from(entry.kind) == EntryKind::MEMBERSHIP as i32;
    let newest = log.entries.iter().rfind(is_membership).map(|entry| entry.payload.as_slice());
    let bytes = newest.or(log.snapshot.as_ref().map(|snapshot| snapshot.membership.as_slice()));
    let membership = bytes.and_then(|bytes| decode::<Membership>(bytes).ok()).unwrap_or_default();
    let text = |member: &messages::peer::Member| {
        let role = if member.voter { "voter" } else { "learner" };
        format!("{:x} {} {role}", member.id, member.address)
    };
    membership.members.iter().map(text).collect()
}

fn write_text(report: &Report, out: &mut dyn Write) -> std::io::Result<()> {
    let mut table = Table::new(&["FILE", "BYTES", "SOUND", "CONTENT"]);
    for file in &report.files {
        let sound = if file.sound { "yes" } else { "NO" };
        table.row(vec![file.name.clone(), file.bytes.to_string(), sound.to_owned(), file.content.clone()]);
    }
    table.write(out)?;
    match &report.log {
        Some(log) => write_log(log, out),
        None => Ok(()),
    }
}

fn write_log(log: &LogReport, out: &mut dyn Write) -> std::io::Result<()> {
    let none = || "none".to_owned();
    writeln!(out, "\nA start would find")?;
    let mut table = Table::new(&["identity", &log.identity.clone().unwrap_or_else(none)]);
    let mut row = |name: &str, value: String| table.row(vec![name.to_owned(), value]);
    row("term", log.term.to_string());
    row("vote", log.vote.clone().unwrap_or_else(none));
    row("snapshot", log.snapshot.as_ref().map_or_else(none, snapshot_text));
    let range = log.first_index.zip(log.last_index);
    let entries = range.map_or_else(none, |(first, last)| {
        format!(
            "{first} to {last}: {} commands, {} memberships, {} no-ops",
            log.commands, log.memberships, log.noops
        )
    });
    row("entries", entries);
    if !log.unreadable.is_empty() {
        row("unreadable", format!("{:?}: written by another version", log.unreadable));
    }
    log.members.iter().for_each(|member| row("member", member.clone()));
    if log.cuts_torn_end {
        row("torn end", "would be cut off, as after a loss of power".to_owned());
    }
    log.leftovers.iter().for_each(|name| row("leftover", format!("{name} would be removed")));
    table.write(out)
}

fn snapshot_text(snapshot: &SnapshotReport) -> String {
    format!(
        "up to entry {} of term {}: configuration {}, {} jobs, {} workers, {} bytes",
        snapshot.index,
        snapshot.term,
        snapshot.configuration_version,
        snapshot.jobs,
        snapshot.workers,
        snapshot.bytes
    )
}
