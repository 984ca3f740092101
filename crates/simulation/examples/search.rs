//! Simulates random days and prints rule violations as JSON lines.
//!
//! `search --days N --seed S [--unguarded] [--harsh] [--five]` simulates N days from seed S on. `search
//! --replay S` prints the events of one day, and `search --shrink S` those of the same day with as few faults
//! as still make it fail. With `--digest FILE` no rules are checked; instead, a line is written for each day
//! with its seed and the digest of all its events.

use simulation::day::{digest, play, DayReport};
use simulation::oracle::Rule;
use simulation::script::Script;
use simulation::site::Site;
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::time::Instant;

struct Arguments {
    days: u64,
    seed: u64,
    replay: bool,
    shrink: bool,
    calm: bool,
    harsh: bool,
    digest: Option<PathBuf>,
    site: Site,
}

fn arguments() -> Arguments {
    let mut arguments = Arguments {
        days: 100,
        seed: 1,
        replay: false,
        shrink: false,
        calm: false,
        harsh: false,
        digest: None,
        site: Site::small(),
    };
    let mut words = std::env::args().skip(1);
    while let Some(word) = words.next() {
        if word == "--digest" {
            arguments.digest = words.next().map(PathBuf::from);
            continue;
        }
        let mut number = || words.next().and_then(|text| text.parse().ok()).unwrap_or(1);
        match word.as_str() {
            "--days" => arguments.days = number(),
            "--seed" => arguments.seed = number(),
            "--replay" => (arguments.replay, arguments.seed) = (true, number()),
            "--shrink" => (arguments.shrink, arguments.seed) = (true, number()),
            "--calm" => arguments.calm = true,
            "--five" => arguments.site = Site::five(),
            "--harsh" => arguments.harsh = true,
            "--unguarded" => arguments.site = Site::unguarded(),
            other => {
                eprintln!("{other} is not known: use --days, --seed, --replay, --shrink, --calm, --harsh, --five, --unguarded, --digest");
            }
        }
    }
    arguments
}

fn violated_rules(report: &DayReport) -> BTreeSet<Rule> {
    report.violations.iter().map(|violation| violation.rule).collect()
}

fn shrink(site: &Site, script: &Script) -> Script {
    let wanted = violated_rules(&play(site, script, false));
    script
        .shrink(|smaller| violated_rules(&play(site, smaller, false)).intersection(&wanted).next().is_some())
}

fn write_digests(arguments: &Arguments, path: &Path, draw: impl Fn(u64) -> Script) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    for seed in arguments.seed..arguments.seed + arguments.days {
        writeln!(file, "{seed} {}", digest(&arguments.site, &draw(seed)))?;
    }
    file.flush()
}

fn main() {
    let arguments = arguments();
    let site = &arguments.site;
    let draw = |seed| match (arguments.calm, arguments.harsh) {
        (true, _) => Script::calm(seed),
        (false, true) => Script::draw_harsh(site, seed),
        (false, false) => Script::draw(site, seed),
    };
    if let Some(path) = &arguments.digest {
        if let Err(error) = write_digests(&arguments, path, draw) {
            eprintln!("cannot write {}: {error}", path.display());
            std::process::exit(1);
        }
        return;
    }
    if arguments.replay || arguments.shrink {
        let mut script = draw(arguments.seed);
        if arguments.shrink {
            script = shrink(site, &script);
            println!("{script:?}");
        }
        let report = play(site, &script, true);
        println!("{:?}", report.figures);
        report.violations.iter().for_each(|violation| println!("{violation}"));
        return;
    }
    let started = Instant::now();
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.days {
        let report = play(site, &draw(seed), false);
        failed += u64::from(!report.violations.is_empty());
        for rule in violated_rules(&report) {
            let of_rule = report.violations.iter().filter(|violation| violation.rule == rule);
            let count = of_rule.clone().count();
            let first = of_rule.map(ToString::to_string).next().unwrap_or_default();
            println!("{{\"seed\":{seed},\"rule\":\"{rule:?}\",\"count\":{count},\"first\":{first:?}}}");
        }
    }
    let took = started.elapsed().as_secs_f64();
    println!("{{\"days\":{},\"failed\":{failed},\"seconds\":{took:.1}}}", arguments.days);
}
