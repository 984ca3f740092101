//! Choice of the workers for a gang: all of its members are placed at once, or none.

use super::fleet::Fleet;
use super::matching::{Demand, Matcher, SIMILAR_QUALITY_RATIO};
use super::slot::{Slot, Symbol, WorkerKey};
use std::cmp::Ordering;

/// Workers of lower quality are used only if the gang does not fit otherwise, because a gang runs only as
/// fast as its slowest member.
const MIN_GANG_QUALITY: f64 = 0.5;
/// Most members that one worker takes, whatever they need. This bounds the memory that a call uses.
const MAX_MEMBERS_PER_WORKER: u64 = 4096;

/// The rack by which workers are grouped. A worker whose rack is unknown is a group of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RackGroup {
    Known(Symbol),
    Unknown(WorkerKey),
}

/// A worker with capacity for at least one member of the gang.
#[derive(Clone, Copy, Debug)]
struct Host {
    key: WorkerKey,
    rack: RackGroup,
    members: u64,
    quality: f64,
    in_affinity_rack: bool,
}

/// The hosts of one rack, sorted from best to worst.
struct Rack<'a> {
    hosts: &'a [Host],
    members: u64,
    in_affinity_rack: bool,
}

impl Fleet {
    /// Chooses the workers for all `count` members of a gang; a worker appears once for each member that it
    /// gets. Returns `None` if there is no capacity for the entire gang now.
    ///
    /// The gang stays within one rack if its members must share a rack; otherwise it is spread over few
    /// racks, starting with the rack of its data.
    pub fn place_gang(&self, demand: &Demand, count: usize) -> Option<Vec<WorkerKey>> {
        self.place_gang_matching(&Matcher::new(self, demand)?, count)
    }

    /// Like [`Fleet::place_gang`], but considers ejected workers too.
    pub fn place_gang_as_last_resort(&self, demand: &Demand, count: usize) -> Option<Vec<WorkerKey>> {
        self.place_gang_matching(&Matcher::new(self, demand)?.including_ejected(), count)
    }

    fn place_gang_matching(&self, matcher: &Matcher, count: usize) -> Option<Vec<WorkerKey>> {
        let demand = matcher.demand;
        let members = |slot: &Slot| match matcher.may_start(slot) {
            true => demand.need.times_in(slot.free(), matcher.anti_affinity_headroom(slot)),
            false => 0,
        };
        let candidates = self
            .free_index_for(matcher)
            .map_or(&[][..], |free_index| free_index.fewest_candidates(demand.need));
        let slots = candidates.iter().map(|(_, position)| self.examine_slot(*position));
        let hosts = hosts(matcher, slots, members);
        let fast_enough: Vec<Host> =
            hosts.iter().copied().filter(|host| host.quality >= MIN_GANG_QUALITY).collect();
        place_on_hosts(&fast_enough, demand.rack_local, count)
            .or_else(|| place_on_hosts(&hosts, demand.rack_local, count))
    }

    /// Whether a gang of `count` members would fit if nothing were reserved. Workers that may not take
    /// starts at the moment are considered too.
    pub fn could_ever_fit_gang(&self, demand: &Demand, count: usize) -> bool {
        let Some(matcher) = Matcher::new(self, demand) else { return false };
        let limit = demand.anti_affinity.map_or(u64::MAX, u64::from);
        let slots = self.examine(|block| demand.need.fits_in(block.largest));
        let hosts = hosts(&matcher, slots, |slot| demand.need.times_in(slot.capacity, limit));
        place_on_hosts(&hosts, demand.rack_local, count).is_some()
    }

    /// Whether a gang of `count` members would fit if nothing were reserved, on workers that may take
    /// starts and are not ejected.
    pub fn may_fit_gang(&self, demand: &Demand, count: usize) -> bool {
        let Some(matcher) = Matcher::new(self, demand) else { return false };
        let limit = demand.anti_affinity.map_or(u64::MAX, u64::from);
        let members = |slot: &Slot| match matcher.may_start(slot) {
            true => demand.need.times_in(slot.capacity, limit),
            false => 0,
        };
        let slots = self.examine(|block| matcher.block_may_fit_when_empty(block));
        let hosts = hosts(&matcher, slots, members);
        place_on_hosts(&hosts, demand.rack_local, count).is_some()
    }
}

/// The workers among `slots` with capacity for members, grouped by rack and sorted from best to worst
/// within each rack.
fn hosts<'a>(
    matcher: &Matcher,
    slots: impl Iterator<Item = &'a Slot>,
    members: impl Fn(&Slot) -> u64,
) -> Vec<Host> {
    let host = |slot: &Slot| Host {
        key: slot.key,
        rack: slot.rack.map_or(RackGroup::Unknown(slot.key), RackGroup::Known),
        members: members(slot).min(MAX_MEMBERS_PER_WORKER),
        quality: matcher.quality(slot),
        in_affinity_rack: matcher.in_affinity_rack(slot),
    };
    let allowed = slots.filter(|slot| matcher.satisfies_constraints(slot)).map(host);
    let mut hosts: Vec<Host> = allowed.filter(|host| host.members > 0).collect();
    hosts.sort_unstable_by(by_rack_and_quality);
    hosts
}

/// Orders hosts by rack. Within a rack, hosts of higher quality come first, then hosts with capacity for
/// more members, so that fewer workers are used.
fn by_rack_and_quality(a: &Host, b: &Host) -> Ordering {
    let quality = b.quality.total_cmp(&a.quality);
    let members = b.members.cmp(&a.members);
    a.rack.cmp(&b.rack).then(quality).then(members).then(a.key.cmp(&b.key))
}

/// Places a gang on hosts that are sorted by rack.
fn place_on_hosts(hosts: &[Host], rack_local: bool, count: usize) -> Option<Vec<WorkerKey>> {
    if count == 0 {
        return Some(Vec::new());
    }
    let mut racks: Vec<Rack> = hosts.chunk_by(|a, b| a.rack == b.rack).map(rack).collect();
    let large_enough = racks.iter().filter(|rack| rack.members >= count as u64);
    if let Some(rack) = large_enough.reduce(|best, rack| better_rack(best, rack, count)) {
        return assign_members([rack].into_iter(), count);
    }
    let capacity = racks.iter().fold(0_u64, |sum, rack| sum.saturating_add(rack.members));
    if rack_local || capacity < count as u64 {
        return None;
    }
    racks.sort_by(|a, b| b.in_affinity_rack.cmp(&a.in_affinity_rack).then(b.members.cmp(&a.members)));
    assign_members(racks.iter(), count)
}

fn rack(hosts: &[Host]) -> Rack<'_> {
    let members = hosts.iter().fold(0_u64, |sum, host| sum.saturating_add(host.members));
    Rack { hosts, members, in_affinity_rack: hosts.iter().any(|host| host.in_affinity_rack) }
}

/// Chooses between two racks with capacity for the entire gang: the one where the slowest member is clearly
/// faster, otherwise the one with less capacity, so that racks with much free capacity stay free.
fn better_rack<'a, 'b>(a: &'a Rack<'b>, b: &'a Rack<'b>, count: usize) -> &'a Rack<'b> {
    let (quality_a, quality_b) = (slowest_quality(a, count), slowest_quality(b, count));
    if quality_b < SIMILAR_QUALITY_RATIO * quality_a {
        a
    } else if quality_a < SIMILAR_QUALITY_RATIO * quality_b || b.members < a.members {
        b
    } else {
        a
    }
}

/// The lowest quality among the hosts that the gang would use in this rack.
fn slowest_quality(rack: &Rack, count: usize) -> f64 {
    let mut missing = count as u64;
    let mut lowest = f64::INFINITY;
    for host in rack.hosts {
        if missing == 0 {
            break;
        }
        lowest = lowest.min(host.quality);
        missing = missing.saturating_sub(host.members);
    }
    lowest
}

/// Assigns members to the hosts of the racks, in order, until all members are placed.
fn assign_members<'a, 'b: 'a>(
    racks: impl Iterator<Item = &'a Rack<'b>>,
    count: usize,
) -> Option<Vec<WorkerKey>> {
    let mut members = Vec::with_capacity(count);
    for host in racks.flat_map(|rack| rack.hosts) {
        let missing = count - members.len();
        let taken = usize::try_from(host.members).map_or(missing, |members| members.min(missing));
        members.extend(std::iter::repeat_n(host.key, taken));
    }
    (members.len() == count).then_some(members)
}
