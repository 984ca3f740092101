//! The network links between gateways, servers and the server list that a fault affects.
//!
//! Example: `zone a except n3 -> zone b` affects traffic from gateways and servers of zone a, except gateway
//! n3, to those of zone b. The arrow gives the affected direction; `<->` affects both. A side is a
//! comma-separated list of `all`, `gateways`, `servers`, `list`, `zone NAME`, `30% of gateways`, a gateway
//! (`n0`) or a server (`s-0`). After `except` follows a list of exceptions in the same form.

use crate::scenario::{Fault, Scenario};
use rand::seq::SliceRandom;
use rand::Rng;

/// One entry of a side.
#[derive(Clone, Debug, PartialEq)]
enum Term {
    All,
    Gateways,
    Servers,
    List,
    Zone(usize),
    /// A share of the gateways, drawn at random.
    GatewayShare(f64),
    Gateway(usize),
    Server(usize),
}

/// One side of a link.
#[derive(Clone, Debug, PartialEq)]
struct Side {
    include: Vec<Term>,
    except: Vec<Term>,
}

/// The links between two sides, as a scenario describes them.
#[derive(Clone, Debug, PartialEq)]
pub struct Link {
    from: Side,
    to: Side,
    both: bool,
}

impl Link {
    /// Parses the link that a fault affects; `None` if the fault names neither a link nor a zone.
    pub fn of(fault: &Fault, scenario: &Scenario) -> Option<Result<Self, String>> {
        let words = match (&fault.link, &fault.zone) {
            (Some(words), _) => words.clone(),
            (None, Some(zone)) => format!("zone {zone} <-> servers, gateways except zone {zone}"),
            (None, None) => return None,
        };
        Some(Link::parse(&words, scenario))
    }

    /// Parses a link.
    ///
    /// # Errors
    ///
    /// If the arrow is missing, or a side names something that the scenario does not have.
    pub fn parse(words: &str, scenario: &Scenario) -> Result<Self, String> {
        // `<->` comes first because it contains the other arrows.
        let arrows = [("<->", true, false), ("->", false, false), ("<-", false, true)];
        let found = arrows.iter().find_map(|(arrow, both, back)| {
            words.split_once(arrow).map(|(left, right)| (left, right, *both, *back))
        });
        let Some((left, right, both, back)) = found else {
            return Err(format!("{words:?} has no arrow: ->, <- or <-> is wanted"));
        };
        let (left, right) = (Side::parse(left, scenario)?, Side::parse(right, scenario)?);
        let (from, to) = if back { (right, left) } else { (left, right) };
        Ok(Link { from, to, both })
    }

    /// Determines the affected links for one play; gateways of a share are drawn at random.
    pub fn resolve(&self, scenario: &Scenario, rng: &mut impl Rng) -> AffectedLinks {
        AffectedLinks {
            from: self.from.draw(scenario, rng),
            to: self.to.draw(scenario, rng),
            both: self.both,
        }
    }
}

impl Side {
    fn parse(words: &str, scenario: &Scenario) -> Result<Self, String> {
        let (include, except) = match words.split_once(" except ") {
            Some((include, except)) => (include, terms(except, scenario)?),
            None => (words, Vec::new()),
        };
        Ok(Side { include: terms(include, scenario)?, except })
    }

    fn draw(&self, scenario: &Scenario, rng: &mut impl Rng) -> Members {
        let mut members = Members::none(scenario);
        self.include.iter().for_each(|term| members.set(term, scenario, true, rng));
        self.except.iter().for_each(|term| members.set(term, scenario, false, rng));
        members
    }
}

fn terms(words: &str, scenario: &Scenario) -> Result<Vec<Term>, String> {
    words.split(',').map(|word| term(word.trim(), scenario)).collect()
}

fn term(word: &str, scenario: &Scenario) -> Result<Term, String> {
    let parse_index = |text: &str, count: u32, what: &str| match text.parse::<usize>() {
        Ok(n) if n < count as usize => Ok(n),
        _ => Err(format!("{word:?}: {what} up to {} are there", count - 1)),
    };
    Ok(match word {
        "all" => Term::All,
        "gateways" => Term::Gateways,
        "servers" => Term::Servers,
        "list" => Term::List,
        _ => {
            if let Some(name) = word.strip_prefix("zone ") {
                let zone = scenario.zones.iter().position(|zone| zone == name.trim());
                let zones = || format!("{word:?}: a zone of {} is wanted", scenario.zones.join(", "));
                Term::Zone(zone.ok_or_else(zones)?)
            } else if let Some(share) = word.strip_suffix("% of gateways") {
                let share = share.trim().parse::<f64>().ok().filter(|p| (0.0..=100.0).contains(p));
                Term::GatewayShare(share.ok_or_else(|| format!("{word:?}: 0 to 100 % are wanted"))? / 100.0)
            } else if let Some(n) = word.strip_prefix("s-") {
                Term::Server(parse_index(n, scenario.servers.count, "servers s-0")?)
            } else if let Some(n) = word.strip_prefix('n') {
                Term::Gateway(parse_index(n, scenario.gateways.count, "gateways n0")?)
            } else {
                return Err(format!("{word:?} is neither a zone, a gateway, a server nor the list"));
            }
        }
    })
}

/// The gateways, servers and list that belong to a side.
#[derive(Clone, Debug)]
struct Members {
    gateways: Vec<bool>,
    servers: Vec<bool>,
    list: bool,
}

impl Members {
    fn none(scenario: &Scenario) -> Self {
        Members {
            gateways: vec![false; scenario.gateways.count as usize],
            servers: vec![false; scenario.servers.count as usize],
            list: false,
        }
    }

    fn set(&mut self, term: &Term, scenario: &Scenario, on: bool, rng: &mut impl Rng) {
        match term {
            Term::All => {
                self.gateways.fill(on);
                self.servers.fill(on);
                self.list = on;
            }
            Term::Gateways => self.gateways.fill(on),
            Term::Servers => self.servers.fill(on),
            Term::List => self.list = on,
            Term::Zone(zone) => {
                let gateways = self.gateways.iter_mut().enumerate();
                gateways.filter(|(n, _)| scenario.zone_of_gateway(*n) == *zone).for_each(|(_, g)| *g = on);
                let servers = self.servers.iter_mut().enumerate();
                servers.filter(|(n, _)| scenario.zone_of_server(*n) == *zone).for_each(|(_, s)| *s = on);
            }
            Term::GatewayShare(share) => {
                let mut chosen: Vec<usize> = (0..self.gateways.len()).collect();
                chosen.shuffle(rng);
                chosen.truncate((chosen.len() as f64 * share).round() as usize);
                chosen.into_iter().for_each(|n| self.gateways[n] = on);
            }
            Term::Gateway(n) => self.gateways[*n] = on,
            Term::Server(n) => self.servers[*n] = on,
        }
    }
}

/// The links that a fault affects in one play.
#[derive(Clone, Debug)]
pub struct AffectedLinks {
    from: Members,
    to: Members,
    both: bool,
}

impl AffectedLinks {
    /// Returns whether traffic from a gateway to the other end is affected, or back if not `outbound`.
    fn affects(&self, gateway: usize, outbound: bool, other: impl Fn(&Members) -> bool) -> bool {
        let forward = self.from.gateways[gateway] && other(&self.to);
        let backward = other(&self.from) && self.to.gateways[gateway];
        match outbound {
            true => forward || self.both && backward,
            false => backward || self.both && forward,
        }
    }

    /// Returns whether traffic from a gateway to a server is affected, or back if not `outbound`.
    pub fn affects_server(&self, gateway: usize, server: usize, outbound: bool) -> bool {
        self.affects(gateway, outbound, |members| members.servers[server])
    }

    /// Returns whether traffic from a gateway to the list is affected, or back if not `outbound`.
    pub fn affects_list(&self, gateway: usize, outbound: bool) -> bool {
        self.affects(gateway, outbound, |members| members.list)
    }
}

#[cfg(test)]
mod tests;
