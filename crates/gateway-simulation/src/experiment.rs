//! Experiments: a scenario and variants of it, each played with the same seeds. What was played stands in a file, a line
//! each, so that an experiment that was stopped goes on where it ended.

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

/// What is shown over time, of a report's second: none where nothing came.
type Course = fn(&Report, usize) -> Option<f64>;

const COURSES: [(&str, Course); 4] = [
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

/// An experiment that can be played.
pub struct Experiment {
    pub name: String,
    pub question: String,
    seeds: Vec<u64>,
    variants: Vec<(String, Scenario)>,
}

/// A play of an experiment, as a line of its file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Play {
    pub variant: String,
    pub seed: u64,
    /// Of the scenario's text: a line of another scenario does not count.
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

/// Sets a value by its key; false if there is no such place.
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
        // Each of them, also after one that it does not fit.
        Value::Array(items) if first == "*" => {
            !items.is_empty() && items.iter_mut().map(each).filter(|fits| !fits).count() == 0
        }
        Value::Array(items) => first.parse().ok().and_then(|n: usize| items.get_mut(n)).is_some_and(each),
        // A key that the base leaves out is one that the check knows, or it tells so.
        Value::Object(table) => each(table.entry(first).or_insert_with(|| Value::Object(Default::default()))),
        _ => false,
    }
}

impl Experiment {
    /// Reads and checks an experiment and all its variants.
    pub fn load(path: &Path) -> Result<Self, Errors> {
        let words = config::load::<Words>(path, "")?.settings;
        let base = crate::find(&words.base).map_err(|wrong| wrong.in_file(path))?;
        let (mut variants, mut wrong) = (Vec::new(), Vec::new());
        // Files are named by it.
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

    /// Plays what is not yet in the experiment's file in `folder`. `told` hears how many of how many plays are done.
    pub fn play(&self, folder: &Path, told: impl Fn(u64, u64) + Sync) -> Result<Results, Errors> {
        let path = folder.join(format!("{}.jsonl", self.name));
        let named = |e: std::io::Error| Errors::single(e.to_string()).in_file(&path);
        fs::create_dir_all(folder).map_err(named)?;
        let mut plays = match File::open(&path) {
            Ok(file) => earlier(file).map_err(named)?,
            Err(_) => Vec::new(),
        };
        let mark = |scenario: &Scenario| crc32fast::hash(scenario.text().as_bytes());
        let marks: Vec<u32> = self.variants.iter().map(|(_, scenario)| mark(scenario)).collect();
        let wanted = |play: &Play| {
            let known = self.variants.iter().zip(&marks);
            let mut known =
                known.filter(|((name, _), mark)| *name == play.variant && **mark == play.scenario);
            self.seeds.contains(&play.seed) && known.next().is_some()
        };
        plays.retain(wanted);
        let done = |variant: &str, seed: u64| plays.iter().any(|p| p.variant == variant && p.seed == seed);
        let mut left = Vec::new();
        for seed in &self.seeds {
            for ((name, scenario), mark) in self.variants.iter().zip(&marks) {
                if !done(name, *seed) {
                    left.push((name, scenario, *mark, *seed));
                }
            }
        }
        let all = (plays.len() + left.len()) as u64;
        let count = AtomicU64::new(plays.len() as u64);
        // What an earlier stop cut off in its middle must not be gone on with.
        let whole: String = plays.iter().map(worded).collect();
        fs::write(&path, whole).map_err(named)?;
        let file = Mutex::new(OpenOptions::new().append(true).open(&path).map_err(named)?);
        let fresh: Result<Vec<Play>, std::io::Error> = left
            .into_par_iter()
            .map(|(name, scenario, mark, seed)| {
                let (report, breach) = match play(scenario, seed) {
                    Ok(report) => (Some(report), None),
                    Err(breach) => (None, Some(breach.to_string())),
                };
                let play = Play { variant: name.clone(), seed, scenario: mark, report, breach };
                // A line at once, so that a stop leaves whole ones.
                file.lock().unwrap_or_else(PoisonError::into_inner).write_all(worded(&play).as_bytes())?;
                told(count.fetch_add(1, Ordering::Relaxed) + 1, all);
                Ok(play)
            })
            .collect();
        plays.extend(fresh.map_err(named)?);
        let place = |play: &Play| self.variants.iter().position(|(name, _)| *name == play.variant);
        plays.sort_by_key(|play| (place(play), play.seed));
        let variants = self.variants.iter().map(|(name, _)| name.clone()).collect();
        Ok(Results { name: self.name.clone(), question: self.question.clone(), variants, plays })
    }
}

fn worded(play: &Play) -> String {
    // Texts and numbers are always worded.
    serde_json::to_string(play).unwrap_or_default() + "\n"
}

/// The whole lines of an earlier run.
fn earlier(file: File) -> std::io::Result<Vec<Play>> {
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

    /// For each variant and figure: how many plays, the median with the least and the most, and the interval of the paired
    /// differences to the first variant.
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

    /// Every play as a line of values by commas.
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
        let courses = COURSES.iter().map(|(title, course)| {
            let lines = self.variants.iter().map(|variant| self.course(variant, *course));
            (title.to_string(), "Median over the seeds, by second.".to_string(), lines.collect())
        });
        let seeds = FIGURES.iter().map(|(title, figure): &Figure| {
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
            plots: courses.chain(seeds).collect(),
        }
    }

    /// A variant's median over the seeds, by second.
    fn course(&self, variant: &str, course: Course) -> Line {
        let reports: Vec<&Report> = self.reports(variant).map(|(_, report)| report).collect();
        let longest = reports.iter().map(|r| r.seconds.len()).max().unwrap_or(0);
        let points = (0..longest).filter_map(|n| {
            let mut values: Vec<f64> = reports.iter().filter_map(|r| course(r, n)).collect();
            values.sort_by(f64::total_cmp);
            (!values.is_empty()).then(|| (n as f64, median(&values)))
        });
        (variant.to_string(), points.collect())
    }

    /// Writes table and page beside the plays; the page's place.
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
