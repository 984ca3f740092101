//! Requirements of a task, and how well a worker meets them.

use super::blocks::Block;
use super::fleet::Fleet;
use super::resources::Resources;
use super::slot::{Slot, Symbol, WorkerKey};
use crate::ids::StepKey;

/// Quality factor for a worker outside the rack of the task's data.
pub(super) const OFF_RACK_FACTOR: f64 = 0.5;
/// Quality factor for a worker to avoid: such a worker is chosen only if no other can take the task.
const AVOIDED_FACTOR: f64 = 1e-3;
/// Highest possible quality: a worker in the rack of the data, as fast as others of its kind, and all of
/// whose attempts are expected to succeed.
pub(super) const MAX_QUALITY: f64 = 1.0;
/// Qualities of at least this share of the best one count as equal to it.
pub(super) const SIMILAR_QUALITY_RATIO: f64 = 0.8;

/// Requirements of a task, or of each member of a gang.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Amount needed of each resource.
    pub need: Resources,
    /// Label that the worker must have.
    pub constraint: Option<&'a str>,
    /// Rack in which the task's data is stored.
    pub affinity: Option<&'a str>,
    /// Most tasks of the step on one worker.
    pub anti_affinity: Option<u32>,
    /// The task's step.
    pub step: StepKey,
    /// Whether all members of the gang must be in the same rack.
    pub rack_local: bool,
    /// Workers that are chosen only if no other can take the task, for example because the task failed
    /// there before.
    pub avoid: &'a [WorkerKey],
    /// Number of waiting tasks of the step that are to be packed on few workers, so that the loss of one
    /// worker affects few jobs. With 0, only the capacity left over decides.
    pub tasks_to_pack: u64,
}

/// A demand with its label and rack resolved to symbols of the fleet.
pub(super) struct Matcher<'a> {
    pub(super) demand: &'a Demand<'a>,
    constraint: Option<Symbol>,
    affinity: Option<Symbol>,
    /// Whether only workers in the rack of the data are allowed.
    affinity_rack_only: bool,
    /// Whether ejected workers are allowed too.
    including_ejected: bool,
}

impl<'a> Matcher<'a> {
    /// Resolves the label and rack of the demand; `None` if no worker has ever had the label.
    pub(super) fn new(fleet: &Fleet, demand: &'a Demand<'a>) -> Option<Self> {
        let constraint = match demand.constraint {
            Some(label) => Some(fleet.labels.find(label)?),
            None => None,
        };
        let affinity = demand.affinity.and_then(|rack| fleet.racks.find(rack));
        Some(Matcher { demand, constraint, affinity, affinity_rack_only: false, including_ejected: false })
    }

    /// Allows only workers in the rack of the data.
    pub(super) fn affinity_rack_only(self) -> Self {
        Matcher { affinity_rack_only: true, ..self }
    }

    /// The rack of the data, if the fleet has such a rack.
    pub(super) fn affinity(&self) -> Option<Symbol> {
        self.affinity
    }

    /// The requested label.
    pub(super) fn constraint(&self) -> Option<Symbol> {
        self.constraint
    }

    /// Whether only workers in the rack of the data are allowed and the fleet has such a rack.
    pub(super) fn is_limited_to_affinity_rack(&self) -> bool {
        self.affinity_rack_only && self.affinity.is_some()
    }

    /// Allows ejected workers too.
    pub(super) fn including_ejected(self) -> Self {
        Matcher { including_ejected: true, ..self }
    }

    /// Whether the worker may take starts; ejected workers may if they are allowed.
    pub(super) fn may_start(&self, slot: &Slot) -> bool {
        slot.usable || (self.including_ejected && slot.ejected)
    }

    /// Whether the worker may take the task if nothing is reserved on it. Anti-affinity is not checked.
    pub(super) fn fits_when_empty(&self, slot: &Slot) -> bool {
        self.may_start(slot) && self.satisfies_constraints(slot) && self.demand.need.fits_in(slot.capacity)
    }

    /// Whether the worker has the requested label and, if required, is in the rack of the data.
    pub(super) fn satisfies_constraints(&self, slot: &Slot) -> bool {
        (!self.affinity_rack_only || self.in_affinity_rack(slot))
            && self.constraint.is_none_or(|label| slot.labels.contains(&label))
    }

    /// Number of further tasks of the step that anti-affinity allows on the worker.
    pub(super) fn anti_affinity_headroom(&self, slot: &Slot) -> u64 {
        match self.demand.anti_affinity {
            Some(limit) => u64::from(limit.saturating_sub(slot.tasks_of(&self.demand.step))),
            None => u64::MAX,
        }
    }

    /// Number of the tasks to pack that the worker can take; `u64::MAX` if it already has tasks of the
    /// step.
    pub(super) fn packing_rank(&self, slot: &Slot) -> u64 {
        match self.demand.tasks_to_pack {
            0 => 0,
            _ if slot.tasks_of(&self.demand.step) > 0 => u64::MAX,
            limit => self.demand.need.times_in(slot.free(), limit.min(self.anti_affinity_headroom(slot))),
        }
    }

    /// Whether the worker can take the task now.
    pub(super) fn fits_now(&self, slot: &Slot) -> bool {
        slot.awaits_confirmations_since.is_none() && self.fits_apart_from_pending_starts(slot)
    }

    /// Whether the worker could take the task now if it had no starts to confirm.
    pub(super) fn fits_apart_from_pending_starts(&self, slot: &Slot) -> bool {
        let has_capacity = self.may_start(slot) && self.demand.need.fits_in(slot.free());
        has_capacity && self.satisfies_constraints(slot) && self.anti_affinity_headroom(slot) > 0
    }

    /// Whether the block may hold a worker for which `fits_when_empty` is true, as far as its upper bounds
    /// show.
    pub(super) fn block_may_fit_when_empty(&self, block: &Block) -> bool {
        let need = self.demand.need;
        need.fits_in(block.capacity) || (self.including_ejected && need.fits_in(block.ejected_capacity))
    }

    /// Whether the worker is in the rack of the data, or the fleet has no such rack.
    pub(super) fn in_affinity_rack(&self, slot: &Slot) -> bool {
        self.affinity.is_none() || slot.rack == self.affinity
    }

    /// How well the task is expected to run on the worker: the worker's own quality, reduced outside the
    /// rack of the data and for a worker to avoid.
    pub(super) fn quality(&self, slot: &Slot) -> f64 {
        let distance = if self.in_affinity_rack(slot) { 1.0 } else { OFF_RACK_FACTOR };
        let avoided = self.demand.avoid.contains(&slot.key);
        slot.quality * distance * if avoided { AVOIDED_FACTOR } else { 1.0 }
    }
}
