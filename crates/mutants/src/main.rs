//! Applies the wrong changes one at a time and prints whether the test of each detects it.

use getopts::Options;
use mutants::{mutants, Mutant, Outcome, Scratch, ScratchError};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

/// The head of the help text.
const USAGE: &str = "Usage: mutants [options]

Copies the workspace into a scratch folder, puts in one wrong change after the other and runs the test that must fail
with it. Exits with 1 if a change is missed.";

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "only", "only the changes whose names contain this", "TEXT");
    options.optopt("", "point", "only the changes that break this point, 1 to 6", "N");
    options.optopt("", "folder", "the scratch folder (target/mutants)", "FOLDER");
    options.optflag("", "list", "print the changes and their tests, try none out");
    options.optflag("h", "help", "print this help");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{error}: see --help");
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    let only = matches.opt_str("only").unwrap_or_default();
    let point = matches.opt_str("point").unwrap_or_default();
    let is_chosen = |mutant: &Mutant| {
        mutant.name.contains(&only) && (point.is_empty() || point == mutant.point.to_string())
    };
    let chosen: Vec<Mutant> = mutants().into_iter().filter(is_chosen).collect();
    if matches.opt_present("list") {
        chosen.iter().for_each(|mutant| println!("{}  {}  {}", mutant.point, mutant.name, mutant.test));
        return ExitCode::SUCCESS;
    }
    let folder = matches.opt_str("folder").map_or_else(|| PathBuf::from("target/mutants"), PathBuf::from);
    match try_all(&chosen, &folder) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

/// Tries out all chosen changes in `folder`, printing each outcome. Returns the number of changes that were
/// not caught.
fn try_all(chosen: &[Mutant], folder: &Path) -> Result<usize, ScratchError> {
    std::fs::create_dir_all(folder).map_err(|error| ScratchError::File(folder.to_owned(), error))?;
    let folder = folder.canonicalize().map_err(|error| ScratchError::File(folder.to_owned(), error))?;
    let scratch = Scratch::copy(Path::new("."), &folder)?;
    let mut missed = 0;
    for mutant in chosen {
        let started = Instant::now();
        let outcome = scratch.try_out(mutant)?;
        missed += usize::from(outcome != Outcome::Caught);
        println!("{outcome:?}  {}  {:.1} s  {}", mutant.name, started.elapsed().as_secs_f64(), mutant.test);
    }
    println!("{} changes, {missed} not caught", chosen.len());
    Ok(missed)
}
