//! Looks up the scenarios that commands are given by name.

use gateway_simulation::Scenario;
use program_support::config::Errors;
use std::path::Path;

/// Loads a scenario by its name in the catalogue, or from the file of that name.
pub fn scenario(name: &str) -> Result<Scenario, Errors> {
    Scenario::from_value(gateway_simulation::find(name)?).map_err(|errors| errors.in_file(Path::new(name)))
}
