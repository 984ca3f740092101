//! The list of roll servers, from discovery or the cache.

use crate::driver::state::LOG_TARGET;
use crate::driver::Driver;
use gateway_decisions::{Event, Health, Node, Scope};
use gateway_protocol::list::{List, State, Target};
use gateway_protocol::status::ListAge;
use tokio::time::Instant;

impl Driver {
    /// Applies the cached list of the configuration, which may be outdated.
    pub fn use_cached_list(&self, known: List) {
        self.list(Scope::Cached, known);
    }

    /// Applies an update from discovery.
    pub fn update_list(&self, scope: Scope, list: List) {
        self.list_confirmed.set(Instant::now());
        if self.discovery_down.replace(false) {
            tracing::info!(target: LOG_TARGET, version = list.rev, "discovery: back");
        }
        self.list(scope, list);
    }

    pub(super) fn list(&self, scope: Scope, list: List) {
        // The pool is updated before the engine, because an attempt that is about to be sent checks with the
        // pool.
        self.backends.pool.update(scope, &list.targets);
        self.list.borrow_mut().apply(&list);
        let nodes = list.targets.into_iter().map(|t| self.node(t)).collect();
        self.event(Event::Fleet { seq: list.rev, scope, nodes });
    }

    fn node(&self, t: Target) -> Node {
        let zone = self.zones.iter().position(|z| *z == t.az).unwrap_or(self.zones.len());
        Node {
            name: t.uid.into(),
            zone: zone as u32,
            cell: t.pod_group,
            health: match t.state {
                State::Ready => Health::Up,
                State::Terminating => Health::Draining,
                State::Gone => Health::Removed,
            },
            rating: t.capacity_hint,
            since: t.boot_ms.saturating_mul(1_000_000),
        }
    }

    /// Returns the version of the list in use, and how long ago discovery last confirmed it as the latest.
    pub fn list_age(&self) -> ListAge {
        let age_ms = self.list_confirmed.get().elapsed().as_millis() as u64;
        ListAge { version: self.list.borrow().rev, age_ms }
    }

    /// Handles a discovery call that failed or returned an invalid answer.
    pub fn discovery_failed(&self, what: &str) {
        if !self.discovery_down.replace(true) {
            tracing::warn!(target: LOG_TARGET, "discovery: {what}; the old list stands");
        }
        self.event(Event::Fleet { seq: 0, scope: Scope::Failed, nodes: Vec::new() });
    }
}
