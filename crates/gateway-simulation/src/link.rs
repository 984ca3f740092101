//! Which ways between gateways, servers and the list a fault strikes.
//!
//! `zone a except n3 -> zone b`: what gateways and servers of zone a, but for gateway n3, say to those of zone b. The arrow
//! points the way that is struck; `<->` strikes both. A side is a list, by commas, of `all`, `gateways`, `servers`, `list`,
//! `zone NAME`, `30% of gateways`, a gateway (`n0`) or a server (`s-0`), and after `except` of those that are left out.

use crate::scenario::{Fault, Scenario};
use rand::seq::SliceRandom;
use rand::Rng;

#[derive(Clone, Debug, PartialEq)]
enum Term {
    All,
    Gateways,
    Servers,
    List,
    Zone(usize),
    Part(f64),
    Gateway(usize),
    Server(usize),
}

#[derive(Clone, Debug, PartialEq)]
struct Side {
    of: Vec<Term>,
    except: Vec<Term>,
}

/// The ways between two sides, as a scenario words them.
#[derive(Clone, Debug, PartialEq)]
pub struct Link {
    from: Side,
    to: Side,
    both: bool,
}

impl Link {
    /// The link that a fault strikes, if it strikes one.
    pub fn of(fault: &Fault, scenario: &Scenario) -> Option<Result<Self, String>> {
        let words = match (&fault.link, &fault.zone) {
            (Some(words), _) => words.clone(),
            (None, Some(zone)) => format!("zone {zone} <-> servers, gateways except zone {zone}"),
            (None, None) => return None,
        };
        Some(Link::parse(&words, scenario))
    }

    /// A link by its words.
    pub fn parse(words: &str, scenario: &Scenario) -> Result<Self, String> {
        // The longest arrow first: it holds the others.
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

    /// Draws those that are meant by a part.
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
        let (of, except) = match words.split_once(" except ") {
            Some((of, except)) => (of, terms(except, scenario)?),
            None => (words, Vec::new()),
        };
        Ok(Side { of: terms(of, scenario)?, except })
    }

    fn draw(&self, scenario: &Scenario, rng: &mut impl Rng) -> Ends {
        let mut ends = Ends::none(scenario);
        self.of.iter().for_each(|term| ends.set(term, scenario, true, rng));
        self.except.iter().for_each(|term| ends.set(term, scenario, false, rng));
        ends
    }
}

fn terms(words: &str, scenario: &Scenario) -> Result<Vec<Term>, String> {
    words.split(',').map(|word| term(word.trim(), scenario)).collect()
}

fn term(word: &str, scenario: &Scenario) -> Result<Term, String> {
    let number = |text: &str, count: u32, what: &str| match text.parse::<usize>() {
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
            } else if let Some(part) = word.strip_suffix("% of gateways") {
                let part = part.trim().parse::<f64>().ok().filter(|p| (0.0..=100.0).contains(p));
                Term::Part(part.ok_or_else(|| format!("{word:?}: 0 to 100 % are wanted"))? / 100.0)
            } else if let Some(n) = word.strip_prefix("s-") {
                Term::Server(number(n, scenario.servers.count, "servers s-0")?)
            } else if let Some(n) = word.strip_prefix('n') {
                Term::Gateway(number(n, scenario.gateways.count, "gateways n0")?)
            } else {
                return Err(format!("{word:?} is neither a zone, a gateway, a server nor the list"));
            }
        }
    })
}

/// Gateways, servers and the list that a side means.
#[derive(Clone, Debug)]
struct Ends {
    gateways: Vec<bool>,
    servers: Vec<bool>,
    list: bool,
}

impl Ends {
    fn none(scenario: &Scenario) -> Self {
        Ends {
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
            Term::Part(part) => {
                let mut all: Vec<usize> = (0..self.gateways.len()).collect();
                all.shuffle(rng);
                all.truncate((all.len() as f64 * part).round() as usize);
                all.into_iter().for_each(|n| self.gateways[n] = on);
            }
            Term::Gateway(n) => self.gateways[*n] = on,
            Term::Server(n) => self.servers[*n] = on,
        }
    }
}

/// The ways that a fault strikes in one play.
#[derive(Clone, Debug)]
pub struct AffectedLinks {
    from: Ends,
    to: Ends,
    both: bool,
}

impl AffectedLinks {
    fn way(&self, gateway: usize, out: bool, other: impl Fn(&Ends) -> bool) -> bool {
        let one = self.from.gateways[gateway] && other(&self.to);
        let back = other(&self.from) && self.to.gateways[gateway];
        match out {
            true => one || self.both && back,
            false => back || self.both && one,
        }
    }

    /// Whether the way from a gateway to a server is struck, or the way back.
    pub fn affects_server(&self, gateway: usize, server: usize, out: bool) -> bool {
        self.way(gateway, out, |ends| ends.servers[server])
    }

    /// The same of the list.
    pub fn affects_list(&self, gateway: usize, out: bool) -> bool {
        self.way(gateway, out, |ends| ends.list)
    }
}

#[cfg(test)]
mod tests;
