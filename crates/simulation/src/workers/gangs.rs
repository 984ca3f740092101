//! Gangs: tasks that work only while all members of the gang run.

use messages::job::EndKind;
use scheduler::ids::{AttemptKey, TaskKey};

use super::{Fleet, GangKey, Phase};
use crate::history::History;

impl GangKey {
    fn member(&self, index: u32) -> AttemptKey {
        let step = &self.step;
        let task = TaskKey { job: step.job, time: step.time, step: step.step, index };
        AttemptKey { task, attempt: self.attempt }
    }
}

impl Fleet {
    /// Adds a member to a gang. The work begins when the last member has started.
    pub(super) fn member_started(
        &mut self,
        now: u64,
        gang: GangKey,
        index: u32,
        position: usize,
        history: &mut History,
    ) {
        let members = &mut self.gangs.entry(gang).or_default().members;
        members.insert(index, position);
        let stage =
            history.jobs.get(&gang.step.job).and_then(|job| job.body.stages.get(gang.step.step as usize));
        let Some(stage) = stage else { return };
        if members.len() < stage.count as usize {
            return;
        }
        let rack_local = stage.rack_local;
        self.begin_gang(now, gang, rack_local, history);
    }

    fn begin_gang(&mut self, now: u64, gang: GangKey, rack_local: bool, history: &mut History) {
        let Some(entry) = self.gangs.get_mut(&gang) else { return };
        entry.complete = true;
        let members: Vec<(u32, usize)> = entry.members.iter().map(|(index, at)| (*index, *at)).collect();
        let rack = |position: usize| self.workers[position].labels.get(1).cloned();
        let first = members.first().and_then(|(_, position)| rack(*position));
        let spread = members.iter().any(|(_, position)| rack(*position) != first);
        let far = if rack_local && spread { self.bounds.far_factor } else { 1.0 };
        for (index, position) in members {
            let key = gang.member(index);
            let Some(incarnation) = self.workers[position].incarnation.as_mut() else { continue };
            let Some(run) = incarnation.runs.get_mut(&key) else { continue };
            run.phase = Phase::Working;
            run.updated_at = now;
            run.rate /= far;
            history.runs[run.position].gang_complete_at = Some(now);
            self.reschedule(position);
        }
    }

    /// Ends all other members as done after one member ended successfully.
    pub(super) fn finish_gang(&mut self, now: u64, gang: GangKey, index: u32, history: &mut History) {
        self.end_others(now, gang, index, EndKind::DONE, history);
    }

    /// Ends all other members as broken after one member ended in any other way or lost its worker.
    pub(super) fn member_left(&mut self, now: u64, gang: GangKey, index: u32, history: &mut History) {
        self.end_others(now, gang, index, EndKind::BROKEN, history);
    }

    fn end_others(&mut self, now: u64, gang: GangKey, index: u32, kind: EndKind, history: &mut History) {
        let Some(entry) = self.gangs.remove(&gang) else { return };
        for (other, position) in entry.members {
            if other != index {
                self.end_run(position, gang.member(other), kind, now, history);
            }
        }
    }
}
