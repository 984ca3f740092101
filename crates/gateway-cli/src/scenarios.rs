//! Scenarios by the names that commands take.

use gateway_simulation::Scenario;
use program_support::config::Errors;
use std::path::Path;

/// A name of the catalogue, or a file.
pub fn scenario(name: &str) -> Result<Scenario, Errors> {
    Scenario::from_value(gateway_simulation::find(name)?).map_err(|wrong| wrong.in_file(Path::new(name)))
}
