//! Computes the differences between two configurations.

use configuration::{HttpLimits, OperatorConfiguration, Route, Service};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// The kind of a difference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum ChangeKind {
    Added,
    Dropped,
    Changed,
}

/// One difference between two configurations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Change {
    /// Whether the part was added, dropped or changed.
    pub kind: ChangeKind,
    /// `Version`, `Limits`, `Routes NAME` or `Backends NAME`.
    pub part: String,
    /// The field that changed; empty if the whole part was added or dropped.
    pub field: String,
    /// The old value; empty if the part was added.
    pub before: String,
    /// The new value; empty if the part was dropped.
    pub after: String,
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            ChangeKind::Added => write!(formatter, "+ {} {}", self.part, self.after),
            ChangeKind::Dropped => write!(formatter, "- {} {}", self.part, self.before),
            ChangeKind::Changed => {
                write!(formatter, "~ {} {}: {} -> {}", self.part, self.field, self.before, self.after)
            }
        }
    }
}

/// The fields of a part with their values as text.
type FieldTexts = Vec<(&'static str, String)>;

/// Returns the differences from `before` (`None`: no configuration yet) to `after`, in a fixed order.
pub fn compare(before: Option<&OperatorConfiguration>, after: &OperatorConfiguration) -> Vec<Change> {
    let mut changes = Vec::new();
    let version = before.map_or(0, OperatorConfiguration::version);
    let version_before = vec![("Version", version.to_string())];
    let version_after = vec![("Version", after.version().to_string())];
    compare_fields("Configuration", &version_before, &version_after, &mut changes);
    let limits_before = before.map_or_else(HttpLimits::default, |before| before.limits().clone());
    compare_fields("Limits", &limit_texts(&limits_before), &limit_texts(after.limits()), &mut changes);
    compare_parts("Backends", before.map(services).unwrap_or_default(), services(after), &mut changes);
    compare_parts("Routes", before.map(routes).unwrap_or_default(), routes(after), &mut changes);
    changes
}

fn services(configuration: &OperatorConfiguration) -> BTreeMap<&str, FieldTexts> {
    configuration.services().map(|service| (service.name.as_str(), service_texts(service))).collect()
}

fn routes(configuration: &OperatorConfiguration) -> BTreeMap<&str, FieldTexts> {
    configuration.routes().iter().map(|route| (route.name.as_str(), route_texts(route))).collect()
}

fn compare_parts(
    section: &str,
    before: BTreeMap<&str, FieldTexts>,
    after: BTreeMap<&str, FieldTexts>,
    changes: &mut Vec<Change>,
) {
    let part_change = |kind, name: &str, before: String, after: String| Change {
        kind,
        part: format!("{section} {name}"),
        field: String::new(),
        before,
        after,
    };
    for (name, fields) in before.iter().filter(|(name, _)| !after.contains_key(*name)) {
        changes.push(part_change(ChangeKind::Dropped, name, join(fields), String::new()));
    }
    for (name, fields) in &after {
        match before.get(name) {
            Some(earlier) => compare_fields(&format!("{section} {name}"), earlier, fields, changes),
            None => changes.push(part_change(ChangeKind::Added, name, String::new(), join(fields))),
        }
    }
}

fn join(fields: &FieldTexts) -> String {
    let texts: Vec<String> = fields.iter().map(|(field, value)| format!("{field}={value}")).collect();
    texts.join(" ")
}

fn compare_fields(part: &str, before: &FieldTexts, after: &FieldTexts, changes: &mut Vec<Change>) {
    let differing = before.iter().zip(after).filter(|((_, before), (_, after))| before != after);
    changes.extend(differing.map(|((field, before), (_, after))| Change {
        kind: ChangeKind::Changed,
        part: part.to_owned(),
        field: (*field).to_owned(),
        before: before.clone(),
        after: after.clone(),
    }));
}

fn limit_texts(limits: &HttpLimits) -> FieldTexts {
    vec![
        ("MaxHeaderBytes", limits.max_header_bytes.to_string()),
        ("MaxBodyBytes", limits.max_body_bytes.to_string()),
        ("HeaderTimeoutMs", limits.header_timeout_ms.to_string()),
        ("IdleTimeoutMs", limits.idle_timeout_ms.to_string()),
    ]
}

fn service_texts(service: &Service) -> FieldTexts {
    vec![
        ("HealthCheck", service.health_check.clone()),
        ("MaxConnections", service.max_connections.to_string()),
        ("Protocol", service.protocol.clone()),
        ("Tls", service.tls.to_string()),
        ("Guards", service.enforces_capacity.to_string()),
    ]
}

fn route_texts(route: &Route) -> FieldTexts {
    vec![
        ("Host", route.host.clone()),
        ("PathPrefix", route.path_prefix.clone()),
        ("RouteType", format!("{:?}", route.kind)),
        ("TimeoutMs", route.timeout_ms.to_string()),
        ("TargetLatencyMs", route.target_latency_ms.to_string()),
        ("Priority", route.priority.to_string()),
        ("Backend", route.service.clone()),
        ("MaxRetries", route.max_retries.to_string()),
        ("Stretch", route.stretch.to_string()),
        ("RatePerS", route.rate_per_s.map_or_else(|| "none".to_owned(), |rate| rate.to_string())),
    ]
}
