//! Pauses of the leader's process, during which the workers and the network continue.

use scheduler::leader::Input;

use super::{Cluster, Event, MS};

impl Event {
    /// Whether the leader's process must run to handle the event.
    fn needs_leader_process(&self) -> bool {
        match self {
            Event::Tick
            | Event::Heartbeat { .. }
            | Event::Commit { .. }
            | Event::InstanceList { .. }
            | Event::Answer { .. }
            | Event::ReadUntil { .. } => true,
            Event::RequestArrival { .. }
            | Event::LongPollTimeout { .. }
            | Event::RunFinished { .. }
            | Event::GangTimeout { .. } => false,
        }
    }
}

impl Cluster {
    /// Pauses the leader's process. After the pause the leader handles its timers first and then the input
    /// that arrived during the pause.
    pub fn pause_leader_process(&mut self, span_ms: u64) {
        self.handle(Input::ReadUntil { at: self.now });
        let end = self.now + span_ms * MS;
        let mut unread = Vec::new();
        while let Some(((at, number), event)) = self.events.pop_first() {
            if at > end {
                self.events.insert((at, number), event);
                break;
            }
            self.now = self.now.max(at);
            match event.needs_leader_process() {
                true => unread.push(event),
                false => self.process_event(event),
            }
        }
        self.now = end;
        if let Some(leader) = self.leader.as_mut() {
            leader.record_process_pause(end, span_ms * MS);
        }
        self.handle(Input::Tick { time_of_day_ms: self.time_of_day_ms() });
        for event in unread {
            self.process_event(event);
        }
    }
}
