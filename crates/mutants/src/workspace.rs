//! A scratch copy of the workspace in which a change is put in and a test is run.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use crate::Mutant;

/// Folders at the root that a build needs.
const COPIED: [&str; 6] = ["crates", "deploy", "docs", "Cargo.toml", "Cargo.lock", "README.md"];

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The test failed with it.
    Caught,
    /// The test passed with it: the test holds nothing.
    Missed,
    /// The workspace does not build with it: the change is no change of behaviour.
    DoesNotBuild,
}

/// Why a change could not be tried.
#[derive(Debug)]
pub enum ScratchError {
    /// A file or folder of the copy.
    File(PathBuf, io::Error),
    /// The text to replace does not stand exactly once in its file.
    Places(&'static str, usize),
    /// `cargo` cannot be started.
    Cargo(io::Error),
}

impl std::fmt::Display for ScratchError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ScratchError::File(path, error) => {
                write!(formatter, "{}: {error}: see that the folder can be written to", path.display())
            }
            ScratchError::Places(name, count) => write!(
                formatter,
                "{name}: its text stands {count} times in its file: bring the list of mutants up to date"
            ),
            ScratchError::Cargo(error) => write!(formatter, "cargo does not start ({error}): see PATH"),
        }
    }
}

impl std::error::Error for ScratchError {}

/// A copy of the workspace.
pub struct Scratch {
    root: PathBuf,
    target: PathBuf,
}

impl Scratch {
    /// Copies the workspace at `source` into `folder`, where builds of earlier runs are used again.
    pub fn copy(source: &Path, folder: &Path) -> Result<Scratch, ScratchError> {
        let root = folder.join("workspace");
        if root.exists() {
            fs::remove_dir_all(&root).map_err(|error| ScratchError::File(root.clone(), error))?;
        }
        for name in COPIED {
            copy(&source.join(name), &root.join(name))?;
        }
        Ok(Scratch { root, target: folder.join("target") })
    }

    /// Puts a change in, runs its test, and takes the change out again.
    pub fn try_out(&self, mutant: &Mutant) -> Result<Outcome, ScratchError> {
        let path = self.root.join(mutant.file);
        let original = read(&path)?;
        write(&path, &mutant.apply(&original)?)?;
        let outcome = self.run_test(mutant);
        write(&path, &original)?;
        outcome
    }

    fn run_test(&self, mutant: &Mutant) -> Result<Outcome, ScratchError> {
        if !self.cargo(mutant, &["--no-run"])? {
            return Ok(Outcome::DoesNotBuild);
        }
        Ok(if self.cargo(mutant, &[])? { Outcome::Missed } else { Outcome::Caught })
    }

    fn cargo(&self, mutant: &Mutant, last: &[&str]) -> Result<bool, ScratchError> {
        let status = Command::new("cargo")
            .args(["test", "--quiet", "--offline"])
            .args(mutant.test.split(' '))
            .args(last)
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
    /// The file's text with the change in it.
    pub fn apply(&self, original: &str) -> Result<String, ScratchError> {
        match original.matches(self.find).count() {
            1 => Ok(original.replacen(self.find, self.replace, 1)),
            count => Err(ScratchError::Places(self.name, count)),
        }
    }
}

fn read(path: &Path) -> Result<String, ScratchError> {
    fs::read_to_string(path).map_err(|error| ScratchError::File(path.to_owned(), error))
}

fn write(path: &Path, text: &str) -> Result<(), ScratchError> {
    fs::write(path, text).map_err(|error| ScratchError::File(path.to_owned(), error))
}

fn copy(from: &Path, to: &Path) -> Result<(), ScratchError> {
    let failed = |error| ScratchError::File(from.to_owned(), error);
    if from.is_dir() {
        fs::create_dir_all(to).map_err(failed)?;
        for entry in fs::read_dir(from).map_err(failed)? {
            let name = entry.map_err(failed)?.file_name();
            copy(&from.join(&name), &to.join(&name))?;
        }
        return Ok(());
    }
    if let Some(parent) = to.parent() {
        fs::create_dir_all(parent).map_err(failed)?;
    }
    fs::copy(from, to).map(drop).map_err(failed)
}
