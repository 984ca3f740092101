//! Operators' requests to the driver: disabling and enabling servers, and figures.

use crate::driver::state::LOG_TARGET;
use crate::driver::Driver;
use crate::peer_message::PeerMessage;
use gateway_decisions::{Event, Name};
use gateway_protocol::status::Fullness;

impl Driver {
    /// Disables a server for an operator; returns when the change is in effect.
    pub async fn disable(&self, server: Name) {
        self.send_to_peer(PeerMessage::Disable { server: server.clone() });
        self.run_and_wait(|| self.apply_disable(server)).await;
    }

    /// Enables a server for an operator; returns when the change is in effect.
    pub async fn enable(&self, server: Name) {
        self.send_to_peer(PeerMessage::Enable { server: server.clone() });
        self.run_and_wait(|| self.apply_enable(server)).await;
    }

    /// Runs `call` and waits until the engine has handled its event.
    async fn run_and_wait(&self, call: impl FnOnce()) {
        let handled = self.batch_handled.notified();
        call();
        handled.await;
    }

    /// Disables a server, for an operator of this process or on a message of the other process.
    pub fn apply_disable(&self, server: Name) {
        // The pool is updated before the engine, because an attempt that is about to be sent checks with the
        // pool.
        self.backends.pool.disable(&server);
        tracing::info!(target: LOG_TARGET, server = &*server, "out by hand");
        self.event(Event::Disable { server });
    }

    /// Enables a server, for an operator of this process or on a message of the other process.
    pub fn apply_enable(&self, server: Name) {
        self.backends.pool.enable(&server);
        tracing::info!(target: LOG_TARGET, server = &*server, "back by hand");
        self.event(Event::Enable { server });
    }

    /// Returns how many listed servers the engine avoids.
    pub fn ejected(&self) -> usize {
        self.state.borrow().engine.ejected()
    }

    /// Returns the load of the servers as the engine sees it.
    pub fn fullness(&self) -> Fullness {
        let gateway_decisions::LoadStatus { open_share, attempt_capacity, queued, retry_tokens } =
            self.state.borrow().engine.load_status();
        Fullness { open: open_share, room: attempt_capacity, waiting: queued, repeats: retry_tokens }
    }
}
