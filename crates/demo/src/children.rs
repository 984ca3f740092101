//! Processes of the system, each a child that is ended by its handle.

use crate::error::DemoError;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Variable that holds the path of the settings file.
const SETTINGS_VARIABLE: &str = "SPRUCEHATCH_CONFIG";
/// Lines of a log that an error shows.
const LAST_LINES: usize = 10;

struct Running {
    name: String,
    log: PathBuf,
    child: Child,
}

/// Children that run, and those that were killed. Dropped, all of them are killed and waited for.
#[derive(Default)]
pub struct Children {
    running: Vec<Running>,
    killed: Vec<Running>,
}

impl Children {
    /// Starts a role of the program with these settings; the log goes beside them.
    ///
    /// # Errors
    ///
    /// A [`DemoError`] if the log cannot be created or the program cannot be started.
    pub fn start(&mut self, program: &Path, role: &str, settings: &Path) -> Result<(), DemoError> {
        let log = settings.with_extension("log");
        let file = File::create(&log).map_err(|error| DemoError::Folder(log.clone(), error))?;
        let child = Command::new(program)
            .args([role, "--log", "info"])
            .env(SETTINGS_VARIABLE, settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn()
            .map_err(|error| DemoError::Start(program.to_owned(), error))?;
        let name = settings.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        self.running.push(Running { name, log, child });
        Ok(())
    }

    /// Kills one child by its handle, without waiting for its end: a process that is writing to a busy disk ends only
    /// once that write is done, and the clients and stand-ins of the play share this thread.
    ///
    /// # Errors
    ///
    /// A [`DemoError`] if the child cannot be killed.
    pub fn kill(&mut self, name: &str) -> Result<(), DemoError> {
        let Some(position) = self.running.iter().position(|running| running.name == name) else {
            return Ok(());
        };
        let mut killed = self.running.swap_remove(position);
        let outcome = killed.child.kill().map_err(DemoError::Kill);
        self.killed.push(killed);
        outcome
    }

    /// Looks for children that have ended by themselves.
    ///
    /// # Errors
    ///
    /// A [`DemoError`] that names one that has, with the end of its log.
    pub fn check(&mut self) -> Result<(), DemoError> {
        for running in &mut self.running {
            if let Ok(Some(_)) = running.child.try_wait() {
                let log = fs::read_to_string(&running.log).unwrap_or_default();
                let lines: Vec<&str> = log.lines().collect();
                let last = lines[lines.len().saturating_sub(LAST_LINES)..].join("\n");
                return Err(DemoError::Ended(running.name.clone(), last));
            }
        }
        Ok(())
    }
}

impl Drop for Children {
    fn drop(&mut self) {
        for running in self.running.iter_mut().chain(&mut self.killed) {
            // One that has ended already cannot be killed; it is waited for all the same.
            let _ = running.child.kill();
            let _ = running.child.wait();
        }
    }
}
