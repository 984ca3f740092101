//! Runs the commands: makes the calls and prints the answers.

use crate::arguments::{Arguments, Command};
use crate::client::{Call, Client};
use crate::error::CtlError;
use crate::table::Table;
use crate::{configuration_commands, job_text, output};
use admin::{
    paths, JobReport, ProcessRole, ProcessStatus, Queues, ResourceAmounts, SnapshotStart, TransferStart,
    WorkerReport, Workers,
};
use serde::Serialize;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Instant;

/// Runs a command and writes its output to `out`.
pub fn run(arguments: &Arguments, client: &Client, out: &mut dyn Write) -> Result<(), CtlError> {
    let json = arguments.json;
    match &arguments.command {
        Command::Members => members(client, json, out),
        Command::Leader => leader(client, json, out),
        Command::ConfigShow => configuration_commands::show(client, out),
        Command::ConfigCheck { file } => configuration_commands::check(client, file, out),
        Command::ConfigPut { file, builds_on } => configuration_commands::put(client, file, *builds_on, out),
        Command::ConfigHistory => configuration_commands::history(client, json, out),
        Command::ConfigDiff { file } => configuration_commands::diff(client, file, json, out),
        Command::Workers => workers(client, json, out),
        Command::Queues => queues(client, json, out),
        Command::JobExplain { id } => explain(client, *id, json, out),
        Command::Metrics => metrics(client, out),
        Command::Transfer => transfer(client, json, out),
        Command::Snapshot => snapshot(client, json, out),
    }
}

/// A member as listed by the first process, and the status that the member itself reports if it answers.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct MemberLine {
    id: String,
    control: String,
    voter: bool,
    status: Option<ProcessStatus>,
}

/// Prints the status of every member. Asks the first process that answers for the list of members, then each
/// member for its status.
fn members(client: &Client, json: bool, out: &mut dyn Write) -> Result<(), CtlError> {
    let first: ProcessStatus = client.call(&Call::get(paths::STATUS))?.read()?;
    let lines: Vec<MemberLine> = first
        .members
        .iter()
        .map(|member| {
            let address: Option<SocketAddr> = member.control.parse().ok();
            let answer = address.and_then(|address| client.call_one(address, &Call::get(paths::STATUS)));
            let status = answer.and_then(|answer| answer.read::<ProcessStatus>().ok());
            // Ignores the answer of another process that now uses the address.
            let status = status.filter(|status| status.id == member.id);
            MemberLine { id: member.id.clone(), control: member.control.clone(), voter: member.voter, status }
        })
        .collect();
    if json {
        return output::json(&lines, out);
    }
    let mut table = Table::new(&[
        "ID", "CONTROL", "VOTER", "NAME", "ROLE", "TERM", "COMMIT", "APPLIED", "LAST", "SNAPSHOT", "CONFIG",
    ]);
    lines.iter().for_each(|line| table.row(member_row(line)));
    output::table(&table, out)?;
    for (line, obstacle) in lines.iter().filter_map(|line| Some((line, leadership_obstacle(line)?))) {
        output::line(&format!("{} at {}: no leader takes commands: {obstacle}", line.id, line.control), out)?;
    }
    Ok(())
}

fn leadership_obstacle(line: &MemberLine) -> Option<&str> {
    line.status.as_ref()?.leadership_obstacle.as_deref()
}

fn member_row(line: &MemberLine) -> Vec<String> {
    let voter = if line.voter { "yes" } else { "no" };
    let mut row = vec![line.id.clone(), line.control.clone(), voter.to_owned()];
    match &line.status {
        Some(status) => row.extend([
            status.node_name.clone(),
            role_text(status.role).to_owned(),
            status.term.to_string(),
            status.commit_index.to_string(),
            status.applied_index.to_string(),
            status.last_index.to_string(),
            status.snapshot_index.to_string(),
            status.configuration_version.to_string(),
        ]),
        None => row.extend(["-".to_owned(), "no answer".to_owned()]),
    }
    row
}

fn role_text(role: ProcessRole) -> &'static str {
    match role {
        ProcessRole::Leader => "leader",
        ProcessRole::LeaderWithoutLease => "leader without lease",
        ProcessRole::Follower => "follower",
        ProcessRole::Learner => "learner",
        ProcessRole::Joining => "joining",
    }
}

/// Returns the status that the leader reports. The first process that answers names the leader.
fn find_leader(client: &Client) -> Result<ProcessStatus, CtlError> {
    let first: ProcessStatus = client.call(&Call::get(paths::STATUS))?.read()?;
    if first.role == ProcessRole::Leader {
        return Ok(first);
    }
    let control = first.leader_control.as_deref().and_then(|control| control.parse().ok());
    let answer = control.and_then(|control| client.call_one(control, &Call::get(paths::STATUS)));
    let status: Option<ProcessStatus> = answer.and_then(|answer| answer.read().ok());
    status.filter(|status| status.role == ProcessRole::Leader).ok_or_else(|| {
        CtlError::Unreachable(format!("{} knows no leader that confirms its leadership", first.node_name))
    })
}

fn leader(client: &Client, json: bool, out: &mut dyn Write) -> Result<(), CtlError> {
    let status = retry(client, find_leader)?;
    if json {
        return output::json(&status, out);
    }
    let mut table = Table::new(&["NAME", "ID", "CONTROL", "TERM", "LEASE MS", "COMMIT", "OPEN JOBS"]);
    table.row(vec![
        status.node_name.clone(),
        status.id.clone(),
        status.leader_control.clone().unwrap_or_default(),
        status.term.to_string(),
        status.lease_left_ms.to_string(),
        status.commit_index.to_string(),
        status.open_jobs.to_string(),
    ]);
    output::table(&table, out)
}

/// Retries the query until it gets a clear answer or the command's timeout expires.
fn retry<T>(client: &Client, mut query: impl FnMut(&Client) -> Result<T, CtlError>) -> Result<T, CtlError> {
    let deadline = Instant::now() + client.timeout();
    loop {
        match query(client) {
            Err(CtlError::Unreachable(_)) if Instant::now() < deadline => client.pause(),
            outcome => return outcome,
        }
    }
}

fn amounts_text(amounts: ResourceAmounts) -> String {
    format!("{}/{}/{}", amounts.cpu, amounts.mem_mb, amounts.gpu)
}

fn workers(client: &Client, json: bool, out: &mut dyn Write) -> Result<(), CtlError> {
    let answer = client.call(&Call::get(paths::WORKERS))?;
    if json {
        return output::body(&answer, out);
    }
    let workers: Workers = answer.read()?;
    let mut table = Table::new(&[
        "INSTANCE",
        "ADDRESS",
        "SERVICE",
        "ZONE",
        "LABELS",
        "STARTS",
        "FREE cpu/MB/gpu",
        "OF",
        "ATTEMPTS",
        "PACE %",
        "TRUST %",
        "WHY NOT",
    ]);
    workers.workers.iter().for_each(|worker| table.row(worker_row(worker)));
    output::table(&table, out)
}

fn worker_row(worker: &WorkerReport) -> Vec<String> {
    let obstacles: Vec<String> = worker.obstacles.iter().map(ToString::to_string).collect();
    vec![
        worker.instance.clone(),
        worker.address.clone(),
        worker.service.clone(),
        worker.zone.clone(),
        worker.labels.join(","),
        if worker.usable { "yes" } else { "no" }.to_owned(),
        amounts_text(worker.free),
        amounts_text(worker.capacity),
        worker.attempts.to_string(),
        worker.pace_percent.to_string(),
        worker.trust_percent.to_string(),
        obstacles.join("; "),
    ]
}

fn queues(client: &Client, json: bool, out: &mut dyn Write) -> Result<(), CtlError> {
    let answer = client.call(&Call::get(paths::QUEUES))?;
    if json {
        return output::body(&answer, out);
    }
    let queues: Queues = answer.read()?;
    let mut table = Table::new(&[
        "SERVICE",
        "WORKERS",
        "USABLE",
        "FREE cpu/MB/gpu",
        "OF",
        "PRIORITY",
        "WEIGHT",
        "STEPS",
        "TASKS",
        "NO ROOM",
        "DEFICIT cpu/mem/gpu",
        "FIRST",
        "FOR MS",
    ]);
    for service in &queues.services {
        let head = [
            service.service.clone(),
            service.workers.to_string(),
            service.usable_workers.to_string(),
            amounts_text(service.free),
            amounts_text(service.total),
        ];
        if service.plans.is_empty() {
            table.row(head.to_vec());
        }
        for plan in &service.plans {
            let mut row = head.to_vec();
            row.extend(plan_row(plan));
            table.row(row);
        }
    }
    output::table(&table, out)?;
    for service in &queues.services {
        if let Some(reservation) = &service.reserved_capacity {
            let reserved = amounts_text(reservation.held);
            let line = format!(
                "room of {reserved} is kept on {} for step {} of {}",
                reservation.instance, reservation.step, reservation.job
            );
            output::line(&line, out)?;
        }
    }
    Ok(())
}

fn plan_row(plan: &admin::PlanReport) -> Vec<String> {
    let deficits = plan.deficits;
    let first = plan.first.as_ref();
    vec![
        plan.priority.to_string(),
        plan.weight.to_string(),
        plan.waiting_steps.to_string(),
        plan.waiting_tasks.to_string(),
        plan.steps_without_capacity.to_string(),
        format!("{:.4}/{:.4}/{:.4}", deficits.cpu, deficits.mem_mb, deficits.gpu),
        first.map_or_else(String::new, |first| format!("{}.{}.{}", first.job, first.time, first.step)),
        first.map_or_else(String::new, |first| first.first_for_ms.to_string()),
    ]
}

fn explain(client: &Client, id: u64, json: bool, out: &mut dyn Write) -> Result<(), CtlError> {
    let path = format!("{}{}", paths::JOBS, configuration::job_id::format(id));
    let answer = client.call(&Call::get(path))?;
    if json {
        return output::body(&answer, out);
    }
    let report: JobReport = answer.read()?;
    job_text::write(&report, out)
}

fn metrics(client: &Client, out: &mut dyn Write) -> Result<(), CtlError> {
    out.write_all(&client.call(&Call::get(paths::METRICS))?.body).map_err(CtlError::Output)
}

/// Transfers leadership and waits until another process leads.
fn transfer(client: &Client, json: bool, out: &mut dyn Write) -> Result<(), CtlError> {
    let start: TransferStart = client.call(&Call::post(paths::TRANSFER))?.read()?;
    let next = retry(client, |client| {
        let leader = find_leader(client)?;
        if leader.id == start.from && leader.term == start.term {
            return Err(CtlError::Unreachable(format!("{} still leads", leader.node_name)));
        }
        Ok(leader)
    })?;
    if json {
        return output::json(&next, out);
    }
    let line =
        format!("{} ({}) leads in term {}, in place of {}", next.node_name, next.id, next.term, start.from);
    output::line(&line, out)
}

fn snapshot(client: &Client, json: bool, out: &mut dyn Write) -> Result<(), CtlError> {
    let answer = client.call(&Call::post(paths::SNAPSHOT))?;
    if json {
        return output::body(&answer, out);
    }
    let start: SnapshotStart = answer.read()?;
    let done = if start.begun { "is taking a snapshot" } else { "has a snapshot already" };
    output::line(&format!("{} {done} up to entry {}", start.id, start.index), out)
}
