//! A scratch copy of the workspace, in which wrong changes are applied and tests are run.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use crate::Mutant;

/// Files and folders at the workspace's root that a build needs.
const COPIED_PATHS: [&str; 6] = ["crates", "deploy", "docs", "Cargo.toml", "Cargo.lock", "README.md"];

/// The result of trying out a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The test failed with the change.
    Caught,
    /// The test passed with the change, so the test does not check the behaviour that the change breaks.
    Missed,
    /// The test does not build with the change, so the change says nothing about the test.
    DoesNotBuild,
}

/// Why a change could not be tried out.
#[derive(Debug)]
pub enum ScratchError {
    /// A file or folder of the copy cannot be read or written.
    File(PathBuf, io::Error),
    /// The text to replace does not occur exactly once in its file: the change's name and the number of
    /// occurrences.
    Occurrences(&'static str, usize),
    /// `cargo` cannot be started.
    Cargo(io::Error),
}

impl std::fmt::Display for ScratchError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ScratchError::File(path, error) => {
                write!(formatter, "{}: {error}: check that the folder is writable", path.display())
            }
            ScratchError::Occurrences(name, count) => write!(
                formatter,
                "{name}: the text to replace occurs {count} times in its file: update the list of mutants"
            ),
            ScratchError::Cargo(error) => write!(formatter, "cannot start cargo ({error}): check PATH"),
        }
    }
}

impl std::error::Error for ScratchError {}

/// A scratch copy of the workspace, with a target folder that is kept between runs.
pub struct Scratch {
    root: PathBuf,
    target: PathBuf,
}

impl Scratch {
    /// Copies the workspace at `source` into `folder`, whose target folder is reused from earlier runs.
    pub fn copy(source: &Path, folder: &Path) -> Result<Scratch, ScratchError> {
        let root = folder.join("workspace");
        if root.exists() {
            fs::remove_dir_all(&root).map_err(|error| ScratchError::File(root.clone(), error))?;
        }
        for name in COPIED_PATHS {
            copy(&source.join(name), &root.join(name))?;
        }
        Ok(Scratch { root, target: folder.join("target") })
    }

    /// Applies a change, runs its test, and reverts the change.
    pub fn try_out(&self, mutant: &Mutant) -> Result<Outcome, ScratchError> {
        let path = self.root.join(mutant.file);
        let original = read(&path)?;
        write(&path, &mutant.apply(&original)?)?;
        let outcome = self.run_test(mutant);
        write(&path, &original)?;
        outcome
    }

    /// Builds and runs the change's test.
    fn run_test(&self, mutant: &Mutant) -> Result<Outcome, ScratchError> {
        if !self.cargo(mutant, &["--no-run"])? {
            return Ok(Outcome::DoesNotBuild);
        }
        Ok(if self.cargo(mutant, &[])? { Outcome::Missed } else { Outcome::Caught })
    }

    /// Runs `cargo test` with the change's arguments and `extra_arguments`. Returns whether it succeeded.
    fn cargo(&self, mutant: &Mutant, extra_arguments: &[&str]) -> Result<bool, ScratchError> {
        let status = Command::new("cargo")
            .args(["test", "--quiet", "--offline"])
            .args(mutant.test.split(' '))
            .args(extra_arguments)
            .current_dir(&self.root)
            .env("CARGO_TARGET_DIR", &self.target)
            .env("RUSTFLAGS", "-Awarnings")
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .status()
            .map_err(ScratchError::Cargo)?;
        Ok(status.success())
    }
}

impl Mutant {
    /// Returns the file's text with the change applied. Fails unless the text to replace occurs exactly once.
    pub fn apply(&self, original: &str) -> Result<String, ScratchError> {
        match original.matches(self.find).count() {
            1 => Ok(original.replacen(self.find, self.replace, 1)),
            count => Err(ScratchError::Occurrences(self.name, count)),
        }
    }
}

fn read(path: &Path) -> Result<String, ScratchError> {
    fs::read_to_string(path).map_err(|error| ScratchError::File(path.to_owned(), error))
}

fn write(path: &Path, text: &str) -> Result<(), ScratchError> {
    fs::write(path, text).map_err(|error| ScratchError::File(path.to_owned(), error))
}

/// Copies a file, or a folder with all that it contains.
fn copy(from: &Path, to: &Path) -> Result<(), ScratchError> {
    let file_error = |error| ScratchError::File(from.to_owned(), error);
    if from.is_dir() {
        fs::create_dir_all(to).map_err(file_error)?;
        for entry in fs::read_dir(from).map_err(file_error)? {
            let name = entry.map_err(file_error)?.file_name();
            copy(&from.join(&name), &to.join(&name))?;
        }
        return Ok(());
    }
    if let Some(parent) = to.parent() {
        fs::create_dir_all(parent).map_err(file_error)?;
    }
    fs::copy(from, to).map(drop).map_err(file_error)
}
