//! Fault scripts: drawn from a seed, replayed exactly, and shrunk to what a violation needs.

use fastrand::Rng;

use crate::history::{Machine, Span};
use crate::site::Site;
use crate::time::{ms, MS, SECOND};

/// A machine without power, and the span of the outage.
pub type PowerOutage = (Machine, Span);

/// The core machine that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The current leader.
    Leader,
    /// The machine whose disk has held its data for the longest time.
    Oldest,
    /// A random machine.
    Any,
}

/// Kinds of faults. A name in backquotes is the name of the corresponding fault in the benchmark.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// `node_kill` on the core: SIGKILL and a restart within a second.
    CoreKill(Target),
    /// `node_kill` with `power`: the machine loses power for a while.
    CorePower(Target),
    /// `node_freeze` on the core: the process is frozen.
    CoreFreeze(Target),
    /// `core_cut`: partitioned from the other core machines.
    CorePartition(Target),
    /// `core_cut` with `one_way`: bytes that the machine sends to other core machines do not arrive.
    CorePartitionOneWay(Target),
    /// `core_cut` with `refuse`: partitioned from the other core machines by a filter that refuses
    /// connections.
    CoreRefuse(Target),
    /// `core_cut` with `all`: partitioned from every machine and every worker.
    CoreIsolate(Target),
    /// `node_slow`: the process is frozen for most of the time.
    CoreSlow(Target),
    /// `roll_term`: SIGTERM and a restart.
    CoreTerm(Target),
    /// The machine loses power and its disk.
    CoreWipe(Target),
    /// `replace_core`: the machine is removed for good and an empty spare machine starts.
    CoreReplace(Target),
    /// `replace_core` with `planned`: the spare machine starts first, then the old machine gets SIGTERM.
    CoreReplacePlanned(Target),
    /// `herd_kill`: all core processes are killed and restart within a second.
    AllCoresKill,
    /// `herd_kill` with `power`: all core machines lose power for a while.
    AllCoresPower,
    /// `herd_kill` with `taken`: all core machines lose power right after a job was accepted.
    AllCoresAfterAccept,
    /// `after_ack_kill`: the machine that next acknowledges a configuration change loses power just after
    /// that.
    AfterAckPower,
    /// `after_ack_wipe`: as `after_ack_kill`, and the disk is lost.
    AfterAckWipe,
    /// `after_ack_kill` with `taken`: the leader loses power just after a job was accepted.
    AfterAcceptPower,
    /// The leader loses power just after a worker learned that its ends are recorded.
    AfterRecordPower,
    /// `disk_slow`: syncs of the disk take longer.
    DiskSlow(Target),
    /// `disk_stall`: the disk finishes no write.
    DiskStall(Target),
    /// `disk_full`: the disk accepts no more data.
    DiskFull(Target),
    /// `clock_step`: the wall clock of a machine jumps.
    ClockStep,
    /// `node_kill` on an edge: its process is killed and restarts within a second.
    EdgeKill,
    /// `node_freeze` on an edge: its process is frozen.
    EdgeFreeze,
    /// `herd_kill` with `power` on edges: more than half of them lose power for a while.
    EdgesLost,
    /// `node_cut` on an edge: it is partitioned from all machines.
    EdgePartition,
    /// `reset_conns`: a part of the connections between edges and the core break.
    ResetConnections,
    /// `srv_crash`: the worker loses power for a while.
    WorkerCrash,
    /// `srv_crash` with `gone`: the worker does not come back.
    WorkerGone,
    /// `srv_slow`: tasks take longer.
    WorkerSlow,
    /// `srv_grey` with errors: every run that starts there fails.
    WorkerFailing,
    /// `srv_grey` with hang: runs make no progress.
    WorkerStalled,
    /// `srv_grey` with busy: calls are refused.
    WorkerBusy,
    /// `srv_grey` with mute: calls are carried out but not answered.
    WorkerMute,
    /// Calls are neither carried out nor answered.
    WorkerHang,
    /// `node_cut` on workers: they are partitioned from all machines and workers.
    WorkerPartition,
    /// `srv_cut`: workers are partitioned from the core machines.
    WorkerPartitionFromCore,
    /// `applied_late`: workers carry out some orders late.
    AppliedLate,
    /// `scale_in`: workers are drained and removed.
    ScaleIn,
    /// `scale_in` with `spot`: the same at short notice.
    ScaleInSpot,
    /// `config_change`: the operator changes the configuration.
    ConfigChange,
    /// `config_race`: the operator sends two concurrent changes.
    ConfigRace,
    /// `bad_config`: the operator sends an invalid configuration.
    BadConfig,
    /// `ack_lost`: acknowledgements to the operator are lost.
    AckLost,
    /// `burst`: additional jobs arrive for some seconds.
    Burst,
    /// `poison`: a burst in which half of the jobs can never complete.
    Poison,
    /// `give_up`: clients cancel many jobs.
    Cancels,
    /// `give_up`: clients stop waiting early.
    GiveUp,
    /// `give_up` with cancels: clients stop waiting early, do not submit again and cancel the job. Drawn days
    /// do not choose it.
    GiveUpAndCancel,
}

impl FaultKind {
    /// The faults that a drawn day chooses from.
    pub const ALL: [FaultKind; 50] = {
        use FaultKind::*;
        use Target::{Any, Leader, Oldest};
        [
            CoreKill(Leader),
            CoreKill(Any),
            CorePower(Leader),
            CorePower(Any),
            CoreFreeze(Leader),
            CoreFreeze(Any),
            CorePartition(Leader),
            CorePartitionOneWay(Leader),
            CorePartitionOneWay(Any),
            CoreRefuse(Leader),
            CoreRefuse(Any),
            CoreIsolate(Leader),
            CoreIsolate(Any),
            CoreSlow(Leader),
            CoreSlow(Any),
            CoreTerm(Leader),
            CoreWipe(Any),
            CoreWipe(Oldest),
            CoreReplace(Any),
            CoreReplacePlanned(Leader),
            AllCoresKill,
            AllCoresPower,
            AllCoresAfterAccept,
            AfterAckPower,
            AfterAckWipe,
            AfterAcceptPower,
            AfterRecordPower,
            DiskSlow(Any),
            DiskStall(Leader),
            DiskFull(Any),
            ClockStep,
            EdgeKill,
            EdgeFreeze,
            EdgePartition,
            ResetConnections,
            WorkerCrash,
            WorkerGone,
            WorkerSlow,
            WorkerFailing,
            WorkerStalled,
            WorkerBusy,
            WorkerMute,
            WorkerHang,
            WorkerPartition,
            WorkerPartitionFromCore,
            AppliedLate,
            ScaleIn,
            ScaleInSpot,
            Burst,
            Cancels,
        ]
    };
    /// The faults by operator and clients that most days have in addition.
    const ADDITIONAL: [FaultKind; 6] = {
        use FaultKind::*;
        [ConfigChange, ConfigRace, BadConfig, AckLost, Poison, GiveUp]
    };

    /// Whether a core machine counts as lost during the fault.
    pub fn loses_core(self) -> bool {
        use FaultKind::*;
        matches!(
            self,
            CoreKill(_)
                | CorePower(_)
                | CoreFreeze(_)
                | CorePartition(_)
                | CorePartitionOneWay(_)
                | CoreRefuse(_)
                | CoreIsolate(_)
                | CoreSlow(_)
                | CoreTerm(_)
                | CoreWipe(_)
                | CoreReplace(_)
                | CoreReplacePlanned(_)
                | AfterAckPower
                | AfterAckWipe
                | AfterAcceptPower
                | AfterRecordPower
                | DiskSlow(_)
                | DiskStall(_)
                | DiskFull(_)
        )
    }

    /// Whether the fault partitions a core machine. Such faults may last longer.
    fn partitions_core(self) -> bool {
        use FaultKind::*;
        matches!(self, CorePartition(_) | CorePartitionOneWay(_) | CoreRefuse(_) | CoreIsolate(_))
    }

    /// Latest time after the beginning of the fault, in nanoseconds, at which affected workers are
    /// unreachable from the core; `None` if they stay reachable.
    pub fn makes_worker_unreachable_after(self) -> Option<u64> {
        use FaultKind::*;
        match self {
            WorkerCrash | WorkerGone | WorkerPartition | WorkerPartitionFromCore | WorkerHang => Some(0),
            ScaleInSpot => Some(2 * SECOND),
            _ => None,
        }
    }

    /// The core machine that the fault affects.
    pub fn target(self) -> Target {
        use FaultKind::*;
        match self {
            CoreKill(target)
            | CorePower(target)
            | CoreFreeze(target)
            | CorePartition(target)
            | CorePartitionOneWay(target)
            | CoreRefuse(target)
            | CoreIsolate(target)
            | CoreSlow(target)
            | CoreTerm(target)
            | CoreWipe(target)
            | CoreReplace(target)
            | CoreReplacePlanned(target)
            | DiskSlow(target)
            | DiskStall(target)
            | DiskFull(target) => target,
            AfterAckPower | AfterAckWipe | AfterAcceptPower | AfterRecordPower => Target::Leader,
            _ => Target::Any,
        }
    }
}

/// A fault of a day.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InjectedFault {
    /// When the fault begins.
    pub at: u64,
    /// How long the fault lasts, in nanoseconds.
    pub lasts: u64,
    /// The kind of fault.
    pub kind: FaultKind,
    /// A random number that selects the affected machines or workers and other details.
    pub pick: u64,
}

/// The final fault of a day, injected right after an acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    /// `power_off_all`: all machines lose power.
    PowerOffAll,
    /// `wipe_after_ack`: the acknowledging machine loses power and its disk.
    WipeAfterAck,
    /// `kill_all`: all processes are killed.
    KillAll,
}

/// The faults of a day.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// Seed of all random choices of the day.
    pub seed: u64,
    /// The faults in the order of their beginnings.
    pub faults: Vec<InjectedFault>,
    /// The final fault, if any.
    pub closing: Option<Closing>,
}

/// Maximum number of faults of a normal drawn day.
const MAX_FAULTS: usize = 7;
/// Number of faults of a harsh day.
const HARSH_FAULTS: std::ops::RangeInclusive<usize> = 8..=16;
/// Longest fault in nanoseconds, apart from partitions of core machines.
const MAX_FAULT_NS: u64 = 9 * SECOND;
/// Longest partition of a core machine, in nanoseconds.
const MAX_CORE_PARTITION_NS: u64 = 20 * SECOND;
/// Maximum number of `ADDITIONAL` faults of a drawn day.
const MAX_CHANGES: usize = 4;

impl Script {
    /// A day without faults.
    pub fn calm(seed: u64) -> Script {
        Script { seed, faults: Vec::new(), closing: None }
    }

    /// Draws a day from its seed.
    pub fn draw(site: &Site, seed: u64) -> Script {
        Script::draw_with(site, seed, 1..=MAX_FAULTS)
    }

    /// Draws a day with many overlapping faults from its seed.
    pub fn draw_harsh(site: &Site, seed: u64) -> Script {
        Script::draw_with(site, seed, HARSH_FAULTS)
    }

    fn draw_with(site: &Site, seed: u64, count: std::ops::RangeInclusive<usize>) -> Script {
        let mut rng = Rng::with_seed(seed ^ 0x005e_ed0f_7a0b);
        let mut faults = Vec::new();
        for _ in 0..rng.usize(count) {
            let kind = FaultKind::ALL[rng.usize(0..FaultKind::ALL.len())];
            faults.push(draw_fault(site, kind, &mut rng));
        }
        for _ in 0..rng.usize(0..=MAX_CHANGES) {
            let kind = FaultKind::ADDITIONAL[rng.usize(0..FaultKind::ADDITIONAL.len())];
            faults.push(draw_fault(site, kind, &mut rng));
        }
        faults.sort_by_key(|fault| fault.at);
        let closings = [Closing::PowerOffAll, Closing::WipeAfterAck, Closing::KillAll];
        let closing = (rng.u8(0..4) == 0).then(|| closings[rng.usize(0..closings.len())]);
        Script { seed, faults, closing }
    }

    /// Scripts with fewer faults than this one, the smallest first.
    fn smaller(&self) -> Vec<Script> {
        let mut scripts = Vec::new();
        let half = self.faults.len() / 2;
        if half > 0 {
            scripts.push(Script { faults: self.faults[..half].to_vec(), ..self.clone() });
            scripts.push(Script { faults: self.faults[half..].to_vec(), ..self.clone() });
        }
        for left_out in 0..self.faults.len() {
            let mut script = self.clone();
            script.faults.remove(left_out);
            scripts.push(script);
        }
        if self.closing.is_some() {
            scripts.push(Script { closing: None, ..self.clone() });
        }
        scripts
    }

    /// Removes faults for as long as the day still fails.
    pub fn shrink(&self, mut fails: impl FnMut(&Script) -> bool) -> Script {
        let mut smallest = self.clone();
        while let Some(script) = smallest.smaller().into_iter().find(|script| fails(script)) {
            smallest = script;
        }
        smallest
    }
}

fn draw_fault(site: &Site, kind: FaultKind, rng: &mut Rng) -> InjectedFault {
    let at = site.traffic_start + rng.u64(0..site.traffic_length * 9 / 10);
    let longest = if kind.partitions_core() { MAX_CORE_PARTITION_NS } else { MAX_FAULT_NS };
    let drawn = rng.u64(800..8_000);
    let stretch = if kind.partitions_core() { rng.u64(1..=4) } else { 1 };
    InjectedFault { at: at / MS * MS, lasts: ms(drawn * stretch).min(longest), kind, pick: rng.u64(..) }
}
