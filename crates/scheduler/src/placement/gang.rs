//! The workers for a gang: all of its members at once, or none.

use super::fleet::Fleet;
use super::matching::{Demand, Matcher, LIKE_QUALITY};
use super::slot::{Slot, Symbol, WorkerKey};
use std::cmp::Ordering;

/// A gang runs as slowly as its slowest member: workers of a lower quality are used only where it fits
/// nowhere else.
const MIN_GANG_QUALITY: f64 = 0.5;
/// Members that one worker takes at most, whatever they need: bounds the memory that a call uses.
const MAX_MEMBERS_PER_WORKER: u64 = 4096;

/// The rack by which workers are grouped; a worker whose rack isn't known is a group of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RackGroup {
    Known(Symbol),
    Alone(WorkerKey),
}

/// A worker with capacity for members.
#[derive(Clone, Copy, Debug)]
struct Host {
    key: WorkerKey,
    rack: RackGroup,
    members: u64,
    quality: f64,
    near: bool,
}

/// The hosts of one rack, best first.
struct Rack<'a> {
    hosts: &'a [Host],
    members: u64,
    near: bool,
}

impl Fleet {
    /// The workers for all `count` members of a gang, each worker as often as it gets members: within one
    /// rack if the gang must share one, else in few racks, that of the data first. None if they don't fit
    /// together.
    pub fn place_gang(&self, demand: &Demand, count: usize) -> Option<Vec<WorkerKey>> {
        self.place_gang_by(&Matcher::new(self, demand)?, count)
    }

    /// As [`Fleet::place_gang`], but on ejected workers as well.
    pub fn place_gang_as_last_resort(&self, demand: &Demand, count: usize) -> Option<Vec<WorkerKey>> {
        self.place_gang_by(&Matcher::new(self, demand)?.including_ejected(), count)
    }

    fn place_gang_by(&self, matcher: &Matcher, count: usize) -> Option<Vec<WorkerKey>> {
        let demand = matcher.demand;
        let members = |slot: &Slot| match matcher.may_start(slot) {
            true => demand.need.times_in(slot.free(), matcher.tasks_left(slot)),
            false => 0,
        };
        let candidates = self.orders_for(matcher).map_or(&[][..], |orders| orders.fewest_with(demand.need));
        let slots = candidates.iter().map(|(_, position)| self.examine_position(*position));
        let hosts = hosts(matcher, slots, members);
        let fast_enough: Vec<Host> =
            hosts.iter().copied().filter(|host| host.quality >= MIN_GANG_QUALITY).collect();
        place(&fast_enough, demand.rack_local, count).or_else(|| place(&hosts, demand.rack_local, count))
    }

    /// Whether a gang of `count` members would fit, were nothing reserved. Workers that may take no starts
    /// now count.
    pub fn could_ever_fit_gang(&self, demand: &Demand, count: usize) -> bool {
        let Some(matcher) = Matcher::new(self, demand) else { return false };
        let limit = demand.anti_affinity.map_or(u64::MAX, u64::from);
        let slots = self.examine(|block| demand.need.fits_in(block.largest));
        let hosts = hosts(&matcher, slots, |slot| demand.need.times_in(slot.capacity, limit));
        place(&hosts, demand.rack_local, count).is_some()
    }

    /// Whether a gang of `count` members would fit on workers that take starts and are not ejected, were nothing
    /// reserved there.
    pub fn may_fit_gang(&self, demand: &Demand, count: usize) -> bool {
        let Some(matcher) = Matcher::new(self, demand) else { return false };
        let limit = demand.anti_affinity.map_or(u64::MAX, u64::from);
        let members = |slot: &Slot| match matcher.may_start(slot) {
            true => demand.need.times_in(slot.capacity, limit),
            false => 0,
        };
        let slots = self.examine(|block| matcher.may_suit_in(block));
        let hosts = hosts(&matcher, slots, members);
        place(&hosts, demand.rack_local, count).is_some()
    }
}

/// The workers among these that have capacity for members, by racks, the best first within each.
fn hosts<'a>(
    matcher: &Matcher,
    slots: impl Iterator<Item = &'a Slot>,
    members: impl Fn(&Slot) -> u64,
) -> Vec<Host> {
    let host = |slot: &Slot| Host {
        key: slot.key,
        rack: slot.rack.map_or(RackGroup::Alone(slot.key), RackGroup::Known),
        members: members(slot).min(MAX_MEMBERS_PER_WORKER),
        quality: matcher.quality(slot),
        near: matcher.near(slot),
    };
    let allowed = slots.filter(|slot| matcher.allows(slot)).map(host);
    let mut hosts: Vec<Host> = allowed.filter(|host| host.members > 0).collect();
    hosts.sort_unstable_by(by_rack_and_quality);
    hosts
}

/// By racks; within one those of higher quality first, then those with capacity for more members, so that fewer workers are used.
fn by_rack_and_quality(a: &Host, b: &Host) -> Ordering {
    let quality = b.quality.total_cmp(&a.quality);
    let members = b.members.cmp(&a.members);
    a.rack.cmp(&b.rack).then(quality).then(members).then(a.key.cmp(&b.key))
}

/// Places a gang on hosts that are sorted by racks.
fn place(hosts: &[Host], rack_local: bool, count: usize) -> Option<Vec<WorkerKey>> {
    if count == 0 {
        return Some(Vec::new());
    }
    let mut racks: Vec<Rack> = hosts.chunk_by(|a, b| a.rack == b.rack).map(rack).collect();
    let large_enough = racks.iter().filter(|rack| rack.members >= count as u64);
    if let Some(rack) = large_enough.reduce(|best, rack| better(best, rack, count)) {
        return fill([rack].into_iter(), count);
    }
    let capacity = racks.iter().fold(0_u64, |sum, rack| sum.saturating_add(rack.members));
    if rack_local || capacity < count as u64 {
        return None;
    }
    racks.sort_by(|a, b| b.near.cmp(&a.near).then(b.members.cmp(&a.members)));
    fill(racks.iter(), count)
}

fn rack(hosts: &[Host]) -> Rack<'_> {
    let members = hosts.iter().fold(0_u64, |sum, host| sum.saturating_add(host.members));
    Rack { hosts, members, near: hosts.iter().any(|host| host.near) }
}

/// Of two racks with capacity for the entire gang, the one where its slowest member does clearly better, else the
/// one with less capacity, so that large holes stay free.
fn better<'a, 'b>(a: &'a Rack<'b>, b: &'a Rack<'b>, count: usize) -> &'a Rack<'b> {
    let (quality_a, quality_b) = (slowest(a, count), slowest(b, count));
    if quality_b < LIKE_QUALITY * quality_a {
        a
    } else if quality_a < LIKE_QUALITY * quality_b || b.members < a.members {
        b
    } else {
        a
    }
}

/// The least quality among the hosts that a gang in this rack takes.
fn slowest(rack: &Rack, count: usize) -> f64 {
    let mut missing = count as u64;
    let mut slowest = f64::INFINITY;
    for host in rack.hosts {
        if missing == 0 {
            break;
        }
        slowest = slowest.min(host.quality);
        missing = missing.saturating_sub(host.members);
    }
    slowest
}

/// Gives the racks' hosts members in their order until all are placed.
fn fill<'a, 'b: 'a>(racks: impl Iterator<Item = &'a Rack<'b>>, count: usize) -> Option<Vec<WorkerKey>> {
    let mut members = Vec::with_capacity(count);
    for host in racks.flat_map(|rack| rack.hosts) {
        let missing = count - members.len();
        let taken = usize::try_from(host.members).map_or(missing, |members| members.min(missing));
        members.extend(std::iter::repeat_n(host.key, taken));
    }
    (members.len() == count).then_some(members)
}
