//! All decisions of the gateway. The types of its inputs and outputs are in `src/interface.rs`.
//!
//! The design is mQoS (Lin et al., "Multiple-resource request scheduling for differentiated QoS at website
//! gateway"). A request is checked against its customer's quota (`quota`) and joins the queue of its plan and
//! dominant resource (`admission`). The main scheduler picks among the heads of the queues (`scheduler`),
//! within what is available of each resource (`availability`). A server is chosen (`server_choice`) and an
//! attempt is sent (`send`). The end of the attempt (`attempt_end`) frees its resources and updates the
//! estimates. Everything that the paper does not contain has a comment that begins with `Not in the paper`.

mod admission;
mod attempt_end;
mod availability;
mod averages;
mod concurrency_limit;
mod connections;
mod customer_estimates;
mod gateway;
mod load_estimate;
mod load_shedding;
mod observed_end;
mod outlier_detection;
mod peer_process;
mod quota;
mod retries;
mod retry_budget;
mod scheduler;
mod send;
mod server_choice;
mod server_list;
mod slow_start;
mod snapshot;
mod subset;

pub use gateway::Gateway;

use crate::interface::{Action, Event, LoadStatus, Time};
use gateway::{TIMER_DISCOVERY, TIMER_SCHEDULER};

impl Gateway {
    /// Handles events that happened by `now` and appends the resulting actions to `out`. Events with unknown
    /// ids are ignored.
    pub fn handle(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        for event in events {
            self.handle_event(event, out);
        }
        self.remove_idle_customers();
        self.announce_connection_limits(out);
        self.run_main_scheduler(out);
        self.share_with_peer(out);
    }

    fn handle_event(&mut self, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Fleet { scope, nodes, .. } => self.update_servers(scope, nodes, out),
            Event::Request(request) => self.admit(request, out),
            Event::ClientGone { id } => self.client_gone(id, out),
            Event::AttemptEnd(end) => self.attempt_ended(end, out),
            Event::Streaming { id, attempt } => self.answer_started(id, attempt),
            Event::Timer { token: TIMER_SCHEDULER } => self.scheduler_timer_set = false,
            Event::Timer { token: TIMER_DISCOVERY } => out.push(Action::Subscribe { on: true }),
            Event::Timer { token } => self.wait_limit_reached(token, out),
            Event::Disable { server } => self.disable(server),
            Event::Enable { server } => self.enable(server),
            Event::Restore(snapshot) => self.restore(*snapshot),
            Event::PeerProcess { running } => self.set_peer_process(running),
            Event::PeerShare(share) => self.apply_peer_share(share),
            Event::Probed { .. } | Event::Counted { .. } | Event::GatewayMessage { .. } => {}
        }
    }

    /// How loaded the servers look to this gateway.
    pub fn load_status(&self) -> LoadStatus {
        let queued_ids = self.sub_schedulers.iter().flat_map(|sub| &sub.queues).flatten();
        let queued = queued_ids.filter(|id| self.pending.contains_key(id)).count();
        LoadStatus {
            open_share: self.shedding.open_share,
            attempt_capacity: self.capacity(gateway::ATTEMPTS),
            queued,
            retry_tokens: self.retry_budget.tokens,
        }
    }
}
