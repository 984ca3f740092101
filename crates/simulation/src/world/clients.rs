//! Clients: they submit jobs, retry, read job states and cancel jobs.

use std::collections::HashMap;

use data_plane::upstream::ForwardRequest;
use messages::peer::mod_ClientRequest::OneOfcall;
use messages::peer::{CancelRequest, ClientReply, CountRequest, Outcome, ReadRequest, SubmitRequest};

use super::event::{Event, Intent};
use super::network::Endpoint;
use super::{World, FIRST_EDGE};
use crate::history::{Answer, CallKind, ClientCall};
use crate::time::{ms, MS};
use crate::workload::Queue;

/// Host name of all queues.
pub(super) const HOST: &str = "jobs.example";
/// Maximum number of attempts to submit a job.
const MAX_SUBMITS: u32 = 5;
/// Maximum number of attempts to cancel a job.
const MAX_CANCELS: u32 = 10;
/// Longest pause between two reads of a job's state, in nanoseconds.
const MAX_READ_PAUSE_NS: u64 = 8_000 * MS;
/// How long a client that leaves and cancels waits for the answer to its submission, in milliseconds.
const MS_BEFORE_CANCEL: std::ops::Range<u64> = 200..600;
/// Size that an edge accounts for each request, in bytes.
const REQUEST_SIZE_BYTES: usize = 2_000;

/// State of the clients.
#[derive(Default)]
pub(super) struct Clients {
    jobs: HashMap<u64, ClientJob>,
    /// Calls in flight, by edge.
    in_flight: HashMap<usize, Vec<usize>>,
    /// Clients give up on submissions before their timeout.
    pub(super) leave_early: bool,
    /// Clients give up on submissions before their timeout, do not repeat them, and cancel the job.
    pub(super) leave_and_cancel: bool,
}

#[derive(Default)]
struct ClientJob {
    submits: u32,
    cancels: u32,
    reads: u32,
    accepted: bool,
    ended: bool,
    /// The client cancels the job once it has stopped waiting for the answer to its submission.
    cancels_after_leaving: bool,
}

impl World {
    pub(super) fn job_comes(&mut self, job: usize) {
        let plan = self.jobs[job].clone();
        let id = plan.id;
        if let Some(at) = plan.cancel_at {
            self.queue.push(at, Event::ClientSends { job: id, intent: Intent::Cancel });
        }
        self.history.jobs.insert(id, plan);
        self.clients.jobs.insert(id, ClientJob::default());
        self.client_sends(id, Intent::Submit);
    }

    pub(super) fn client_sends(&mut self, job: u64, intent: Intent) {
        let Some(state) = self.clients.jobs.get_mut(&job) else { return };
        let kind = match intent {
            Intent::Submit => {
                state.submits += 1;
                CallKind::Submit
            }
            Intent::Read => CallKind::Read,
            Intent::Cancel => {
                state.cancels += 1;
                CallKind::Cancel
            }
        };
        let leaves_and_cancels = self.clients.leave_and_cancel && kind == CallKind::Submit && self.rng.bool();
        if let Some(state) = self.clients.jobs.get_mut(&job) {
            state.cancels_after_leaving |= leaves_and_cancels;
        }
        let plan = &self.history.jobs[&job];
        let (prefix, mut timeout) = (Queue::ALL[plan.queue].prefix.to_owned(), plan.timeout);
        if self.clients.leave_early && kind == CallKind::Submit && self.rng.f64() < 0.4 {
            timeout = ms(self.rng.u64(5..300));
        }
        if leaves_and_cancels {
            timeout = ms(self.rng.u64(MS_BEFORE_CANCEL));
        }
        self.send_call(kind, job, prefix, timeout);
    }

    /// Sends a client's request for the number of pending jobs in a queue.
    pub(super) fn count_queue(&mut self, prefix: String) {
        self.send_call(CallKind::Count, 0, prefix, ms(3_000));
    }

    fn send_call(&mut self, kind: CallKind, job: u64, prefix: String, timeout: u64) {
        let edge = self.choose_edge();
        let sent_at = self.now;
        let call = self.history.calls.len();
        let machine = FIRST_EDGE + edge;
        self.history.calls.push(ClientCall {
            kind,
            job,
            prefix,
            edge: machine,
            sent_at,
            timeout,
            answer: None,
        });
        self.queue.push(sent_at + timeout, Event::ClientLeaves { call });
        let delay = self.delay(Endpoint::Outside, Endpoint::Edge(edge));
        let event = if self.edges[edge].upstream.is_some() {
            Event::ClientArrives { call, edge_incarnation: self.edges[edge].incarnation }
        } else {
            Event::ClientAnswered { call, answer: Answer::None }
        };
        self.queue.push(sent_at + delay, event);
    }

    /// Chooses the edge that receives a new connection: one that passes its readiness probes, or any if none
    /// does.
    fn choose_edge(&mut self) -> usize {
        let ready: Vec<usize> =
            (0..self.edges.len()).filter(|edge| self.edges[*edge].receives_connections()).collect();
        if ready.is_empty() {
            return self.rng.usize(0..self.edges.len());
        }
        ready[self.rng.usize(0..ready.len())]
    }

    pub(super) fn client_arrives(&mut self, call: usize, edge_incarnation: u32) {
        let edge = self.history.calls[call].edge - FIRST_EDGE;
        if self.edges[edge].incarnation != edge_incarnation || self.edges[edge].upstream.is_none() {
            self.client_answered(call, Answer::None);
            return;
        }
        let until = self.edges[edge].frozen_until;
        if until > self.now {
            self.queue.push(until, Event::ClientArrives { call, edge_incarnation });
            return;
        }
        let request = self.forward_request(call);
        self.clients.in_flight.entry(edge).or_default().push(call);
        self.run_edge(edge, |upstream, now, out| upstream.request(now, call as u64, request, out));
    }

    fn forward_request(&self, call: usize) -> ForwardRequest {
        let record = &self.history.calls[call];
        let job = self.history.jobs.get(&record.job);
        let path = match record.kind {
            CallKind::Count => record.prefix.clone(),
            _ => format!("{}{:016x}", record.prefix, record.job),
        };
        let body = job.map(|job| job.body.clone());
        let one_of = match record.kind {
            CallKind::Submit => OneOfcall::submit(SubmitRequest { id: record.job, job: body }),
            CallKind::Read => OneOfcall::read(ReadRequest { id: record.job }),
            CallKind::Cancel => OneOfcall::cancel(CancelRequest { id: record.job }),
            CallKind::Count => OneOfcall::count(CountRequest {}),
        };
        // An edge counts a client's timeout from the time at which it reads the request.
        let timeout_ms = (record.timeout / MS) as u32;
        ForwardRequest {
            host: HOST.to_owned(),
            path,
            timeout_ms,
            call: one_of,
            size_bytes: REQUEST_SIZE_BYTES,
        }
    }

    /// Passes an edge's reply on to the client.
    pub(super) fn answer_client(&mut self, edge: usize, call: usize, reply: &ClientReply) {
        if let Some(in_flight) = self.clients.in_flight.get_mut(&edge) {
            in_flight.retain(|known| *known != call);
        }
        let answer = match reply.outcome {
            Outcome::ACCEPTED | Outcome::CANCEL_DONE => Answer::Done,
            Outcome::STATE => Answer::State(reply.state.clone()),
            Outcome::COUNT => Answer::Count(reply.pending),
            Outcome::NO_ROUTE => Answer::NoRoute,
            Outcome::NO_SUCH_JOB => Answer::Gone,
            Outcome::INVALID => Answer::Invalid,
            Outcome::OVERLOADED | Outcome::UNAVAILABLE => Answer::Rejected,
            Outcome::UNSURE | Outcome::NOT_LEADER | Outcome::OUTCOME_UNKNOWN => Answer::Unsure,
        };
        let delay = self.delay(Endpoint::Edge(edge), Endpoint::Outside);
        self.queue.push(self.now + delay, Event::ClientAnswered { call, answer });
    }

    /// Breaks the connections between an edge and its clients.
    pub(super) fn break_clients_of(&mut self, edge: usize) {
        for call in self.clients.in_flight.remove(&edge).unwrap_or_default() {
            let delay = self.delay(Endpoint::Edge(edge), Endpoint::Outside);
            self.queue.push(self.now + delay, Event::ClientAnswered { call, answer: Answer::None });
        }
    }

    pub(super) fn client_leaves(&mut self, call: usize) {
        if self.history.calls[call].answer.is_some() {
            return;
        }
        let edge = self.history.calls[call].edge - FIRST_EDGE;
        if let Some(in_flight) = self.clients.in_flight.get_mut(&edge) {
            in_flight.retain(|known| *known != call);
        }
        if self.edges[edge].frozen_until <= self.now {
            self.run_edge(edge, |upstream, _, _| upstream.abandon(call as u64));
        }
        self.client_answered(call, Answer::None);
    }

    pub(super) fn client_answered(&mut self, call: usize, answer: Answer) {
        let now = self.now;
        let record = &mut self.history.calls[call];
        if record.answer.is_some() {
            return;
        }
        record.answer = Some((now, answer.clone()));
        let (kind, job) = (record.kind, record.job);
        if self.trace && kind != CallKind::Read {
            self.trace(|| format!("client: {kind:?} {job:016x} -> {answer:?}"));
        }
        match kind {
            CallKind::Submit => self.after_submit(job, &answer),
            CallKind::Read => self.after_read(job, &answer),
            CallKind::Cancel => self.after_cancel(job, &answer),
            CallKind::Count => {}
        }
    }

    fn after_submit(&mut self, job: u64, answer: &Answer) {
        let retry_delay = ms(self.rng.u64(80..400));
        let retries_rejected = self.rng.bool();
        let Some(state) = self.clients.jobs.get_mut(&job) else { return };
        let tries_left = state.submits < MAX_SUBMITS && state.cancels == 0 && !state.cancels_after_leaving;
        match answer {
            Answer::Done => {
                let was_accepted = std::mem::replace(&mut state.accepted, true);
                let at = self.now + ms(1_000);
                if was_accepted {
                    return;
                }
                self.queue.push(at, Event::ClientSends { job, intent: Intent::Read });
            }
            Answer::None if state.cancels_after_leaving => {
                self.queue.push(self.now, Event::ClientSends { job, intent: Intent::Cancel });
            }
            Answer::Unsure | Answer::None if tries_left => {
                self.queue.push(self.now + retry_delay, Event::ClientSends { job, intent: Intent::Submit });
            }
            Answer::Rejected if tries_left && retries_rejected => {
                let at = self.now + ms(1_000) + retry_delay;
                self.queue.push(at, Event::ClientSends { job, intent: Intent::Submit });
            }
            _ => {}
        }
    }

    fn after_read(&mut self, job: u64, answer: &Answer) {
        let Some(state) = self.clients.jobs.get_mut(&job) else { return };
        state.reads += 1;
        if let Answer::State(text) = answer {
            state.ended = matches!(text.as_str(), "completed" | "failed" | "cancelled");
        }
        if state.ended {
            return;
        }
        let pause = ms(700 << state.reads.min(6)).min(MAX_READ_PAUSE_NS);
        let at = self.now + pause;
        if at < self.final_reads_at() {
            self.queue.push(at, Event::ClientSends { job, intent: Intent::Read });
        }
    }

    fn after_cancel(&mut self, job: u64, answer: &Answer) {
        let retry_delay = ms(self.rng.u64(100..500));
        let Some(state) = self.clients.jobs.get_mut(&job) else { return };
        if matches!(answer, Answer::Done | Answer::Gone) || state.cancels >= MAX_CANCELS {
            return;
        }
        self.queue.push(self.now + retry_delay, Event::ClientSends { job, intent: Intent::Cancel });
    }

    /// Time at which clients read the states of all accepted jobs.
    pub(super) fn final_reads_at(&self) -> u64 {
        let finish = ms(self.site.bounds.finish_ms);
        let recovery = if self.script.closing.is_some() { ms(self.site.bounds.recovery_ms) } else { 0 };
        self.site.traffic_start + self.site.traffic_length + recovery + finish
    }
}

impl World {
    /// Reads the state of every accepted job, three times each.
    pub(super) fn read_all_jobs(&mut self) {
        let accepted = self.clients.jobs.iter().filter(|(_, state)| state.accepted);
        let mut jobs: Vec<u64> = accepted.map(|(job, _)| *job).collect();
        jobs.sort_unstable();
        for job in jobs {
            for attempt in 0..3 {
                let at = self.now + ms(1_500 * attempt) + self.rng.u64(0..ms(500));
                self.queue.push(at, Event::ClientSends { job, intent: Intent::Read });
            }
        }
    }
}
