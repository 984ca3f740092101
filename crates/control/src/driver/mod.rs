//! The event loop of the control role: collects events, passes them to the state machines, and executes their
//! outputs. One iteration of the loop is called a turn.

mod event_handlers;
mod event_log;
mod founding;
mod lateness;
mod leadership;
mod load_log;
mod relaying;
mod shutdown;

use crate::absence::StallMeter;
use crate::clients::Clients;
use crate::clock::{Clock, MILLISECOND};
use crate::connection_budget::max_worker_connections;
use crate::error::ControlError;
use crate::event_queue::{EventQueue, EventSender};
use crate::events::DriverEvent;
use crate::group_join::{GroupJoin, JoinStep, MemberStatus};
use crate::identity::{self, OpenedDisk};
use crate::input_marker::InputMarkers;
use crate::metrics::turns::TurnPart;
use crate::metrics::Metrics;
use crate::operator_calls::OperatorCalls;
use crate::peer_connections::PeerConnections;
use crate::platform::PlatformClient;
use crate::relay::{CallRouter, RelayAgent, MIN_RELAYED_WORKERS};
use crate::replica::{Effect, Replica};
use crate::worker_client::WorkerClient;
use crate::writer::{Writer, Written};
use crate::{replica, settings_file, wire};
use configuration::{OrderDelivery, ProcessSettings};
use consensus::{Event, Founding, LeadershipObstacle, Membership, NodeId};
use scheduler::leader::{Input, Leader, LeaderRecovery, Mechanisms, Output};
use std::collections::VecDeque;
use std::path::PathBuf;
use tokio::select;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

/// Time budget of a turn. Once it is used up, the turn handles no further ordinary event and applies no
/// further entry: heartbeats are sent and their responses are read between turns.
const TURN_TIME_NS: u64 = 4 * MILLISECOND;
/// How many times other tasks get to run between two turns without a pause: a worker's answer passes through
/// the task of its connection and the task of its call.
const YIELDS_BETWEEN_TURNS: usize = 4;
/// Maximum number of committed entries applied in one turn. After a restart, thousands become committed at
/// once.
const MAX_APPLIED_PER_TURN: usize = 256;

/// Interval at which a leader reads the seeds from the settings file. A newly started machine may know no
/// member except through the seeds.
const SEED_CHECK_INTERVAL_NS: u64 = 1_000 * MILLISECOND;

/// Interval of the checks during shutdown whether all replies have been sent.
const SHUTDOWN_CHECK_INTERVAL_NS: u64 = 5 * MILLISECOND;

/// Why a driver ended.
#[derive(Debug)]
pub enum DriverExit {
    /// The platform asked the process to stop.
    Stopped,
    /// The group has removed this identity: the process must clear its disk and join again.
    Removed,
    /// The seeds have agreed to found a group: the process must write the group's first log and start as this
    /// member.
    FoundGroup {
        /// The identity of this process as a member.
        id: NodeId,
        /// The members.
        membership: Membership,
    },
    /// The process cannot continue.
    Failed(ControlError),
}

/// Runs the control role under one identity of this process, until that identity ends.
///
/// The driver is the only owner of the replica and of the leader, and runs on one thread. The order of steps
/// within a turn guarantees two rules that all other code relies on:
///
/// - The leader sees each applied entry before the next one is applied, so that it never decides on a state
///   that is newer than the inputs it has processed.
/// - Consensus messages are sent before committed entries are applied, so that heartbeats do not queue behind
///   entries.
///
/// `leader` is set from the time at which this process leads and has built the leader from the complete
/// state, until it steps down. A set `leader` is not sufficient to answer or to call workers: each such
/// output first checks the lease (`Replica::has_lease`).
pub struct Driver {
    pub(crate) settings: ProcessSettings,
    pub(crate) mechanisms: Mechanisms,
    settings_path: PathBuf,
    pub(crate) clock: Clock,
    pub(crate) replica: Replica,
    pub(crate) leader: Option<Leader>,
    /// The leader while it is being built from the state. No entry is applied during that time.
    recovery: Option<LeaderRecovery>,
    pub(crate) leader_outputs: Vec<Output>,
    /// Time of the leader's next tick, in nanoseconds of `clock`.
    pub(crate) next_leader_tick: u64,
    /// Earliest time of the next flush of the leader (poll, admit, propose), in nanoseconds of `clock`.
    next_flush: u64,
    /// Latest time of the next flush, in nanoseconds of `clock`; `u64::MAX` if none is needed.
    flush_due: u64,
    /// End of the lease that the leader was last told about, in nanoseconds of `clock`.
    pub(crate) announced_lease: u64,
    effects: VecDeque<Effect>,
    pub(crate) peers: PeerConnections,
    pub(crate) clients: Clients,
    pub(crate) operator_calls: OperatorCalls,
    pub(crate) workers: WorkerClient,
    /// Routes this process's calls as a leader: locally or over relays.
    pub(crate) router: CallRouter,
    /// Makes calls on behalf of another leader.
    relay_agent: RelayAgent,
    /// Earliest time of this process's next report as a relay, in nanoseconds of `clock`.
    next_report: u64,
    pub(crate) platform: PlatformClient,
    pub(crate) metrics: Metrics,
    group_join: GroupJoin,
    founding: Founding,
    /// This process's identity in a group that it founds by agreement.
    founding_id: NodeId,
    /// When the last known leader that accepts commands was lost; `None` while there is one.
    leaderless_since: Option<u64>,
    /// The last logged reason for a missing leader, and when it was logged.
    logged_obstacle: Option<(LeadershipObstacle, u64)>,
    stall_meter: StallMeter,
    input_markers: InputMarkers,
    /// When the leader's load was last logged, in nanoseconds of `clock`.
    load_recorded_at: u64,
    /// When a leader next reads the seeds from the settings file, in nanoseconds of `clock`.
    next_seed_check: u64,
    /// Latest time at which the process ends, in nanoseconds of `clock`; set once the process was asked to
    /// stop.
    stop_by: Option<u64>,
    exit: Option<DriverExit>,
    written: UnboundedReceiver<Written>,
}

/// What is left of a turn's budget for applying entries.
struct ApplyBudget {
    /// Number of entries that may still be applied.
    entries: usize,
    /// End of the time budget, in nanoseconds of the driver's clock.
    until: u64,
}

impl ApplyBudget {
    /// Whether no further entry may be applied in this turn. The first entry of a turn may always be applied.
    fn is_exhausted(&self, now: u64) -> bool {
        self.entries == 0 || (self.entries < MAX_APPLIED_PER_TURN && now >= self.until)
    }
}

/// State of the process that outlives an identity.
pub struct ProcessContext {
    /// The process's clock.
    pub clock: Clock,
    /// Path of the settings file.
    pub settings_path: PathBuf,
    /// The scheduler mechanisms that a leader uses.
    pub mechanisms: Mechanisms,
    /// The sending side of the event queue, for tasks.
    pub sender: EventSender,
    /// The driver's side of the event queue.
    pub events: EventQueue,
}

impl Driver {
    /// Starts a driver from the recovered contents of the disk.
    ///
    /// # Errors
    ///
    /// Fails if the settings lack a `Control` address, if the stored snapshot cannot be restored, or if the writer's
    /// thread cannot start.
    pub fn start(
        opened: OpenedDisk,
        settings: ProcessSettings,
        context: &ProcessContext,
        clients: Clients,
    ) -> Result<Self, ControlError> {
        let OpenedDisk { store, id, restored } = opened;
        log::info!("core process {id:#x} at {}", settings.ip);
        if settings.order_delivery == OrderDelivery::Heartbeats {
            log::error!("Commands is heartbeat, but orders are delivered by calls only: set it to rpc");
        }
        let (sender, written) = unbounded_channel();
        let writer = Writer::start(store, sender)?;
        let (clock, events) = (context.clock, &context.sender);
        let now = clock.now();
        let replica = Replica::new(replica::options(&settings, id), restored, writer, now)?;
        let own = identity::own_member(&settings, id)?;
        let seeds = identity::seed_addresses(&settings);
        let founding_id = identity::unused_id(settings.ip);
        let platform_address = settings.cloud_api.as_ref().map(|platform| platform.address);
        let mut driver = Driver {
            settings_path: context.settings_path.clone(),
            mechanisms: context.mechanisms.clone(),
            clock,
            replica,
            leader: None,
            recovery: None,
            leader_outputs: Vec::new(),
            next_leader_tick: u64::MAX,
            next_flush: 0,
            flush_due: u64::MAX,
            announced_lease: 0,
            effects: VecDeque::new(),
            group_join: GroupJoin::new(id, &own.address, seeds, now),
            founding: identity::founding(&settings, founding_id)?,
            founding_id,
            leaderless_since: None,
            logged_obstacle: None,
            stall_meter: StallMeter::default(),
            input_markers: InputMarkers::new(events.ordinary().clone()),
            load_recorded_at: now,
            next_seed_check: 0,
            peers: PeerConnections::new(&settings.node_id, own, events.clone()),
            clients,
            operator_calls: OperatorCalls::default(),
            workers: WorkerClient::new(events.ordinary().clone(), clock),
            router: CallRouter::new(id, MIN_RELAYED_WORKERS),
            relay_agent: RelayAgent::new(id),
            next_report: 0,
            platform: PlatformClient::new(
                &settings.discovery,
                platform_address,
                events.urgent().clone(),
                clock,
            ),
            metrics: Metrics::default(),
            stop_by: None,
            exit: None,
            written,
            settings,
        };
        driver.platform.set_rate(platform_rate(&driver.settings));
        driver.workers.set_max_connections(max_connections(&driver.settings));
        // Connections outlive an identity of this process, and the other side sends its hello only once per
        // connection.
        for (peer, address) in driver.clients.core_processes() {
            driver.peers.set_address(peer, &address);
            driver.group_join.add_contact(&address);
        }
        driver.connect_to_members();
        Ok(driver)
    }

    /// Runs until this identity ends.
    pub async fn run(&mut self, events: &mut EventQueue) -> DriverExit {
        let timer = sleep_until(Instant::now());
        tokio::pin!(timer);
        loop {
            let next_timer = self.next_timer();
            timer.as_mut().reset(self.clock.instant(next_timer).into());
            if self.has_work() || events.has_ordinary() {
                // The next turn starts at once: without these yields, the tasks of connections would not run.
                for _ in 0..YIELDS_BETWEEN_TURNS {
                    yield_now().await;
                }
            }
            let mut first = None;
            select! {
                biased;
                Some(written) = self.written.recv() => self.handle_written(written),
                event = events.wait() => first = event,
                () = &mut timer => {}
            }
            let now = self.clock.now();
            self.record_stall(now, next_timer);
            self.take_turn(now, first, events);
            self.stall_meter.end_turn(self.clock.now());
            if let Some(exit) = self.take_exit(now) {
                return exit;
            }
        }
    }

    /// Handles, in this order: consensus messages, the consensus timer, urgent events, ordinary events while
    /// the time budget lasts, and due timers. Then executes the resulting outputs.
    fn take_turn(&mut self, now: u64, first: Option<DriverEvent>, events: &mut EventQueue) {
        let mut at = now;
        events.fetch_ordinary();
        let mut next = first;
        while let Some(event) = next.take().or_else(|| events.next_consensus()) {
            self.handle_event(now, event);
            at = self.record_turn_part(TurnPart::OtherEvents, 1, at);
        }
        self.tick_consensus(now);
        self.send_messages();
        while let Some(event) = events.next_urgent() {
            let part = event.turn_part();
            self.handle_event(now, event);
            at = self.record_turn_part(part, 1, at);
        }
        let turn_ends = now + TURN_TIME_NS;
        while at < turn_ends {
            let Some(event) = events.next_ordinary() else { break };
            let part = event.turn_part();
            self.handle_event(now, event);
            at = self.record_turn_part(part, 1, at);
        }
        self.tick(now);
        self.advance_recovery(now, turn_ends);
        at = self.record_turn_part(TurnPart::Timers, 1, at);
        self.process_outputs(now, turn_ends);
        self.send_relay_frames(now);
        at = self.record_turn_part(TurnPart::Outputs, 1, at);
        self.send_marker_if_awaited();
        self.replica.take_snapshot_if_due();
        self.metrics.turns.record_turn(at.saturating_sub(now));
        self.record_load(at);
    }

    /// Adds the time since `began` to a part of the turn, and returns the current time.
    fn record_turn_part(&mut self, part: TurnPart, events: u64, began: u64) -> u64 {
        let now = self.clock.now();
        self.metrics.turns.record_part(part, events, now.saturating_sub(began));
        now
    }

    /// Ends this identity. Returns the settings and the connections of other processes, for the next
    /// identity.
    pub fn into_parts(mut self) -> (ProcessSettings, Clients) {
        self.step_down();
        (self.settings, self.clients)
    }

    /// Whether the last turn left work that is due at once.
    fn has_work(&self) -> bool {
        let is_leader_due = self.leader.is_some() && self.next_leader_tick <= self.clock.now();
        !self.effects.is_empty() || self.recovery.is_some() || is_leader_due
    }

    fn next_timer(&self) -> u64 {
        if self.has_work() {
            return self.clock.now();
        }
        let join_timer = self.group_join.next_timer(self.member_status());
        let mut next = self.replica.node().next_timer().min(join_timer).min(self.founding.next_timer());
        next = next.min(self.relay_timer());
        if self.leader.is_some() {
            next = next.min(self.next_leader_tick).min(self.flush_due);
        }
        if self.replica.node().is_leader() {
            next = next.min(self.next_seed_check);
        }
        if self.stop_by.is_some() {
            next = next.min(self.clock.now() + SHUTDOWN_CHECK_INTERVAL_NS);
        }
        next
    }

    fn tick_consensus(&mut self, now: u64) {
        if self.replica.node().next_timer() <= now {
            self.step_consensus(now, Event::Tick);
        }
    }

    fn tick(&mut self, now: u64) {
        if self.next_leader_tick <= now {
            self.tick_leader(now);
        }
        match self.group_join.poll(now, self.member_status()) {
            JoinStep::Wait => {}
            // The members of a founded group that never committed a command are abandoned: they do not join
            // another group with their log.
            JoinStep::RequestJoin if self.has_founded_alone() => {}
            JoinStep::RequestJoin => self.peers.request_join(&self.group_join.contacts()),
            JoinStep::ReloadSettings => self.reload_settings(),
        }
        self.poll_founding(now);
        self.record_leadership_obstacle(now);
        if self.replica.node().is_leader() && self.next_seed_check <= now {
            self.next_seed_check = now + SEED_CHECK_INTERVAL_NS;
            self.reload_settings();
            self.announce_group();
        }
    }

    fn member_status(&self) -> MemberStatus {
        let node = self.replica.node();
        MemberStatus { is_member: node.is_member(), knows_leader: node.leader().is_some() }
    }

    /// Passes an event to consensus. `process_effects` processes the resulting effects.
    pub(crate) fn step_consensus(&mut self, now: u64, event: Event) {
        self.replica.handle(now, event, &mut self.effects);
    }

    fn handle_written(&mut self, written: Written) {
        let now = self.clock.now();
        match written {
            Written::Log { ticket } => self.step_consensus(now, Event::Persisted { ticket }),
            Written::Snapshot(snapshot) => {
                self.record_snapshot(snapshot.meta.index, snapshot.data.len());
                self.replica.snapshot_taken(now, snapshot, &mut self.effects);
            }
            Written::Failed(error) => self.exit = Some(DriverExit::Failed(error.into())),
        }
    }

    /// Processes effects and leader outputs until none are left or the turn's time is used up; the rest is
    /// left to the next turn.
    fn process_outputs(&mut self, now: u64, turn_ends: u64) {
        let mut budget = ApplyBudget { entries: MAX_APPLIED_PER_TURN, until: turn_ends };
        loop {
            self.send_messages();
            let is_drained = self.process_effects(now, &mut budget);
            self.flush_leader(now);
            self.record_worker_events();
            if self.leader_outputs.is_empty() && (self.effects.is_empty() || !is_drained) {
                return;
            }
            for output in std::mem::take(&mut self.leader_outputs) {
                self.execute(now, output);
            }
            if self.clock.now() >= turn_ends {
                // The leader processes the results of these outputs in a later turn.
                self.flush_due = self.next_flush;
                return self.send_messages();
            }
        }
    }

    fn send_messages(&mut self) {
        let own_id = self.replica.node().id();
        for (to, message) in self.replica.take_messages() {
            self.peers.send(to, wire::message_to_wire(own_id, to, message));
        }
    }

    /// Processes effects in order. The leader sees each applied entry before the next one is applied. Returns
    /// false if it stopped at an entry, either because this turn's budget is used up or because the leader is
    /// still being built.
    fn process_effects(&mut self, now: u64, budget: &mut ApplyBudget) -> bool {
        loop {
            let is_entry = matches!(self.effects.front(), Some(Effect::Committed(_)));
            if is_entry && (self.recovery.is_some() || budget.is_exhausted(self.clock.now())) {
                return false;
            }
            let Some(effect) = self.effects.pop_front() else {
                return true;
            };
            match effect {
                Effect::Committed(entry) => {
                    budget.entries -= 1;
                    if let Some((batch, changes)) = self.replica.apply(entry) {
                        self.record_applied(now, &changes);
                        self.notify_leader(now, Input::BatchApplied { changes, batch });
                    }
                }
                Effect::Restore(snapshot) => {
                    if let Err(error) = self.replica.restore(&snapshot) {
                        self.exit = Some(DriverExit::Failed(error));
                        return true;
                    }
                }
                Effect::ProposalDropped => {
                    self.metrics.proposal_dropped();
                    self.notify_leader(now, Input::ProposalDropped);
                }
                Effect::BecameLeader { term } => self.become_leader(now, term),
                Effect::SteppedDown => {
                    self.record_step_down(now);
                    self.step_down();
                }
                Effect::LeaderChanged => {
                    self.record_leader_change();
                    self.announce_leader();
                }
                Effect::MembershipChanged => {
                    self.record_membership_change();
                    self.connect_to_members();
                    self.update_relays(now);
                }
                Effect::Removed => self.exit = Some(DriverExit::Removed),
            }
        }
    }

    /// Proposes a batch to the replicated log, as one entry or, if it is large, as several.
    pub(crate) fn propose(&mut self, now: u64, batch: messages::job::CommandBatch) {
        for payload in log_records::batch_payloads(batch) {
            self.metrics.proposed(now);
            self.replica.propose(now, payload, &mut self.effects);
        }
    }

    /// Connects to the current members and the seeds; to all contacts while this process is not a member.
    ///
    /// Seeds are connected even if they are not members: a seed that has never been a member may know only
    /// the other seeds, and no member may know it.
    fn connect_to_members(&mut self) {
        let node = self.replica.node();
        let contacts =
            if node.is_member() { self.group_join.seeds().to_vec() } else { self.group_join.contacts() };
        self.peers.set_members(node.membership(), &contacts);
        self.announce_leader();
    }

    /// Reads the settings file again and applies the changes. Nothing changes if the file cannot be read.
    fn reload_settings(&mut self) {
        match settings_file::read(&self.settings_path) {
            Ok(settings) if settings == self.settings => {}
            Ok(settings) => {
                let seeds = identity::seed_addresses(&settings);
                let seeds_changed = seeds != self.group_join.seeds();
                self.group_join.set_seeds(seeds);
                self.founding.set_seeds(identity::founding_addresses(&settings));
                let address = settings.cloud_api.as_ref().map(|platform| platform.address);
                self.platform.set_source(&settings.discovery, address);
                self.platform.set_rate(platform_rate(&settings));
                self.workers.set_max_connections(max_connections(&settings));
                self.settings = settings;
                if seeds_changed {
                    log::info!("the seeds have changed: connecting to them");
                    self.connect_to_members();
                }
            }
            Err(error) => log::error!("{error}"),
        }
    }
}

/// Rate limit of the platform's API in calls per second; 0 if the settings give none.
fn platform_rate(settings: &ProcessSettings) -> f64 {
    settings.cloud_api.as_ref().map_or(0.0, |platform| platform.rate_per_s)
}

fn max_connections(settings: &ProcessSettings) -> usize {
    max_worker_connections(settings.limits.max_file_descriptors)
}
