//! Cancellation of jobs, also of those that are not known yet.
//!
//! A cancel may overtake the submission of its job: it is answered with "no such job" and leaves a tombstone in
//! the replicated state. A submission that meets a tombstone, or a cancel that is not committed yet, is
//! rejected. The leader decides this before it proposes a submission: within its term it knows all cancels that
//! it proposed, and all committed ones of earlier terms are applied before it serves.

use configuration::Route;
use messages::job::mod_Command::OneOfkind;
use messages::job::CancelJob;
use messages::peer::{ClientReply, Outcome};

use crate::state::{State, CANCEL_TOMBSTONE_RETENTION_MS};

use super::client_requests::{belongs_to_route, prefix_key, reply, RETRY_OVERLOADED_MS};
use super::event_loop::Leader;
use super::pending_requests::JobName;

/// Maximum number of cancels of unknown jobs that are retained. Bounds their memory to a few MB.
const MAX_CANCEL_TOMBSTONES: usize = 65_536;
/// Answer to a submission whose ID was cancelled before.
const CANCELLED_BEFORE: &str =
    "this ID was cancelled before the job came: submit the job under another ID, or \
    again after the time in Retry-After";
/// Answer to the cancel of an unknown job beyond `MAX_CANCEL_TOMBSTONES`.
const TOO_MANY_TOMBSTONES: &str =
    "too many unknown jobs were cancelled: cancel again after the time in Retry-After";

impl Leader {
    /// Cancels a job. Returns the reply, or `None` if the request has to wait for a commit.
    pub(super) fn cancel(
        &mut self,
        state: &State,
        token: u64,
        route: &Route,
        id: u64,
    ) -> Option<ClientReply> {
        let name = JobName { id, prefix_key: prefix_key(route) };
        let known = state.job(id).filter(|job| belongs_to_route(job, route));
        let is_unknown = known.is_none() && !self.pending_clients.submits.contains_key(&name);
        if known.is_some_and(|job| job.open_work().is_none()) {
            return Some(reply(Outcome::CANCEL_DONE));
        }
        if let Some(tokens) = self.pending_clients.cancels.get_mut(&name) {
            tokens.push(token);
            return None;
        }
        if is_unknown && !self.may_add_tombstone(state, &name) {
            return Some(ClientReply {
                retry_after_ms: RETRY_OVERLOADED_MS,
                text: TOO_MANY_TOMBSTONES.to_owned(),
                ..reply(Outcome::UNAVAILABLE)
            });
        }
        let command = CancelJob { id, prefix_key: name.prefix_key.clone() };
        self.batch.command(OneOfkind::cancel_job(command));
        self.pending_clients.cancels.insert(name, vec![token]);
        None
    }

    /// Returns the rejection of a submission that a cancel of the same ID has overtaken: the cancel found no
    /// job and was, or will be, acknowledged. `None` if there was no such cancel.
    pub(super) fn cancelled_before(&self, state: &State, name: &JobName) -> Option<ClientReply> {
        let retry_after_ms = if self.pending_clients.cancels.contains_key(name) {
            CANCEL_TOMBSTONE_RETENTION_MS
        } else {
            let until_ms = state.cancelled_until_ms(name.id, &name.prefix_key)?;
            until_ms.saturating_sub(state.clock_ms())
        };
        Some(ClientReply {
            retry_after_ms: u32::try_from(retry_after_ms).unwrap_or(u32::MAX),
            text: CANCELLED_BEFORE.to_owned(),
            ..reply(Outcome::UNAVAILABLE)
        })
    }

    /// Whether a cancel of an unknown job can be recorded within `MAX_CANCEL_TOMBSTONES`.
    fn may_add_tombstone(&self, state: &State, name: &JobName) -> bool {
        let is_recorded = state.cancelled_until_ms(name.id, &name.prefix_key).is_some();
        is_recorded || state.cancel_tombstones() + self.pending_clients.cancels.len() < MAX_CANCEL_TOMBSTONES
    }
}
