//! A leader whose process stands still while its workers and the network go on.

use scheduler::leader::Input;

use super::{Cluster, Event, MS};

impl Event {
    /// Whether the leader's process has to run for it.
    fn is_for_the_leader(&self) -> bool {
        match self {
            Event::Tick
            | Event::Heartbeat { .. }
            | Event::Commit { .. }
            | Event::List { .. }
            | Event::Answer { .. }
            | Event::ReadUntil { .. } => true,
            Event::Arrive { .. }
            | Event::LeaseRenewalDue { .. }
            | Event::RunOver { .. }
            | Event::Alone { .. } => false,
        }
    }
}

impl Cluster {
    /// The leader's process stands still. Afterwards its timers fire first, and only then it reads what has arrived.
    pub fn stand_still(&mut self, span_ms: u64) {
        self.handle(Input::ReadUntil { at: self.now });
        let end = self.now + span_ms * MS;
        let mut unread = Vec::new();
        while let Some(((at, number), event)) = self.events.pop_first() {
            if at > end {
                self.events.insert((at, number), event);
                break;
            }
            self.now = self.now.max(at);
            match event.is_for_the_leader() {
                true => unread.push(event),
                false => self.play(event),
            }
        }
        self.now = end;
        if let Some(leader) = self.leader.as_mut() {
            leader.record_process_pause(end, span_ms * MS);
        }
        self.handle(Input::Tick { time_of_day_ms: self.time_of_day_ms() });
        for event in unread {
            self.play(event);
        }
    }
}
