//! Reads and validates the operator's configuration: routes, services and limits.

use std::collections::{BTreeMap, HashSet};

use quick_error::quick_error;
use tinyjson::JsonValue;

use crate::fields::Fields;
use crate::json::{parse_bytes, JsonError, Location};
use crate::route::{Route, RouteKind};
use crate::routing::{without_port, RouteIndex};

const ROUTES: &str = "Routes";
const SERVICES: &str = "Backends";
const WEIGHT: &str = "Weight";

/// Default of `MaxRetries`: the job fails with the first failure of a task, so that no limit can be exceeded.
const DEFAULT_MAX_RETRIES: u32 = 1;
const DEFAULT_STRETCH: f64 = 1.0;

quick_error! {
    /// Why a configuration is invalid. List entries count from 0.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ConfigurationError {
        /// The body is not valid JSON, or a value in it is missing or has the wrong type.
        Json(error: JsonError) {
            from()
            display("the configuration cannot be read: {error}")
        }
        /// The version is 0, which stands for no configuration.
        VersionZero {
            display("Version is 0: choose one above the version that is current")
        }
        /// A name is empty.
        EmptyName(location: Location) {
            display("the Name of {location} is empty: give it a name")
        }
        /// Two routes, or two services, have the same name.
        DuplicateName(location: Location, name: String) {
            display("the name {name} of {location} is given already: choose another one")
        }
        /// A route names a service that is not in the list of services.
        UnknownService(route: String, service: String) {
            display("the route {route} names the service {service}, which is not among Backends: add it there, or correct the route")
        }
        /// Two routes have the same host and path prefix.
        DuplicateHostAndPrefix(first: String, second: String) {
            display("the routes {first} and {second} have the same Host and PathPrefix: change or drop one of them")
        }
        /// The timeout of a route is 0.
        ZeroTimeout(route: String) {
            display("TimeoutMs of the route {route} is 0: give a time in milliseconds")
        }
        /// The weight of a route or a service is 0, so that it would never be served.
        ZeroWeight(location: Location) {
            display("Weight of {location} is 0: give one above 0, or leave it out")
        }
    }
}

/// A service: a group of workers that run the same tasks.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Unique name of the service.
    pub name: String,
    /// Path of the workers' health check; empty: no health check.
    pub health_check: String,
    /// Maximum number of connections to one worker; 0: no limit.
    pub max_connections: u32,
    /// Protocol of the connections to its workers.
    pub protocol: String,
    /// Whether these connections use TLS.
    pub tls: bool,
    /// Whether the workers reject tasks that exceed their capacity (`Guards`). Otherwise they start every
    /// task.
    pub enforces_capacity: bool,
}

/// Limits on clients' requests and connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Timeout for receiving a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Timeout of an idle connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for HttpLimits {
    fn default() -> Self {
        HttpLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 262_144,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A complete configuration that passed all checks except the comparison with the current version, for which
/// see [`OperatorConfiguration::check_against`].
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorConfiguration {
    version: u64,
    routes: Vec<Route>,
    services: BTreeMap<String, Service>,
    limits: HttpLimits,
    index: RouteIndex,
}

impl OperatorConfiguration {
    /// Parses and validates the body of an operator's request.
    ///
    /// # Errors
    ///
    /// If the body is not valid JSON, or the configuration is invalid.
    pub fn read(body: &[u8]) -> Result<Self, ConfigurationError> {
        let document = parse_bytes(body)?;
        let fields = Fields::of(&document, Location::DOCUMENT)?;
        let version = fields.required_integer("Version")?;
        if version == 0 {
            return Err(ConfigurationError::VersionZero);
        }
        let services = read_services(fields.required_list(SERVICES)?)?;
        let routes = read_routes(fields.required_list(ROUTES)?, &services)?;
        let index = RouteIndex::new(&routes).map_err(|duplicate| {
            ConfigurationError::DuplicateHostAndPrefix(
                routes[duplicate.first].name.clone(),
                routes[duplicate.second].name.clone(),
            )
        })?;
        let limits = read_limits(&fields)?;
        Ok(OperatorConfiguration { version, routes, services, limits, index })
    }

    /// The version that the operator gave to the configuration, at least 1.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All routes, in the operator's order.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// All services, ordered by name, so that the order is the same in every process.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// The service with that name. Every route's service exists.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Limits on clients' requests and connections.
    pub fn limits(&self) -> &HttpLimits {
        &self.limits
    }

    /// Finds the route of a request by the `Host` header and the longest prefix of the path. Also returns the
    /// rest of the path after the prefix, without the query. The case and the port of the host are ignored.
    pub fn route<'p>(&self, host: &str, path: &'p str) -> Option<(&Route, &'p str)> {
        let (number, rest) = self.index.find(&self.routes, host, path)?;
        Some((self.routes.get(number)?, rest))
    }
}

fn read_services(list: &[JsonValue]) -> Result<BTreeMap<String, Service>, ConfigurationError> {
    let mut services = BTreeMap::new();
    for (entry, value) in list.iter().enumerate() {
        let fields = Fields::of(value, Location::entry(SERVICES, entry))?;
        let name = read_name(&fields)?;
        check_weight(&fields)?;
        let service = Service {
            name: name.clone(),
            health_check: fields.text_or_empty("HealthCheck")?,
            max_connections: fields.small_integer("MaxConnections")?.unwrap_or(0),
            protocol: fields.text_or_empty("Protocol")?,
            tls: fields.flag("Tls")?,
            enforces_capacity: fields.flag("Guards")?,
        };
        if let Some(earlier) = services.insert(name, service) {
            return Err(ConfigurationError::DuplicateName(fields.location(), earlier.name));
        }
    }
    Ok(services)
}

fn read_routes(
    list: &[JsonValue],
    services: &BTreeMap<String, Service>,
) -> Result<Vec<Route>, ConfigurationError> {
    let mut routes = Vec::with_capacity(list.len());
    let mut names = HashSet::with_capacity(list.len());
    for (entry, value) in list.iter().enumerate() {
        let fields = Fields::of(value, Location::entry(ROUTES, entry))?;
        let route = read_route(&fields)?;
        if !names.insert(route.name.clone()) {
            return Err(ConfigurationError::DuplicateName(fields.location(), route.name));
        }
        if route.timeout_ms == 0 {
            return Err(ConfigurationError::ZeroTimeout(route.name));
        }
        if !services.contains_key(&route.service) {
            return Err(ConfigurationError::UnknownService(route.name, route.service));
        }
        routes.push(route);
    }
    Ok(routes)
}

fn read_route(fields: &Fields<'_>) -> Result<Route, ConfigurationError> {
    check_weight(fields)?;
    let kind = match fields.text("RouteType")? {
        Some("idempotent") => RouteKind::Idempotent,
        _ => RouteKind::NonIdempotent,
    };
    Ok(Route {
        name: read_name(fields)?,
        host: without_port(&fields.required_text("Host")?).to_ascii_lowercase(),
        path_prefix: fields.required_text("PathPrefix")?,
        kind,
        timeout_ms: fields.required_integer("TimeoutMs")?,
        target_latency_ms: fields.integer("TargetLatencyMs")?.unwrap_or(0),
        priority: fields.small_integer("Priority")?.unwrap_or(0),
        service: fields.required_text("Backend")?,
        max_retries: fields.small_integer("MaxRetries")?.unwrap_or(DEFAULT_MAX_RETRIES),
        stretch: fields.number("Stretch")?.unwrap_or(DEFAULT_STRETCH),
        rate_per_s: fields.number("RatePerS")?,
    })
}

fn read_name(fields: &Fields<'_>) -> Result<String, ConfigurationError> {
    let name = fields.required_text("Name")?;
    if name.is_empty() {
        return Err(ConfigurationError::EmptyName(fields.location()));
    }
    Ok(name)
}

/// Checks the optional weight. With weight 0 the route or service would never be served.
fn check_weight(fields: &Fields<'_>) -> Result<(), ConfigurationError> {
    match fields.number(WEIGHT)? {
        Some(0.0) => Err(ConfigurationError::ZeroWeight(fields.location())),
        _ => Ok(()),
    }
}

/// Reads the limits. A limit of 0 would allow nothing, and therefore counts as not given.
fn read_limits(fields: &Fields<'_>) -> Result<HttpLimits, ConfigurationError> {
    let defaults = HttpLimits::default();
    let Some(section) = fields.section("Limits")? else {
        return Ok(defaults);
    };
    let limit = |field, default| -> Result<u64, JsonError> {
        Ok(section.integer(field)?.filter(|limit| *limit > 0).unwrap_or(default))
    };
    Ok(HttpLimits {
        max_header_bytes: limit("MaxHeaderBytes", defaults.max_header_bytes)?,
        max_body_bytes: limit("MaxBodyBytes", defaults.max_body_bytes)?,
        header_timeout_ms: limit("HeaderTimeoutMs", defaults.header_timeout_ms)?,
        idle_timeout_ms: limit("IdleTimeoutMs", defaults.idle_timeout_ms)?,
    })
}
