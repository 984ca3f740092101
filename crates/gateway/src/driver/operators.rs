//! What operators ask of the driver: servers taken out and put back by hand, and figures.

use crate::driver::state::LOG_TARGET;
use crate::driver::Driver;
use crate::peer_message::PeerMessage;
use gateway_decisions::{Event, Name};
use gateway_protocol::status::Fullness;

impl Driver {
    /// Takes a server out by hand; done once that is in force.
    pub async fn disable(&self, server: Name) {
        self.send_to_peer(PeerMessage::Disable { server: server.clone() });
        self.run_and_wait(|| self.apply_disable(server)).await;
    }

    /// Puts a server back by hand; done once that is in force.
    pub async fn enable(&self, server: Name) {
        self.send_to_peer(PeerMessage::Enable { server: server.clone() });
        self.run_and_wait(|| self.apply_enable(server)).await;
    }

    async fn run_and_wait(&self, call: impl FnOnce()) {
        let handled = self.batch_handled.notified();
        call();
        handled.await;
    }

    /// Takes a server out, also on a message of the other process.
    pub fn apply_disable(&self, server: Name) {
        // Before the module hears of it: an attempt on its way checks with the backends.
        self.backends.pool.disable(&server);
        tracing::info!(target: LOG_TARGET, server = &*server, "out by hand");
        self.event(Event::Disable { server });
    }

    /// Puts a server back, also on a message of the other process.
    pub fn apply_enable(&self, server: Name) {
        self.backends.pool.enable(&server);
        tracing::info!(target: LOG_TARGET, server = &*server, "back by hand");
        self.event(Event::Enable { server });
    }

    /// How many listed servers the module avoids.
    pub fn ejected(&self) -> usize {
        self.state.borrow().engine.ejected()
    }

    /// How full the servers are, as the module sees it.
    pub fn fullness(&self) -> Fullness {
        let gateway_decisions::LoadStatus { open_share, attempt_capacity, queued, retry_tokens } =
            self.state.borrow().engine.load_status();
        Fullness { open: open_share, room: attempt_capacity, waiting: queued, repeats: retry_tokens }
    }
}
