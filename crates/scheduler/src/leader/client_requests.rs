//! Client requests: routed by the active configuration and answered once their command is committed.

use configuration::{job_id, Route};
use messages::job::mod_Command::OneOfkind;
use messages::job::SubmitJob;
use messages::peer::mod_ClientRequest::OneOfcall;
use messages::peer::{ClientReply, ClientRequest, Outcome, SubmitRequest};

use crate::state::{Job, State};

use super::event_loop::Leader;
use super::interface::Output;
use super::pending_requests::JobName;

/// Retry delay for clients while there is no configuration.
const RETRY_UNAVAILABLE_MS: u32 = 1_000;
/// Retry delay for clients while too many tasks are open.
pub(super) const RETRY_OVERLOADED_MS: u32 = 5_000;

/// Returns a reply that holds only an outcome.
pub(super) fn reply(outcome: Outcome) -> ClientReply {
    ClientReply { outcome, ..ClientReply::default() }
}

fn invalid(text: &str) -> ClientReply {
    ClientReply { text: text.to_owned(), ..reply(Outcome::INVALID) }
}

/// Returns the host and path prefix of a route. A job ID is unique within this key.
pub(super) fn prefix_key(route: &Route) -> String {
    let mut key = String::with_capacity(route.host.len() + route.path_prefix.len());
    key.push_str(&route.host);
    key.push_str(&route.path_prefix);
    key
}

impl Leader {
    pub(super) fn client_request(
        &mut self,
        state: &State,
        token: u64,
        request: ClientRequest,
        out: &mut Vec<Output>,
    ) {
        if let Some(reply) = self.answer(state, token, request) {
            out.push(Output::Reply { token, reply });
        }
    }

    /// Returns the reply to a request, or `None` if the request has to wait for a commit.
    fn answer(&mut self, state: &State, token: u64, request: ClientRequest) -> Option<ClientReply> {
        let Some(configuration) = self.configuration.clone() else {
            return Some(ClientReply { retry_after_ms: RETRY_UNAVAILABLE_MS, ..reply(Outcome::UNAVAILABLE) });
        };
        let Some((route, rest)) = configuration.route(&request.host, &request.path) else {
            return Some(reply(Outcome::NO_ROUTE));
        };
        let path_id = job_id::parse(rest).ok();
        match request.call {
            OneOfcall::count(_) if rest.is_empty() => {
                let pending = self.pending_jobs(state, &prefix_key(route));
                Some(ClientReply { pending, ..reply(Outcome::COUNT) })
            }
            OneOfcall::count(_) => Some(reply(Outcome::NO_ROUTE)),
            OneOfcall::submit(submit) if path_id == Some(submit.id) => {
                self.submit(state, token, route, submit)
            }
            OneOfcall::submit(_) => {
                Some(invalid("the path must end in the job's ID: 16 hex digits in lower case"))
            }
            OneOfcall::read(read) if path_id == Some(read.id) => {
                let job = state.job(read.id).filter(|job| belongs_to_route(job, route));
                Some(job.map_or_else(|| reply(Outcome::NO_SUCH_JOB), |job| self.state_reply(read.id, job)))
            }
            OneOfcall::cancel(cancel) if path_id == Some(cancel.id) => {
                self.cancel(state, token, route, cancel.id)
            }
            OneOfcall::read(_) | OneOfcall::cancel(_) => Some(reply(Outcome::NO_SUCH_JOB)),
            OneOfcall::None => Some(invalid("the request carries no call: send both sides the same version")),
        }
    }

    fn submit(
        &mut self,
        state: &State,
        token: u64,
        route: &Route,
        request: SubmitRequest,
    ) -> Option<ClientReply> {
        let id = request.id;
        if let Some(job) = state.job(id) {
            let known = belongs_to_route(job, route);
            return Some(if known {
                reply(Outcome::ACCEPTED)
            } else {
                invalid("a job of another queue has this ID")
            });
        }
        let name = JobName { id, prefix_key: prefix_key(route) };
        if let Some(tokens) = self.pending_clients.submits.get_mut(&name) {
            tokens.push(token);
            return None;
        }
        if let Some(reply) = self.cancelled_before(state, &name) {
            return Some(reply);
        }
        let Some(job) = request.job else { return Some(invalid("the request carries no job: send one")) };
        let tasks: u64 = job.stages.iter().map(|stage| u64::from(stage.count)).sum();
        if self.open_tasks + self.pending_clients.tasks() + tasks > self.settings.max_open_tasks {
            return Some(ClientReply { retry_after_ms: RETRY_OVERLOADED_MS, ..reply(Outcome::OVERLOADED) });
        }
        if let Some(retry_after_ms) = self.retry_after_overload_ms(route, id, &job) {
            self.rejected_jobs.record(self.now, id);
            self.work.jobs_rejected += 1;
            return Some(ClientReply { retry_after_ms, ..reply(Outcome::OVERLOADED) });
        }
        let command = SubmitJob {
            id,
            route: route.name.clone(),
            service: route.service.clone(),
            priority: route.priority,
            max_retries: route.max_retries,
            target_latency_ms: route.target_latency_ms,
            stretch: route.stretch,
            accepted_at_ms: self.clock.time_of_day_ms(self.now),
            job: Some(job),
            prefix_key: name.prefix_key.clone(),
        };
        self.batch.command(OneOfkind::submit_job(command));
        self.pending_clients.submits.insert(name, vec![token]);
        self.pending_clients.submitted_tasks.insert(id, tasks);
        None
    }

    fn state_reply(&self, id: u64, job: &Job) -> ClientReply {
        ClientReply { state: self.state_text(id, job).to_owned(), ..reply(Outcome::STATE) }
    }

    /// Answers all requests that wait for the submission of the job.
    pub(super) fn reply_submits(&mut self, name: &JobName, reply: &ClientReply, out: &mut Vec<Output>) {
        for token in self.pending_clients.take_submits(name) {
            out.push(Output::Reply { token, reply: reply.clone() });
        }
    }

    /// Answers all requests that wait for the cancellation of the job.
    pub(super) fn reply_cancels(&mut self, name: &JobName, reply: &ClientReply, out: &mut Vec<Output>) {
        for token in self.pending_clients.take_cancels(name) {
            out.push(Output::Reply { token, reply: reply.clone() });
        }
    }
}

/// Returns whether the job was submitted under the route's host and path prefix.
pub(super) fn belongs_to_route(job: &Job, route: &Route) -> bool {
    job.prefix_key().strip_prefix(route.host.as_str()) == Some(route.path_prefix.as_str())
}
