//! Experiments: a scenario and its variants, each played with the same seeds. Each play is recorded as a line
//! of a file, so that an interrupted experiment continues where it stopped.

use crate::page::{Line, Page};
use crate::report::Report;
use crate::scenario::Scenario;
use crate::stats::{interval, median, spread, Figure, FIGURES};
use crate::world::play;
use program_support::config::{self, Errors};
use rayon::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// A value that is plotted over time: its value in a second of a report, `None` if the second has none.
type TimeSeries = fn(&Report, usize) -> Option<f64>;

const TIME_SERIES: [(&str, TimeSeries); 4] = [
    ("requests that come a second", |r, n| r.seconds.get(n).map(|s| f64::from(s[0]))),
    ("requests served in time a second", |r, n| r.seconds.get(n).map(|s| f64::from(s[1]))),
    ("warm cores of servers that want something new", |r, n| r.cores.get(n).map(|c| c[0])),
    ("part of them in use", |r, n| r.cores.get(n).filter(|c| c[0] > 0.0).map(|c| c[1] / c[0])),
];

/// An experiment as its file says it.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
struct Words {
    #[schemars(length(min = 1, max = 64))]
    name: String,
    /// What it is to answer.
    question: String,
    /// A scenario of the catalogue, or a file.
    base: String,
    #[schemars(range(min = 1, max = 10_000))]
    seeds: u64,
    /// The first seed.
    #[serde(default = "one")]
    first: u64,
    #[schemars(length(min = 1, max = 100))]
    variants: Vec<Variant>,
}

fn one() -> u64 {
    1
}

/// A variant of the base. The first one is what the others are compared with.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
struct Variant {
    #[schemars(length(min = 1, max = 64))]
    name: String,
    /// Values of the base by key, as `servers.count`, `faults.0.for_s` or `plans.*.spread`.
    #[serde(default)]
    set: BTreeMap<String, Value>,
}

/// A checked experiment.
pub struct Experiment {
    pub name: String,
    pub question: String,
    seeds: Vec<u64>,
    variants: Vec<(String, Scenario)>,
}

/// A play of an experiment, recorded as a line of the experiment's file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Play {
    pub variant: String,
    pub seed: u64,
    /// CRC-32 of the scenario's text. Plays of a different text are discarded.
    scenario: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report: Option<Report>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub breach: Option<String>,
}

/// All plays of an experiment, by variant and seed.
pub struct Results {
    pub name: String,
    pub question: String,
    pub variants: Vec<String>,
    pub plays: Vec<Play>,
}

/// Sets the value at a dotted key; returns false if the key does not exist.
fn set(at: &mut Value, key: &str, to: &Value) -> bool {
    let (first, rest) = key.split_once('.').map_or((key, None), |(first, rest)| (first, Some(rest)));
    let each = |one: &mut Value| match rest {
        Some(rest) => set(one, rest, to),
        None => {
            *one = to.clone();
            true
        }
    };
    match at {
        // Every element is set, even after one that has no such key.
        Value::Array(items) if first == "*" => {
            !items.is_empty() && items.iter_mut().map(each).filter(|fits| !fits).count() == 0
        }
        Value::Array(items) => first.parse().ok().and_then(|n: usize| items.get_mut(n)).is_some_and(each),
        // Missing keys are added; the check of the scenario rejects unknown ones.
        Value::Object(table) => each(table.entry(first).or_insert_with(|| Value::Object(Default::default()))),
        _ => false,
    }
}

impl Experiment {
    /// Reads and checks an experiment and all its variants.
    ///
    /// # Errors
    ///
    /// If the file, the base scenario or a variant is invalid.
    pub fn load(path: &Path) -> Result<Self, Errors> {
        let words = config::load::<Words>(path, "")?.settings;
        let base = crate::find(&words.base).map_err(|wrong| wrong.in_file(path))?;
        let (mut variants, mut wrong) = (Vec::new(), Vec::new());
        // Output files have this name.
        if !words.name.chars().all(|c| c.is_ascii_alphanumeric() || "-_".contains(c)) {
            wrong.push(format!("name is {:?}: letters, digits, - and _ are wanted", words.name));
        }
        for (n, variant) in words.variants.iter().enumerate() {
            let mut value = base.clone();
            for (key, to) in &variant.set {
                if !set(&mut value, key, to) {
                    wrong.push(format!("variants[{n}].set.{key:?} is no place of {}", words.base));
                }
            }
            if words.variants[..n].iter().any(|other| other.name == variant.name) {
                wrong.push(format!("variants[{n}].name is {:?}: each name once is wanted", variant.name));
            }
            match Scenario::from_value(value) {
                Ok(scenario) => variants.push((variant.name.clone(), scenario)),
                Err(more) => wrong.extend(more.0.into_iter().map(|what| format!("variants[{n}]: {what}"))),
            }
        }
        if !wrong.is_empty() {
            return Err(Errors(wrong).in_file(path));
        }
        let seeds = (0..words.seeds).map(|n| words.first.wrapping_add(n)).collect();
        Ok(Experiment { name: words.name, question: words.question, seeds, variants })
    }

    /// Runs the plays that are not yet recorded in the experiment's file in `folder`. Calls `progress` with
    /// the number of plays done and the total.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or written.
    pub fn play(&self, folder: &Path, progress: impl Fn(u64, u64) + Sync) -> Result<Results, Errors> {
        let path = folder.join(format!("{}.jsonl", self.name));
        let with_path = |e: std::io::Error| Errors::single(e.to_string()).in_file(&path);
        fs::create_dir_all(folder).map_err(with_path)?;
        let mut plays = match File::open(&path) {
            Ok(file) => read_plays(file).map_err(with_path)?,
            Err(_) => Vec::new(),
        };
        let checksum = |scenario: &Scenario| crc32fast::hash(scenario.text().as_bytes());
        let checksums: Vec<u32> = self.variants.iter().map(|(_, scenario)| checksum(scenario)).collect();
        let wanted = |play: &Play| {
            let matching = self.variants.iter().zip(&checksums);
            let mut matching =
                matching.filter(|((name, _), checksum)| *name == play.variant && **checksum == play.scenario);
            self.seeds.contains(&play.seed) && matching.next().is_some()
        };
        plays.retain(wanted);
        let done = |variant: &str, seed: u64| plays.iter().any(|p| p.variant == variant && p.seed == seed);
        let mut pending = Vec::new();
        for seed in &self.seeds {
            for ((name, scenario), checksum) in self.variants.iter().zip(&checksums) {
                if !done(name, *seed) {
                    pending.push((name, scenario, *checksum, *seed));
                }
            }
        }
        let all = (plays.len() + pending.len()) as u64;
        let count = AtomicU64::new(plays.len() as u64);
        // Rewrites the file without a line that an earlier interruption truncated, before new lines are
        // appended.
        let complete_lines: String = plays.iter().map(json_line).collect();
        fs::write(&path, complete_lines).map_err(with_path)?;
        let file = Mutex::new(OpenOptions::new().append(true).open(&path).map_err(with_path)?);
        let new_plays: Result<Vec<Play>, std::io::Error> = pending
            .into_par_iter()
            .map(|(name, scenario, checksum, seed)| {
                let (report, breach) = match play(scenario, seed) {
                    Ok(report) => (Some(report), None),
                    Err(breach) => (None, Some(breach.to_string())),
                };
                let play = Play { variant: name.clone(), seed, scenario: checksum, report, breach };
                // Each line is written in one call, so that an interruption leaves complete lines.
                file.lock().unwrap_or_else(PoisonError::into_inner).write_all(json_line(&play).as_bytes())?;
                progress(count.fetch_add(1, Ordering::Relaxed) + 1, all);
                Ok(play)
            })
            .collect();
        plays.extend(new_plays.map_err(with_path)?);
        let position = |play: &Play| self.variants.iter().position(|(name, _)| *name == play.variant);
        plays.sort_by_key(|play| (position(play), play.seed));
        let variants = self.variants.iter().map(|(name, _)| name.clone()).collect();
        Ok(Results { name: self.name.clone(), question: self.question.clone(), variants, plays })
    }
}

/// Returns the line of a play in the experiment's file.
fn json_line(play: &Play) -> String {
    // Serialization of texts and numbers cannot fail.
    serde_json::to_string(play).unwrap_or_default() + "\n"
}

/// Reads the complete lines of an earlier run.
fn read_plays(file: File) -> std::io::Result<Vec<Play>> {
    let mut plays = Vec::new();
    for line in BufReader::new(file).lines() {
        plays.extend(serde_json::from_str::<Play>(&line?).ok());
    }
    Ok(plays)
}

impl Results {
    pub fn reports<'a>(&'a self, variant: &'a str) -> impl Iterator<Item = (u64, &'a Report)> + 'a {
        let of = self.plays.iter().filter(move |play| play.variant == variant);
        of.filter_map(|play| Some((play.seed, play.report.as_ref()?)))
    }

    pub fn breaches(&self) -> impl Iterator<Item = (&str, &str)> {
        self.plays.iter().filter_map(|play| Some((play.variant.as_str(), play.breach.as_deref()?)))
    }

    /// Returns a row for each variant and figure: the number of plays, the median with minimum and maximum,
    /// and the 95% confidence interval of the paired differences from the first variant.
    pub fn table(&self) -> Vec<[String; 5]> {
        let mut rows = Vec::new();
        let Some(first) = self.variants.first() else { return rows };
        let base: BTreeMap<u64, &Report> = self.reports(first).collect();
        for variant in &self.variants {
            for (name, figure) in FIGURES {
                let values: Vec<f64> = self.reports(variant).map(|(_, report)| figure(report)).collect();
                let pairs =
                    self.reports(variant).filter_map(|(seed, r)| Some(figure(r) - figure(base.get(&seed)?)));
                let differences: Vec<f64> = pairs.collect();
                let difference = interval(&differences).filter(|_| variant != first);
                rows.push([
                    variant.clone(),
                    name.to_string(),
                    values.len().to_string(),
                    spread(values),
                    difference.map_or("-".to_string(), |(least, most)| format!("{least:+.4} to {most:+.4}")),
                ]);
            }
        }
        rows
    }

    /// Returns all plays as CSV.
    fn csv(&self) -> String {
        let quoted = |text: &str| format!("\"{}\"", text.replace('"', "\"\""));
        let names: Vec<String> = FIGURES.iter().map(|(name, _)| quoted(name)).collect();
        let mut text = format!("variant,seed,{}\n", names.join(","));
        for variant in &self.variants {
            for (seed, report) in self.reports(variant) {
                let values: Vec<String> =
                    FIGURES.iter().map(|(_, figure)| figure(report).to_string()).collect();
                text += &format!("{},{seed},{}\n", quoted(variant), values.join(","));
            }
        }
        text
    }

    fn page(&self) -> Page {
        let time_series = TIME_SERIES.iter().map(|(title, value)| {
            let lines = self.variants.iter().map(|variant| self.median_series(variant, *value));
            (title.to_string(), "Median over the seeds, by second.".to_string(), lines.collect())
        });
        let by_seed = FIGURES.iter().map(|(title, figure): &Figure| {
            let lines = self.variants.iter().map(|variant| {
                let each = self.reports(variant).map(|(seed, report)| (seed as f64, figure(report)));
                (variant.clone(), each.collect())
            });
            (title.to_string(), "Each seed.".to_string(), lines.collect())
        });
        Page {
            name: self.name.clone(),
            question: self.question.clone(),
            breaches: self.breaches().map(|(at, what)| (at.to_string(), what.to_string())).collect(),
            head: vec![
                "variant",
                "figure",
                "plays",
                "median (least to most)",
                "difference to the first, 95%",
            ],
            rows: self.table().into_iter().map(Vec::from).collect(),
            plots: time_series.chain(by_seed).collect(),
        }
    }

    /// Returns a variant's median over the seeds, by second.
    fn median_series(&self, variant: &str, value: TimeSeries) -> Line {
        let reports: Vec<&Report> = self.reports(variant).map(|(_, report)| report).collect();
        let longest = reports.iter().map(|report| report.seconds.len()).max().unwrap_or(0);
        let points = (0..longest).filter_map(|n| {
            let mut values: Vec<f64> = reports.iter().filter_map(|report| value(report, n)).collect();
            values.sort_by(f64::total_cmp);
            (!values.is_empty()).then(|| (n as f64, median(&values)))
        });
        (variant.to_string(), points.collect())
    }

    /// Writes the CSV table and the page to `folder`; returns the page's path.
    ///
    /// # Errors
    ///
    /// If a plot cannot be drawn or a file cannot be written.
    pub fn write(&self, folder: &Path) -> Result<PathBuf, Errors> {
        let page = folder.join(format!("{}.html", self.name));
        let write = |path: &Path, text: String| {
            fs::write(path, text).map_err(|e| Errors::single(e.to_string()).in_file(path))
        };
        write(&folder.join(format!("{}.csv", self.name)), self.csv())?;
        write(&page, self.page().html().map_err(Errors::single)?)?;
        Ok(page)
    }
}
