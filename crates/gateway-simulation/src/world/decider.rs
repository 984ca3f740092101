//! The interface of the decision logic that runs in a simulated gateway.

use gateway_decisions::{Action, Event, Gateway, Settings, Time};

/// The decision logic of one gateway.
pub trait Decider {
    /// Handles the events up to `now` and appends the resulting actions to `out`.
    fn handle(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Action>);
}

impl Decider for Gateway {
    fn handle(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Action>) {
        Gateway::handle(self, now, events, out);
    }
}

/// Creates a gateway's decider from its settings, a seed and its start time.
pub type DeciderFactory<'a> = Box<dyn Fn(Settings, u64, Time) -> Box<dyn Decider> + 'a>;
