//! Builds the replies to administrators from the driver's state.

use super::call::{AdminCall, AdminReply, AdminRequest};
use crate::driver::Driver;
use admin::{
    ConfigurationHistory, ConfigurationVersion, MemberEntry, ProcessRole, ProcessStatus, SnapshotStart,
    TransferStart,
};
use consensus::{Event, Member, NodeId};
use serde::Serialize;

const NANOS_PER_MS: u64 = 1_000_000;

impl Driver {
    /// Answers a call of an administrator.
    pub(crate) fn handle_admin_call(&mut self, now: u64, call: AdminCall) {
        let reply = self.answer_admin(now, call.request);
        // Sending fails if the caller has disconnected; the caller then repeats the call.
        let _ = call.reply.send(reply);
    }

    fn answer_admin(&mut self, now: u64, request: AdminRequest) -> AdminReply {
        match request {
            AdminRequest::Status => document(&self.status(now)),
            AdminRequest::Snapshot => self.start_snapshot(),
            AdminRequest::Metrics => self.metrics_text(now),
            _ if !self.is_serving(now) => self.redirect_to_leader(),
            AdminRequest::Transfer => self.transfer(now),
            AdminRequest::ConfigurationHistory => document(&self.configuration_history()),
            AdminRequest::Workers => self.leader_report(|leader, _| document(&leader.workers_report(now))),
            AdminRequest::Queues => self.leader_report(|leader, _| document(&leader.queues_report(now))),
            AdminRequest::Job { id } => {
                self.leader_report(|leader, state| match leader.job_report(state, id, now) {
                    Some(report) => document(&report),
                    None => AdminReply::NotFound(
                        "no such job: it was never accepted, or ended so long ago that it is forgotten"
                            .to_owned(),
                    ),
                })
            }
        }
    }

    /// The reply that `report` builds from the leader; `Unavailable` if this process does not lead.
    fn leader_report(
        &self,
        report: impl FnOnce(&scheduler::leader::Leader, &scheduler::state::State) -> AdminReply,
    ) -> AdminReply {
        self.leader.as_ref().map_or(AdminReply::Unavailable, |leader| report(leader, self.replica.state()))
    }

    fn redirect_to_leader(&self) -> AdminReply {
        match self.remote_leader() {
            Some(leader) => AdminReply::Redirect { control: leader.control.clone() },
            None => AdminReply::Unavailable,
        }
    }

    fn status(&self, now: u64) -> ProcessStatus {
        let node = self.replica.node();
        let state = self.replica.state();
        let known_leader = self.replica.leader();
        let open_jobs = state.jobs().filter(|(_, job)| job.open_work().is_some()).count();
        ProcessStatus {
            node_name: self.settings.node_id.clone(),
            id: hex(node.id()),
            role: self.role(now),
            term: node.term(),
            leader: known_leader.map(|leader| hex(leader.id)),
            leader_control: known_leader.map(|leader| leader.control.clone()),
            lease_left_ms: node.lease_until().saturating_sub(now) / NANOS_PER_MS,
            commit_index: node.commit_index(),
            applied_index: self.replica.applied_index(),
            last_index: node.last_index(),
            snapshot_index: self.replica.snapshot_index(),
            configuration_version: state.configuration_version(),
            open_jobs: open_jobs as u64,
            known_jobs: state.jobs().count() as u64,
            stopping: self.is_stopping(),
            leadership_obstacle: node.leadership_obstacle().map(|obstacle| obstacle.to_string()),
            members: node.membership().members.iter().map(member_entry).collect(),
        }
    }

    fn role(&self, now: u64) -> ProcessRole {
        let node = self.replica.node();
        if node.is_leader() {
            let is_confirmed = self.leader.is_some() && self.replica.has_lease(now);
            return if is_confirmed { ProcessRole::Leader } else { ProcessRole::LeaderWithoutLease };
        }
        match node.membership().member(node.id()) {
            Some(member) if member.voter => ProcessRole::Follower,
            Some(_) => ProcessRole::Learner,
            None => ProcessRole::Joining,
        }
    }

    fn configuration_history(&self) -> ConfigurationHistory {
        let versions = self.replica.state().configurations().map(|taken| ConfigurationVersion {
            version: taken.version,
            builds_on: taken.builds_on,
            digest: taken.digest.to_string(),
        });
        ConfigurationHistory { versions: versions.collect() }
    }

    fn transfer(&mut self, now: u64) -> AdminReply {
        let node = self.replica.node();
        let (id, term) = (node.id(), node.term());
        let others = node.membership().members.iter().filter(|member| member.voter && member.id != id);
        if others.count() == 0 {
            let text = "there is no other voter that could lead: let another core process join first";
            return AdminReply::Rejected(text.to_owned());
        }
        log::info!("transferring leadership of term {term} at an administrator's request");
        self.step_consensus(now, Event::Transfer);
        document(&TransferStart { from: hex(id), term })
    }

    fn start_snapshot(&mut self) -> AdminReply {
        if self.replica.is_taking_snapshot() {
            let text = "a snapshot is being written: ask again once it is done, if it is not new enough";
            return AdminReply::Rejected(text.to_owned());
        }
        let index = self.replica.applied_index();
        let is_begun = index > self.replica.snapshot_index();
        if is_begun {
            log::info!("taking a snapshot up to entry {index} at an administrator's request");
            self.replica.take_snapshot();
        }
        document(&SnapshotStart { id: hex(self.replica.node().id()), index, begun: is_begun })
    }
}

fn hex(id: NodeId) -> String {
    format!("{id:x}")
}

fn member_entry(member: &Member) -> MemberEntry {
    MemberEntry {
        id: hex(member.id),
        address: member.address.clone(),
        control: member.control.clone(),
        voter: member.voter,
    }
}

fn document(document: &impl Serialize) -> AdminReply {
    match serde_json::to_vec(document) {
        Ok(bytes) => AdminReply::Document(bytes),
        Err(error) => AdminReply::Rejected(format!(
            "the answer cannot be written ({error}): this is a fault of the program"
        )),
    }
}
