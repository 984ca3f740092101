//! The `config` commands, which read and change the operator's configuration.

use crate::client::{Call, Client};
use crate::configuration_diff::{compare, Change};
use crate::error::CtlError;
use crate::output;
use crate::table::Table;
use admin::{paths, ConfigurationHistory};
use configuration::OperatorConfiguration;
use std::fs;
use std::io::Write;
use std::path::Path;

/// The content of a file with a valid configuration.
struct ConfigurationFile {
    body: Vec<u8>,
    configuration: OperatorConfiguration,
}

fn read_file(path: &Path) -> Result<ConfigurationFile, CtlError> {
    let body = fs::read(path).map_err(|error| CtlError::ReadFile(path.to_owned(), error))?;
    match OperatorConfiguration::read(&body) {
        Ok(configuration) => Ok(ConfigurationFile { body, configuration }),
        Err(error) => Err(CtlError::InvalidFile(path.to_owned(), error.to_string())),
    }
}

/// Returns the version in force; 0 for none.
fn current_version(client: &Client) -> Result<u64, CtlError> {
    let history: ConfigurationHistory = client.call(&Call::get(paths::CONFIGURATION_HISTORY))?.read()?;
    Ok(history.versions.last().map_or(0, |newest| newest.version))
}

/// Reads the configuration in force; `None` if there is none.
fn current_configuration(client: &Client) -> Result<Option<OperatorConfiguration>, CtlError> {
    if current_version(client)? == 0 {
        return Ok(None);
    }
    let answer = client.call(&Call::get(paths::CONFIGURATION))?;
    let configuration = OperatorConfiguration::read(&answer.body);
    configuration.map(Some).map_err(|error| CtlError::UnreadableAnswer(error.to_string()))
}

/// Prints the unchanged bytes of the configuration in force.
pub fn show(client: &Client, out: &mut dyn Write) -> Result<(), CtlError> {
    if current_version(client)? == 0 {
        let text = "there is no configuration yet: send the first one with config put";
        return Err(CtlError::Refused(text.to_owned()));
    }
    output::body(&client.call(&Call::get(paths::CONFIGURATION))?, out)
}

/// Checks a file, and whether it may replace the configuration in force.
pub fn check(client: &Client, file: &Path, out: &mut dyn Write) -> Result<(), CtlError> {
    let candidate = read_file(file)?;
    let current = current_version(client)?;
    let result = candidate.configuration.check_against(current, Some(current));
    result.map_err(|error| CtlError::InvalidFile(file.to_owned(), error.to_string()))?;
    let version = candidate.configuration.version();
    output::line(&format!("{} is valid: version {version} may follow version {current}", file.display()), out)
}

/// Sends a file as the configuration.
pub fn put(
    client: &Client,
    file: &Path,
    builds_on: Option<u64>,
    out: &mut dyn Write,
) -> Result<(), CtlError> {
    let candidate = read_file(file)?;
    let builds_on = match builds_on {
        Some(version) => version,
        None => current_version(client)?,
    };
    let version = candidate.configuration.version();
    client.call(&Call::put(paths::CONFIGURATION, builds_on, candidate.body))?;
    output::line(&format!("version {version} is taken, on top of version {builds_on}"), out)
}

/// Prints the accepted versions.
pub fn history(client: &Client, json: bool, out: &mut dyn Write) -> Result<(), CtlError> {
    let answer = client.call(&Call::get(paths::CONFIGURATION_HISTORY))?;
    if json {
        return output::body(&answer, out);
    }
    let history: ConfigurationHistory = answer.read()?;
    let mut table = Table::new(&["VERSION", "BUILDS ON", "DIGEST"]);
    for accepted in &history.versions {
        table.row(vec![
            accepted.version.to_string(),
            accepted.builds_on.to_string(),
            accepted.digest.clone(),
        ]);
    }
    output::table(&table, out)
}

/// Prints what a file would change.
pub fn diff(client: &Client, file: &Path, json: bool, out: &mut dyn Write) -> Result<(), CtlError> {
    let candidate = read_file(file)?;
    let changes = compare(current_configuration(client)?.as_ref(), &candidate.configuration);
    if json {
        return output::json(&changes, out);
    }
    changes.iter().try_for_each(|change: &Change| output::line(&change.to_string(), out))
}
