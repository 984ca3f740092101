//! Scripts of faults: drawn from a seed, replayed exactly, and shrunk to what a breach needs.

use fastrand::Rng;

use crate::history::{Machine, Span};
use crate::site::Site;
use crate::time::{ms, MS, SECOND};

/// A machine without power, and since when.
pub type DarkMachine = (Machine, Span);

/// Which core machine a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The one that leads.
    Leader,
    /// The one whose disk has lasted longest.
    Oldest,
    /// Any.
    Any,
}

/// Kinds of fault, in the bench's words where it has one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// `node_kill` on the core: SIGKILL, started again after a moment.
    CoreKill(Target),
    /// `node_kill` with `power`: without power for a while.
    CorePower(Target),
    /// `node_freeze`.
    CoreFreeze(Target),
    /// `core_cut`: partitioned from the other core machines.
    CorePartition(Target),
    /// `core_cut` with `one_way`: what it sends to other core machines is lost.
    CorePartitionOneWay(Target),
    /// `core_cut` with `refuse`: partitioned from the other core machines by a filter that refuses connections.
    CoreRefuse(Target),
    /// `core_cut` with `all`: partitioned from every machine and every worker.
    CoreIsolate(Target),
    /// `node_slow`: the process is frozen for most of the time.
    CoreSlow(Target),
    /// `roll_term`: SIGTERM, then started again.
    CoreTerm(Target),
    /// The disk is lost with the power.
    CoreWipe(Target),
    /// `replace_core`: gone for good, an empty one comes elsewhere.
    CoreReplace(Target),
    /// `replace_core` with `planned`: the empty one comes first, then SIGTERM.
    CoreReplacePlanned(Target),
    /// `herd_kill`: all core processes are killed and return within a second.
    AllCoresKill,
    /// `herd_kill` with `power`: all machines with a disk lose power for a while.
    AllCoresPower,
    /// `herd_kill` with `taken`: all machines with a disk lose power right after a job was accepted.
    AllCoresAfterAccept,
    /// `after_ack_kill`: the machine that next acknowledges to the operator loses power just after.
    AfterAckPower,
    /// `after_ack_wipe`: the same, and its disk is lost.
    AfterAckWipe,
    /// `after_ack_kill` with `taken`: the leader loses power just after a job was accepted.
    AfterAcceptPower,
    /// The leader loses power just after a worker learnt that ends are recorded.
    AfterRecordPower,
    /// `disk_slow`.
    DiskSlow(Target),
    /// `disk_stall`.
    DiskStall(Target),
    /// `disk_full`.
    DiskFull(Target),
    /// `clock_step`: the time of day of some machines jumps.
    ClockStep,
    /// `node_kill` of edges.
    EdgeKill,
    /// `node_freeze` of edges.
    EdgeFreeze,
    /// `herd_kill` with `power` of edges: more than half of them lose power for a while.
    EdgesLost,
    /// `node_cut` of edges.
    EdgePartition,
    /// `reset_conns`.
    ResetConnections,
    /// `srv_crash`, without power for a while.
    WorkerCrash,
    /// `srv_crash` with `gone`.
    WorkerGone,
    /// `srv_slow`.
    WorkerSlow,
    /// `srv_grey` with errors: all that is started there fails.
    WorkerFailing,
    /// `srv_grey` with hang: tasks stall.
    WorkerStalled,
    /// `srv_grey` with busy: calls are refused.
    WorkerBusy,
    /// `srv_grey` with mute: calls are carried out and not answered.
    WorkerMute,
    /// Calls are neither carried out nor answered.
    WorkerHang,
    /// `node_cut` of workers.
    WorkerPartition,
    /// `srv_cut`: workers are partitioned from the core.
    WorkerPartitionFromCore,
    /// `applied_late`.
    AppliedLate,
    /// `scale_in`.
    ScaleIn,
    /// `scale_in` with `spot`.
    ScaleInSpot,
    /// `config_change`.
    ConfigChange,
    /// `config_race`.
    ConfigRace,
    /// `bad_config`.
    BadConfig,
    /// `ack_lost`.
    AckLost,
    /// `burst`.
    Burst,
    /// `poison`.
    Poison,
    /// `give_up`: clients cancel many jobs.
    Cancels,
    /// `give_up`: clients leave early.
    GiveUp,
}

impl FaultKind {
    /// Every kind, targets left to chance.
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
    /// Changes that come on most days.
    const OPERATOR: [FaultKind; 6] = {
        use FaultKind::*;
        [ConfigChange, ConfigRace, BadConfig, AckLost, Poison, GiveUp]
    };

    /// Whether a core machine counts as lost meanwhile.
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

    /// Whether it partitions a core machine, which may take long.
    fn partitions_core(self) -> bool {
        use FaultKind::*;
        matches!(self, CorePartition(_) | CorePartitionOneWay(_) | CoreRefuse(_) | CoreIsolate(_))
    }

    /// How long after its beginning at the latest workers that it affects are out of the core's reach; `None`: they stay in
    /// reach.
    pub fn hides_worker_after(self) -> Option<u64> {
        use FaultKind::*;
        match self {
            WorkerCrash | WorkerGone | WorkerPartition | WorkerPartitionFromCore | WorkerHang => Some(0),
            ScaleInSpot => Some(2 * SECOND),
            _ => None,
        }
    }

    /// Which core machine it affects.
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

/// One fault of a day.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InjectedFault {
    /// When it begins.
    pub at: u64,
    /// How long it lasts.
    pub lasts: u64,
    /// What it is.
    pub kind: FaultKind,
    /// Chooses whom it affects.
    pub pick: u64,
}

/// What is injected at the end, right after an acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    /// `power_off_all`.
    PowerOffAll,
    /// `wipe_after_ack`.
    WipeAfterAck,
    /// `kill_all`.
    KillAll,
}

/// The faults of a day.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// Draws jobs, delays and all else that is left to chance.
    pub seed: u64,
    /// The faults in order.
    pub faults: Vec<InjectedFault>,
    /// A final fault.
    pub closing: Option<Closing>,
}

/// Most faults of a drawn day.
const MAX_FAULTS: usize = 7;
/// Faults of a harsh day.
const HARSH_FAULTS: std::ops::RangeInclusive<usize> = 8..=16;
/// Longest fault, but for partitions of core machines.
const LONGEST: u64 = 9 * SECOND;
/// Longest partition of a core machine.
const LONGEST_CORE_PARTITION: u64 = 20 * SECOND;
/// Changes of the operator on a drawn day.
const MAX_CHANGES: usize = 4;

impl Script {
    /// A day without faults.
    pub fn calm(seed: u64) -> Script {
        Script { seed, faults: Vec::new(), closing: None }
    }

    /// A day drawn from its seed.
    pub fn draw(site: &Site, seed: u64) -> Script {
        Script::draw_with(site, seed, 1..=MAX_FAULTS)
    }

    /// A day drawn from its seed on which many faults overlap.
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
            let kind = FaultKind::OPERATOR[rng.usize(0..FaultKind::OPERATOR.len())];
            faults.push(draw_fault(site, kind, &mut rng));
        }
        faults.sort_by_key(|fault| fault.at);
        let closings = [Closing::PowerOffAll, Closing::WipeAfterAck, Closing::KillAll];
        let closing = (rng.u8(0..4) == 0).then(|| closings[rng.usize(0..closings.len())]);
        Script { seed, faults, closing }
    }

    /// Scripts that are a little less than this one, the smaller ones first.
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

    /// Leaves faults out for as long as the day still fails.
    pub fn shrink(&self, mut fails: impl FnMut(&Script) -> bool) -> Script {
        let mut smallest = self.clone();
        while let Some(script) = smallest.smaller().into_iter().find(|script| fails(script)) {
            smallest = script;
        }
        smallest
    }
}

fn draw_fault(site: &Site, kind: FaultKind, rng: &mut Rng) -> InjectedFault {
    let at = site.lead + rng.u64(0..site.length * 9 / 10);
    let longest = if kind.partitions_core() { LONGEST_CORE_PARTITION } else { LONGEST };
    let drawn = rng.u64(800..8_000);
    let stretch = if kind.partitions_core() { rng.u64(1..=4) } else { 1 };
    InjectedFault { at: at / MS * MS, lasts: ms(drawn * stretch).min(longest), kind, pick: rng.u64(..) }
}
