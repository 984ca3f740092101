//! Checks settings files and configuration files before they are deployed.

use crate::arguments::Role;
use crate::error::NodeError;
use configuration::{OperatorConfiguration, OrderDelivery, ProcessSettings};
use std::fs;
use std::io::Write;
use std::path::Path;

/// The only supported value of the setting `Discovery`.
const CLOUD_API: &str = "cloud_api";

/// Checks a settings file, including the requirements of `role` or, without one, of the role that the file
/// names.
///
/// # Errors
///
/// The file cannot be read, is invalid, or lacks what the role requires; or `out` fails.
pub fn check_settings(path: &Path, role: Option<Role>, out: &mut dyn Write) -> Result<(), NodeError> {
    let text = fs::read_to_string(path).map_err(|error| NodeError::ReadFile(path.to_owned(), error))?;
    let settings =
        ProcessSettings::read(&text).map_err(|error| NodeError::Settings(path.to_owned(), error))?;
    let role = role.or_else(|| Role::named(&settings.role));
    let problems = match role {
        Some(Role::Control) => control_problems(&settings),
        Some(Role::DataPlane) => data_plane_problems(&settings),
        None => Vec::new(),
    };
    if !problems.is_empty() {
        return Err(NodeError::Problems(path.to_owned(), problems));
    }
    let checked_for = role.map_or("no role: give one with --role", Role::name);
    let text = format!("{} is valid, checked for {checked_for}", path.display());
    writeln!(out, "{text}").map_err(NodeError::Output)
}

/// Checks a file that holds an operator's configuration.
///
/// # Errors
///
/// The file cannot be read or is invalid, or `out` fails.
pub fn check_configuration(path: &Path, out: &mut dyn Write) -> Result<(), NodeError> {
    let body = fs::read(path).map_err(|error| NodeError::ReadFile(path.to_owned(), error))?;
    let configuration = OperatorConfiguration::read(&body)
        .map_err(|error| NodeError::Problems(path.to_owned(), vec![error.to_string()]))?;
    let (version, routes) = (configuration.version(), configuration.routes().len());
    let services = configuration.services().count();
    let text = format!(
        "{} is valid: version {version}, {routes} routes, {services} services; whether it may follow the one in force is told by ctl config check",
        path.display()
    );
    writeln!(out, "{text}").map_err(NodeError::Output)
}

fn control_problems(settings: &ProcessSettings) -> Vec<String> {
    let mut problems = shared_problems(settings);
    let mut require = |condition: bool, problem: &str| {
        if !condition {
            problems.push(problem.to_owned());
        }
    };
    let listen = "ListenAddrs.Control is missing: let the role serve control_plane in the deploy file";
    require(settings.listen.control.is_some(), listen);
    let directory = "DataDir is missing: run the control role on machines that have a disk";
    require(settings.data_directory.is_some(), directory);
    let discovery = "Discovery is not cloud_api: workers would not be found, set it to cloud_api";
    require(settings.discovery == CLOUD_API, discovery);
    let platform = "CloudApi.Address is missing: workers would not be found, set it to the platform's";
    require(settings.cloud_api.is_some(), platform);
    let delivery = "Commands is heartbeat: orders are delivered by calls only, set it to rpc";
    require(settings.order_delivery != OrderDelivery::Heartbeats, delivery);
    problems
}

fn data_plane_problems(settings: &ProcessSettings) -> Vec<String> {
    let mut problems = shared_problems(settings);
    for (name, address) in [("Front", settings.listen.clients), ("Readiness", settings.listen.readiness)] {
        if address.is_none() {
            problems
                .push(format!("ListenAddrs.{name} is missing: let the role serve edge in the deploy file"));
        }
    }
    problems
}

fn shared_problems(settings: &ProcessSettings) -> Vec<String> {
    if settings.seed_nodes.is_empty() {
        let problem =
            "SeedNodes is empty: the core would not be found, give Control addresses of its machines";
        return vec![problem.to_owned()];
    }
    Vec::new()
}
