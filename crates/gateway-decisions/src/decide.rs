//! Every decision of the gateway. What goes in and what comes out is in `src/interface.rs`.
//!
//! The design is mQoS (Lin et al., "Multiple-resource request scheduling for differentiated QoS at website
//! gateway"): a request meets its customer's quota (`quota`) and joins the queue of its plan and dominant
//! resource (`admission`); the main scheduler picks among the heads of the queues (`scheduler`), within
//! what is available of each resource (`availability`); a server is chosen (`server_choice`) and the
//! attempt is sent (`send`); its end (`attempt_end`) refills what it took and teaches the estimates. What
//! goes beyond the paper carries a comment that begins with `Beyond the paper`.

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
use gateway::{TIMER_ASK, TIMER_PUMP};

impl Gateway {
    /// Takes what happened by `now` and appends what to do about it. Unknown ids are ignored.
    pub fn handle(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        for event in events {
            self.handle_event(event, out);
        }
        self.forget_quiet_customers();
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
            Event::Streaming { id, attempt } => self.answer_begun(id, attempt),
            Event::Timer { token: TIMER_PUMP } => self.scheduler_timer_set = false,
            Event::Timer { token: TIMER_ASK } => out.push(Action::Subscribe { on: true }),
            Event::Timer { token } => self.wait_limit_reached(token, out),
            Event::Disable { server } => self.disable(server),
            Event::Enable { server } => self.enable(server),
            Event::Restore(snapshot) => self.restore(*snapshot),
            Event::PeerProcess { running } => self.set_peer_process(running),
            Event::PeerShare(share) => self.take_peer_share(share),
            Event::Probed { .. } | Event::Counted { .. } | Event::GatewayMessage { .. } => {}
        }
    }

    /// How full the servers look to this gateway.
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
