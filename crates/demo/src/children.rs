//! Child processes of the demonstration. Each child is killed through its own handle.

use crate::error::DemoError;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "SPRUCEHATCH_CONFIG";
/// Number of lines at the end of a log that an error shows.
const LOG_TAIL_LINES: usize = 10;

/// A child process with its name and the path of its log.
struct ChildProcess {
    name: String,
    log: PathBuf,
    child: Child,
}

/// Running and killed child processes. Dropping it kills all children and waits for their end.
#[derive(Default)]
pub struct Children {
    running: Vec<ChildProcess>,
    killed: Vec<ChildProcess>,
}

impl Children {
    /// Starts the program in `role` with the settings file `settings`. The log is written next to the
    /// settings file.
    ///
    /// # Errors
    ///
    /// A [`DemoError`] if the log cannot be created or the program cannot be started.
    pub fn start(&mut self, program: &Path, role: &str, settings: &Path) -> Result<(), DemoError> {
        let log = settings.with_extension("log");
        let file = File::create(&log).map_err(|error| DemoError::WriteFile(log.clone(), error))?;
        let child = Command::new(program)
            .args([role, "--log", "info"])
            .env(SETTINGS_VARIABLE, settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn()
            .map_err(|error| DemoError::Start(program.to_owned(), error))?;
        let name = settings.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        self.running.push(ChildProcess { name, log, child });
        Ok(())
    }

    /// Kills the child `name` without waiting for its end. A process that is writing to a busy disk ends only
    /// once the write is done; waiting would block the clients and the simulated servers, which run on this
    /// thread.
    ///
    /// # Errors
    ///
    /// A [`DemoError`] if the child cannot be killed.
    pub fn kill(&mut self, name: &str) -> Result<(), DemoError> {
        let Some(position) = self.running.iter().position(|process| process.name == name) else {
            return Ok(());
        };
        let mut killed = self.running.swap_remove(position);
        let outcome = killed.child.kill().map_err(DemoError::Kill);
        self.killed.push(killed);
        outcome
    }

    /// Checks whether a child has ended without being killed.
    ///
    /// # Errors
    ///
    /// A [`DemoError`] with the name of such a child and the end of its log.
    pub fn check(&mut self) -> Result<(), DemoError> {
        for process in &mut self.running {
            if let Ok(Some(_)) = process.child.try_wait() {
                let log = fs::read_to_string(&process.log).unwrap_or_default();
                let lines: Vec<&str> = log.lines().collect();
                let last = lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n");
                return Err(DemoError::ChildEnded(process.name.clone(), last));
            }
        }
        Ok(())
    }
}

impl Drop for Children {
    fn drop(&mut self) {
        for process in self.running.iter_mut().chain(&mut self.killed) {
            // Killing a child that has already ended fails. Waiting for it is still necessary.
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}
