//! Searches for overload states that do not end by themselves.
//!
//! `overload --days N --seed S --parts P` simulates N drawn cases from seed S on, each with one part in P of
//! the large deployment, and prints those that do not recover. `overload --replay S --parts P` prints the
//! events of one of these cases, `overload --loss-of-power S --parts P` those of the day on which all core
//! machines lose power, and `overload --calm S --parts P` those of the same day without a fault. With
//! `--traffic T` each case has T percent of its traffic. With `--no-fault` cases have no fault, and only the
//! load changes.

use simulation::overload::OverloadCase;
use simulation::time::ms;
use std::time::Instant;

/// Maximum number of violations printed for a day.
const MAX_SHOWN: usize = 3;

enum Command {
    Search,
    Replay,
    LossOfPower,
    Calm,
}

struct Arguments {
    command: Command,
    days: u64,
    seed: u64,
    parts: usize,
    /// Traffic in percent of the case's own traffic.
    traffic: u64,
    /// Cases are simulated without their fault.
    no_fault: bool,
    trace: bool,
}

fn arguments() -> Arguments {
    let mut arguments = Arguments {
        command: Command::Search,
        days: 20,
        seed: 1,
        parts: 4,
        traffic: 100,
        no_fault: false,
        trace: false,
    };
    let mut words = std::env::args().skip(1);
    while let Some(word) = words.next() {
        let mut number = || words.next().and_then(|text| text.parse().ok()).unwrap_or(1);
        match word.as_str() {
            "--days" => arguments.days = number(),
            "--seed" => arguments.seed = number(),
            "--parts" => arguments.parts = number().max(1) as usize,
            "--traffic" => arguments.traffic = number(),
            "--replay" => (arguments.command, arguments.seed) = (Command::Replay, number()),
            "--loss-of-power" => (arguments.command, arguments.seed) = (Command::LossOfPower, number()),
            "--calm" => (arguments.command, arguments.seed) = (Command::Calm, number()),
            "--no-fault" => arguments.no_fault = true,
            "--trace" => arguments.trace = true,
            other => eprintln!(
                "{other} is not known: use --days, --seed, --parts, --replay, --loss-of-power, --calm, --traffic, --no-fault, --trace"
            ),
        }
    }
    arguments
}

fn with_options(case: OverloadCase, arguments: &Arguments) -> OverloadCase {
    let fault = case.fault.filter(|_| !arguments.no_fault);
    OverloadCase { fault, traffic: case.traffic * arguments.traffic as f64 / 100.0, ..case }
}

fn replay(case: OverloadCase, arguments: &Arguments) {
    let case = with_options(case, arguments);
    println!("{case:?}");
    let started = Instant::now();
    let report = case.play(arguments.trace);
    println!("{}", report.recovery);
    report.violations.iter().take(MAX_SHOWN).for_each(|violation| println!("{violation}"));
    println!("{} breaches", report.violations.len());
    println!("played in {:.1} s", started.elapsed().as_secs_f64());
}

fn search(arguments: &Arguments) {
    let started = Instant::now();
    let (mut not_recovered, mut not_meaningful, mut violating) = (0, 0, 0);
    for seed in arguments.seed..arguments.seed + arguments.days {
        let case = with_options(OverloadCase::draw(seed, arguments.parts), arguments);
        let report = case.play(false);
        let bound = ms(case.site().bounds.recovery_ms);
        violating += u64::from(!report.violations.is_empty());
        for violation in report.violations.iter().take(MAX_SHOWN) {
            println!("seed {seed} breaks {violation}");
        }
        if !report.recovery.kept_up_before() {
            not_meaningful += 1;
            println!("seed {seed} did not keep up before the fault: {case:?}: {}", report.recovery);
        } else if !report.recovery.recovered_within(bound) {
            not_recovered += 1;
            println!("seed {seed} does not come back: {case:?}: {}", report.recovery);
        }
    }
    let (days, duration) = (arguments.days, started.elapsed().as_secs_f64());
    println!(
        "{days} cases in {duration:.0} s: {not_recovered} do not come back, {violating} break a rule, {not_meaningful} say nothing"
    );
}

fn main() {
    let arguments = arguments();
    match arguments.command {
        Command::Search => search(&arguments),
        Command::Replay => replay(OverloadCase::draw(arguments.seed, arguments.parts), &arguments),
        Command::Calm => replay(OverloadCase::calm(arguments.seed, arguments.parts), &arguments),
        Command::LossOfPower => {
            replay(OverloadCase::loss_of_power(arguments.seed, arguments.parts), &arguments);
        }
    }
}
