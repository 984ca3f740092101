//! The leader of one term: its state, and the dispatch of events.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use configuration::OperatorConfiguration;

use crate::placement::WorkerKey;
use crate::state::State;
use crate::time::NANOS_PER_MS;
use crate::worker::SessionOutput;

use super::attempts::{Attempts, FailedOn};
use super::batch::Batch;
use super::begun_jobs::BegunJobs;
use super::clock::WallClock;
use super::held_gangs::HeldGangs;
use super::history::AttemptHistory;
use super::interface::{Input, Output};
use super::list_reads::ListReads;
use super::mechanisms::Mechanism;
use super::outlier_detector::PeerAverages;
use super::own_lateness::OwnLateness;
use super::pending_requests::{PendingClients, PendingConfigurations};
use super::poll_queue::{PollQueue, POLLS_PER_TURN};
use super::rejected_jobs::RejectedJobs;
use super::schedule::Schedule;
use super::service::Service;
use super::settings::LeaderSettings;
use super::start_pace::StartPace;
use super::status_queries::StatusQueryBudget;
use super::timers::{Timer, Timers};
use super::turn_budget::TurnBudget;
use super::work::LeaderWork;
use super::worker_entry::WorkerEntry;
use super::worker_events::{WorkerEvent, WorkerEvents};

/// Minimum time between two proposals of the time of day to the replicated state.
const CLOCK_PROPOSAL_INTERVAL_NS: u64 = 500 * NANOS_PER_MS;
/// Time between two such proposals while no other commands are proposed.
const IDLE_CLOCK_PROPOSAL_INTERVAL_NS: u64 = 20_000 * NANOS_PER_MS;

/// The leader of one term.
///
/// The driver passes events to `handle`, calls `flush` once after each run of events, and executes the
/// outputs. All times are nanoseconds of one monotonic clock unless a name says otherwise.
pub struct Leader {
    pub(super) term: u64,
    pub(super) settings: LeaderSettings,
    /// The time of the current event.
    pub(super) now: u64,
    /// When this process became the leader of the term.
    pub(super) term_started_at: u64,
    /// The end of the leader lease: this process is certain to lead until then.
    pub(super) lease_until: u64,
    pub(super) clock: WallClock,
    /// The active configuration, once there is one.
    pub(super) configuration: Option<Arc<OperatorConfiguration>>,
    /// Commands of the next proposal.
    pub(super) batch: Batch,
    /// When the time of day was last proposed; 0 before the first proposal.
    clock_proposed_at: u64,
    pub(super) pending_clients: PendingClients,
    pub(super) pending_configurations: PendingConfigurations,
    /// All services. `peers` has the same indices.
    pub(super) services: Vec<Service>,
    pub(super) peers: Vec<PeerAverages>,
    /// The remaining admission budget of this turn.
    pub(super) admission_budget: TurnBudget,
    /// Index of the service with which admission continues.
    pub(super) next_service: usize,
    /// Index of each service by its name.
    pub(super) service_positions: HashMap<String, usize>,
    pub(super) workers: BTreeMap<WorkerKey, WorkerEntry>,
    /// Key of each worker by the instance ID of its incarnation.
    pub(super) worker_keys: HashMap<Arc<str>, WorkerKey>,
    pub(super) next_worker: WorkerKey,
    /// Workers whose session is to be polled.
    pub(super) poll_queue: PollQueue,
    pub(super) lateness: OwnLateness,
    pub(super) status_queries: StatusQueryBudget,
    /// Workers with ends that are not yet proposed.
    pub(super) workers_with_ends: Vec<WorkerKey>,
    pub(super) attempts: Attempts,
    /// Rate and delay of confirmed starts.
    pub(super) start_pace: StartPace,
    /// Jobs that were rejected because of overload.
    pub(super) rejected_jobs: RejectedJobs,
    pub(super) held_gangs: HeldGangs,
    pub(super) history: AttemptHistory,
    pub(super) events: WorkerEvents,
    pub(super) failed_on: FailedOn,
    /// Number of tasks in open jobs, for the memory limit.
    pub(super) open_tasks: u64,
    /// Number of tasks of each open job.
    pub(super) open_job_tasks: HashMap<u64, u64>,
    /// Which open jobs have begun.
    pub(super) begun_jobs: BegunJobs,
    pub(super) schedule: Schedule,
    /// Earliest time at which further occurrences are queued, because a turn has queued as many as it may.
    pub(super) schedule_resumes_at: u64,
    pub(super) timers: Timers,
    /// Reads of the platform's instance list.
    pub(super) list_reads: ListReads,
    /// The wake-up time last requested from the driver.
    wake_up_at: Option<u64>,
    /// Whether a worker has seen a newer leader. A fenced leader sends no more orders.
    pub(super) fenced: bool,
    /// Buffer that is reused between polls of sessions and is empty in between.
    pub(super) session_outputs: Vec<SessionOutput>,
    pub(super) random: fastrand::Rng,
    /// Work counted since `take_work` was last called.
    pub(super) work: LeaderWork,
}

impl Leader {
    /// Creates a leader that has not read the replicated state yet.
    pub(super) fn empty(term: u64, settings: LeaderSettings, now: u64, seed: u64) -> Self {
        Self {
            term,
            settings,
            now,
            term_started_at: now,
            lease_until: 0,
            clock: WallClock::default(),
            configuration: None,
            batch: Batch::default(),
            clock_proposed_at: 0,
            pending_clients: PendingClients::default(),
            pending_configurations: PendingConfigurations::default(),
            services: Vec::new(),
            peers: Vec::new(),
            admission_budget: TurnBudget::default(),
            next_service: 0,
            service_positions: HashMap::new(),
            workers: BTreeMap::new(),
            worker_keys: HashMap::new(),
            next_worker: 0,
            poll_queue: PollQueue::default(),
            lateness: OwnLateness::new(now),
            status_queries: StatusQueryBudget::default(),
            workers_with_ends: Vec::new(),
            attempts: Attempts::default(),
            start_pace: StartPace::default(),
            rejected_jobs: RejectedJobs::default(),
            held_gangs: HeldGangs::default(),
            history: AttemptHistory::default(),
            events: WorkerEvents::default(),
            failed_on: BTreeMap::new(),
            open_tasks: 0,
            open_job_tasks: HashMap::new(),
            begun_jobs: BegunJobs::default(),
            schedule: Schedule::default(),
            schedule_resumes_at: 0,
            timers: Timers::default(),
            list_reads: ListReads::default(),
            wake_up_at: None,
            fenced: false,
            session_outputs: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
            work: LeaderWork::default(),
        }
    }

    /// The term, which is the fencing token of all calls to workers.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Number of known workers, including workers that have ended.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Sets the end of the leader lease, in nanoseconds of the monotonic clock. Must be called whenever it
    /// changes.
    pub fn set_lease(&mut self, now: u64, until: u64) {
        let had_expired = self.lease_until <= now;
        self.now = self.now.max(now);
        self.lease_until = until;
        if had_expired && until > now {
            // Idle sessions send nothing that needs the lease.
            let busy = self.workers.iter().filter(|(_, entry)| !entry.session.is_idle());
            let keys: Vec<WorkerKey> = busy.map(|(key, _)| *key).collect();
            for key in keys {
                self.schedule_poll(key);
            }
        }
    }

    /// Handles one event. `state` must reflect all batches passed in so far.
    pub fn handle(&mut self, state: &State, now: u64, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.work.inputs += 1;
        match input {
            Input::Client { token, request } => self.client_request(state, token, request, out),
            Input::Abandoned { .. } => {}
            Input::PutConfiguration { token, if_match, body } => {
                self.put_configuration(state, token, if_match, body, out);
            }
            Input::ReadConfiguration { token } => self.read_configuration(state, token, out),
            Input::Instances { instances, as_of, has_changed, is_last } => {
                self.list_page_received(&instances, as_of, has_changed);
                if is_last {
                    self.list_completed();
                }
            }
            Input::InstancesFailed => self.list_read_failed(),
            Input::CallFinished { call, outcome } => self.call_finished(call, outcome),
            Input::BatchApplied { changes, .. } => self.changes_committed(state, &changes, out),
            Input::ProposalDropped => {}
            Input::ReadUntil { at } => self.read_until(at),
            Input::Tick { time_of_day_ms } => self.tick(time_of_day_ms),
        }
        self.run_timers(state, out);
    }

    /// Ends a turn: polls the sessions of workers with changes, starts the tasks for which there is capacity,
    /// proposes the collected commands, and requests the next wake-up. Must be called once after each run of
    /// events, with a state that reflects all batches passed in so far.
    pub fn flush(&mut self, state: &State, now: u64, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        let polled = self.poll_workers(POLLS_PER_TURN, out);
        self.admit(state);
        // Admission may have preempted attempts, whose stops are sent now.
        self.poll_workers(POLLS_PER_TURN - polled, out);
        self.propose_ends();
        self.propose_clock();
        if !self.batch.is_empty() {
            out.push(Output::Propose { batch: self.batch.take() });
        }
        let next = self.timers.next();
        if next != self.wake_up_at {
            self.wake_up_at = next;
            out.extend(next.map(|at| Output::WakeAt { at }));
        }
    }

    /// Takes the worker events since the last call, oldest first. Calling this is optional: beyond a limit,
    /// further events are dropped.
    pub fn take_worker_events(&mut self) -> Vec<WorkerEvent> {
        self.events.take()
    }

    /// Returns whether a mechanism is enabled.
    pub(super) fn uses(&self, mechanism: Mechanism) -> bool {
        self.settings.mechanisms.uses(mechanism)
    }

    fn tick(&mut self, time_of_day_ms: u64) {
        // Any tick uses up the driver's wake-up, whether or not that wake-up caused it.
        self.wake_up_at = None;
        let first = !self.clock.is_known();
        self.clock.set(self.now, time_of_day_ms);
        if first {
            self.timers.set(self.now, Timer::Schedule);
        }
    }

    /// Proposes the time of day along with other commands, or alone at long intervals.
    fn propose_clock(&mut self) {
        if !self.clock.is_known() {
            return;
        }
        let since = self.now.saturating_sub(self.clock_proposed_at);
        let interval =
            if self.batch.is_empty() { IDLE_CLOCK_PROPOSAL_INTERVAL_NS } else { CLOCK_PROPOSAL_INTERVAL_NS };
        if self.clock_proposed_at == 0 || since >= interval {
            self.clock_proposed_at = self.now.max(1);
            self.batch.clock(self.clock.time_of_day_ms(self.now));
        }
    }

    fn run_timers(&mut self, state: &State, out: &mut Vec<Output>) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::Session(worker) => self.schedule_poll(worker),
                Timer::Worker(worker) => self.reconsider_worker(worker),
                Timer::ReadInstances => self.request_instances(out),
                Timer::ExpireListings => self.expire_listings(),
                Timer::ExamineAttempts => self.examine_attempts(state),
                Timer::Schedule => self.enqueue_due_times(state),
                Timer::ReleaseGangs => self.release_gangs(),
                // Sessions are polled at the end of each turn.
                Timer::PollWorkers => {}
                Timer::Admit => self.services.iter_mut().for_each(Service::request_admission),
            }
        }
    }

    /// Returns the index of a service and adds the service if it is new.
    pub(super) fn service_position(&mut self, name: &str) -> usize {
        if let Some(position) = self.service_positions.get(name) {
            return *position;
        }
        let position = self.services.len();
        self.services.push(Service::new(&self.settings.mechanisms));
        self.peers.push(PeerAverages::default());
        self.service_positions.insert(name.to_owned(), position);
        position
    }
}
