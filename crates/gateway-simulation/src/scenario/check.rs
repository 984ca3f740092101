//! Reads and checks scenarios; reports all errors of a scenario at once.

use crate::link::Link;
use crate::scenario::{Fault, Scenario, Trouble};
use program_support::config::{self, Errors, FileFormat};
use serde_json::Value;
use std::path::Path;

impl Scenario {
    /// Reads and checks a scenario file.
    pub fn load(path: &Path) -> Result<Self, Errors> {
        let text = config::read(path)?;
        Self::parse(&text).map_err(|wrong| wrong.in_file(path))
    }

    /// Parses and checks a scenario.
    ///
    /// # Errors
    ///
    /// All errors of the scenario.
    pub fn parse(text: &[u8]) -> Result<Self, Errors> {
        Self::from_value(FileFormat::Toml.parse(text)?)
    }

    /// Checks a scenario as [`Scenario::parse`] does, from a value that was already parsed.
    pub fn from_value(value: Value) -> Result<Self, Errors> {
        let scenario = config::from_value::<Scenario>(value)?.settings;
        let mut wrong = Vec::new();
        for (n, fault) in scenario.faults.iter().enumerate() {
            scenario.check_fault(n, fault, &mut wrong);
        }
        scenario.check_zones(&mut wrong);
        scenario.check_load(&mut wrong);
        if wrong.is_empty() {
            Ok(scenario)
        } else {
            Err(Errors(wrong))
        }
    }

    fn check_fault(&self, n: usize, fault: &Fault, wrong: &mut Vec<String>) {
        if let Some(zone) = fault.zone.as_ref().filter(|zone| !self.zones.contains(zone)) {
            let zones = self.zones.join(", ");
            wrong.push(format!("faults[{n}].zone is {zone:?}: a zone is wanted, of {zones}"));
        }
        if fault.link.is_some() && fault.zone.is_some() {
            wrong.push(format!("faults[{n}].link stands beside zone: one of them is wanted"));
        }
        let needs_link = matches!(fault.kind, Trouble::Cut | Trouble::Reset | Trouble::Delay);
        match Link::of(fault, self) {
            Some(Err(what)) => wrong.push(format!("faults[{n}].link: {what}")),
            None if needs_link => {
                wrong.push(format!("faults[{n}].link is missing: a cut has a link, or a zone"));
            }
            Some(Ok(_)) if !needs_link && fault.link.is_some() => {
                wrong.push(format!("faults[{n}].link: {:?} strikes no link", fault.kind));
            }
            _ => {}
        }
    }

    fn check_zones(&self, wrong: &mut Vec<String>) {
        let mut names = self.zones.clone();
        names.sort();
        names.dedup();
        if names.len() < self.zones.len() {
            wrong.push(format!("zones is {:?}: each name once is wanted", self.zones));
        }
        let weights = &self.gateways.weights;
        if !weights.is_empty() && (weights.len() != self.zones.len() || weights.iter().all(|w| *w == 0)) {
            let zones = self.zones.len();
            wrong.push(format!("gateways.weights is {weights:?}: {zones} are wanted, not all 0"));
        }
    }

    fn check_load(&self, wrong: &mut Vec<String>) {
        for (n, plan) in self.plans.iter().enumerate() {
            if plan.spread > self.gateways.count {
                let count = self.gateways.count;
                wrong.push(format!(
                    "plans[{n}].spread is {}: {count} at most, as there are gateways",
                    plan.spread
                ));
            }
        }
        if self.classes.iter().map(|c| c.share).sum::<f64>() <= 0.0 {
            wrong.push("classes: a share above 0 is wanted".to_string());
        }
        if self.uncounted_s >= self.seconds {
            let seconds = self.seconds;
            wrong.push(format!(
                "uncounted_s is {}: less than seconds, {seconds}, is wanted",
                self.uncounted_s
            ));
        }
    }
}
