//! The operator's configuration: valid and invalid documents, and which version may replace the current one.

mod documents;

use configuration::{
    parse_if_match, ConfigurationError, HttpLimits, JsonError, Location, OperatorConfiguration, RouteKind,
    VersionError,
};
use documents::{changed, CONFIGURATION};
use quickcheck::quickcheck;

fn read(text: &str) -> Result<OperatorConfiguration, ConfigurationError> {
    OperatorConfiguration::read(text.as_bytes())
}

fn valid() -> OperatorConfiguration {
    read(CONFIGURATION).expect("the example is valid")
}

/// Returns the error of the example with one change.
fn error(from: &str, to: &str) -> ConfigurationError {
    read(&changed(CONFIGURATION, from, to)).expect_err("the change makes it invalid")
}

/// Returns the example with one change that leaves it valid.
fn still_valid(from: &str, to: &str) -> OperatorConfiguration {
    read(&changed(CONFIGURATION, from, to)).expect("the change leaves it valid")
}

#[test]
fn every_field_is_read() {
    let configuration = valid();
    assert_eq!(configuration.version(), 12);
    assert_eq!(configuration.routes().len(), 3);
    let express = &configuration.routes()[1];
    assert_eq!(express.name, "express");
    assert_eq!(express.host, "post.example");
    assert_eq!(express.path_prefix, "/letters/express/");
    assert_eq!(express.kind, RouteKind::Idempotent);
    assert_eq!((express.timeout_ms, express.target_latency_ms, express.priority), (1500, 200, 0));
    assert_eq!((express.service.as_str(), express.max_retries), ("couriers", 2));
    assert_eq!((express.stretch, express.rate_per_s), (1.5, Some(7.5)));
    let sorting = configuration.service("sorting").expect("a service");
    assert_eq!((sorting.health_check.as_str(), sorting.max_connections), ("/healthz", 32));
    assert_eq!((sorting.protocol.as_str(), sorting.tls, sorting.enforces_capacity), ("h1", false, true));
    assert_eq!(configuration.services().count(), 2);
    let limits = HttpLimits {
        max_header_bytes: 8192,
        max_body_bytes: 100_000,
        header_timeout_ms: 2000,
        idle_timeout_ms: 9000,
    };
    assert_eq!(*configuration.limits(), limits);
}

#[test]
fn optional_fields_have_defaults() {
    let configuration = valid();
    let parcels = &configuration.routes()[2];
    assert_eq!(parcels.kind, RouteKind::NonIdempotent);
    assert_eq!((parcels.target_latency_ms, parcels.priority, parcels.max_retries), (0, 0, 1));
    assert_eq!((parcels.stretch, parcels.rate_per_s), (1.0, None));
    assert!(!configuration.service("couriers").expect("a service").enforces_capacity);
    let without_limits = still_valid(r#""Limits""#, r#""Ignored""#);
    assert_eq!(*without_limits.limits(), HttpLimits::default());
    let zero_limit = still_valid(r#""MaxBodyBytes":100000"#, r#""MaxBodyBytes":0"#);
    assert_eq!(zero_limit.limits().max_body_bytes, HttpLimits::default().max_body_bytes);
}

#[test]
fn alternative_valid_values_are_accepted() {
    still_valid(r#""Priority":1"#, r#""Priority":null"#);
    still_valid(r#""Priority":1"#, r#""Priority":1.0"#);
    still_valid(r#""Priority":1"#, r#""Priority":1,"Fresh":{"deep":[1,[2]]}"#);
    still_valid(r#""MaxRetries":3"#, r#""MaxRetries":0"#);
    still_valid(r#""RouteType":"idempotent""#, r#""RouteType":"other""#);
    still_valid(r#""PathPrefix":"/letters/express/""#, r#""PathPrefix":"odd""#);
    still_valid(r#""PathPrefix":"/letters/express/""#, r#""PathPrefix":"/letters""#);
    still_valid(r#""PathPrefix":"/letters/express/""#, r#""PathPrefix":"/Letters/""#);
    still_valid(r#""Version":12"#, r#""Version":9007199254740992"#);
    let empty = read(r#"{"Version":1,"Routes":[],"Backends":[]}"#).expect("empty lists are valid");
    assert!(empty.routes().is_empty());
}

#[test]
fn truncated_body_is_invalid_at_every_length() {
    for length in 0..CONFIGURATION.len() {
        let result = OperatorConfiguration::read(&CONFIGURATION.as_bytes()[..length]);
        let Err(ConfigurationError::Json(error)) = result else {
            panic!("the body truncated to {length} bytes was accepted");
        };
        assert!(matches!(error, JsonError::Malformed(_)), "{error}");
    }
}

#[test]
fn trailing_bytes_are_invalid() {
    for tail in ["x", "}", "{}", ",", "\0"] {
        let result = read(&format!("{CONFIGURATION}{tail}"));
        assert!(matches!(result, Err(ConfigurationError::Json(JsonError::Malformed(_)))), "{tail:?}");
    }
    read(&format!(" \r\n{CONFIGURATION}\t\n")).expect("surrounding white space is valid");
}

#[test]
fn invalid_utf_8_and_deep_nesting_are_invalid() {
    let not_text = OperatorConfiguration::read(b"{\"Version\":\"\xff\"}");
    assert_eq!(not_text, Err(ConfigurationError::Json(JsonError::NotUtf8)));
    for opening in ["[", "{", "{\"a\":"] {
        let deep = opening.repeat(100_000);
        assert_eq!(read(&deep), Err(ConfigurationError::Json(JsonError::TooDeep)));
    }
    let brackets_in_text = "[".repeat(1_000);
    still_valid("/healthz", &format!("/\\\"{brackets_in_text}"));
}

#[test]
fn unknown_service_is_invalid() {
    let unknown = ConfigurationError::UnknownService("express".into(), "nobody".into());
    assert_eq!(error(r#""Backend":"couriers""#, r#""Backend":"nobody""#), unknown);
    let other_case = ConfigurationError::UnknownService("express".into(), "Couriers".into());
    assert_eq!(error(r#""Backend":"couriers""#, r#""Backend":"Couriers""#), other_case);
}

#[test]
fn duplicate_host_and_prefix_is_invalid() {
    let same = ConfigurationError::DuplicateHostAndPrefix("letters".into(), "express".into());
    assert_eq!(error("/letters/express/", "/letters/"), same);
}

#[test]
fn zero_or_missing_timeout_is_invalid() {
    let zero = ConfigurationError::ZeroTimeout("letters".into());
    assert_eq!(error(r#""TimeoutMs":2500"#, r#""TimeoutMs":0"#), zero);
    let missing = ConfigurationError::Json(JsonError::Missing(Location::entry("Routes", 0), "TimeoutMs"));
    assert_eq!(error(r#""TimeoutMs":2500,"#, ""), missing);
    assert_eq!(error(r#""TimeoutMs":2500"#, r#""TimeoutMs":null"#), missing);
}

#[test]
fn zero_weight_is_invalid() {
    let service = ConfigurationError::ZeroWeight(Location::entry("Backends", 1));
    assert_eq!(error(r#"{"Name":"couriers"}"#, r#"{"Name":"couriers","Weight":0}"#), service);
    let route = ConfigurationError::ZeroWeight(Location::entry("Routes", 0));
    assert_eq!(error(r#""Name":"letters""#, r#""Name":"letters","Weight":0.0"#), route);
    still_valid(r#"{"Name":"couriers"}"#, r#"{"Name":"couriers","Weight":0.5}"#);
}

#[test]
fn version_zero_is_invalid() {
    assert_eq!(error(r#""Version":12"#, r#""Version":0"#), ConfigurationError::VersionZero);
}

#[test]
fn older_version_is_rejected() {
    assert_eq!(valid().check_against(13, Some(13)), Err(VersionError::NotNewer(12, 13)));
}

#[test]
fn same_version_is_rejected() {
    assert_eq!(valid().check_against(12, Some(12)), Err(VersionError::NotNewer(12, 12)));
}

#[test]
fn version_not_built_on_the_current_one_is_rejected() {
    assert_eq!(valid().check_against(7, Some(5)), Err(VersionError::NotCurrent(Some(5), 7)));
    assert_eq!(valid().check_against(7, Some(8)), Err(VersionError::NotCurrent(Some(8), 7)));
    assert_eq!(valid().check_against(7, None), Err(VersionError::NotCurrent(None, 7)));
}

#[test]
fn newer_version_built_on_the_current_one_is_accepted() {
    assert_eq!(valid().check_against(11, Some(11)), Ok(()));
    assert_eq!(valid().check_against(0, Some(0)), Ok(()));
}

#[test]
fn if_match_is_a_number_with_or_without_quotes() {
    assert_eq!(parse_if_match("5"), Ok(5));
    assert_eq!(parse_if_match(" \"70\" "), Ok(70));
    for bad in ["", "\"", "\"\"", "+5", "-1", "5.0", "five", "99999999999999999999"] {
        assert_eq!(parse_if_match(bad), Err(VersionError::BadIfMatch), "{bad}");
    }
}

#[test]
fn duplicate_names_are_invalid() {
    let route = ConfigurationError::DuplicateName(Location::entry("Routes", 1), "letters".into());
    assert_eq!(error(r#""Name":"express""#, r#""Name":"letters""#), route);
    let service = ConfigurationError::DuplicateName(Location::entry("Backends", 1), "sorting".into());
    assert_eq!(error(r#"{"Name":"couriers"}"#, r#"{"Name":"sorting"}"#), service);
}

#[test]
fn empty_names_are_invalid() {
    let route = ConfigurationError::EmptyName(Location::entry("Routes", 1));
    assert_eq!(error(r#""Name":"express""#, r#""Name":"""#), route);
    let service = ConfigurationError::EmptyName(Location::entry("Backends", 1));
    assert_eq!(error(r#"{"Name":"couriers"}"#, r#"{"Name":""}"#), service);
}

#[test]
fn missing_required_fields_are_invalid() {
    for (field, location) in [
        ("Version", Location::DOCUMENT),
        ("Routes", Location::DOCUMENT),
        ("Backends", Location::DOCUMENT),
        ("Name", Location::entry("Routes", 0)),
        ("Host", Location::entry("Routes", 0)),
        ("PathPrefix", Location::entry("Routes", 0)),
        ("Backend", Location::entry("Routes", 0)),
    ] {
        let result = error(&format!("\"{field}\":"), "\"Other\":");
        assert_eq!(result, ConfigurationError::Json(JsonError::Missing(location, field)));
    }
    let service = ConfigurationError::Json(JsonError::Missing(Location::entry("Backends", 1), "Name"));
    assert_eq!(error(r#"{"Name":"couriers"}"#, "{}"), service);
}

#[test]
fn wrong_types_are_invalid() {
    for (from, to) in [
        (r#""Version":12"#, r#""Version":"12""#),
        (r#""Version":12"#, r#""Version":12.5"#),
        (r#""Version":12"#, r#""Version":-12"#),
        (r#""Version":12"#, r#""Version":1e300"#),
        (r#""Version":12"#, r#""Version":1e999"#),
        (r#""TimeoutMs":2500"#, r#""TimeoutMs":-1"#),
        (r#""TimeoutMs":2500"#, r#""TimeoutMs":"2500""#),
        (r#""Priority":1"#, r#""Priority":-1"#),
        (r#""Priority":1"#, r#""Priority":4294967296"#),
        (r#""Stretch":2.5"#, r#""Stretch":-2.5"#),
        (r#""Host":"post.example""#, r#""Host":7"#),
        (r#""Guards":true"#, r#""Guards":"true""#),
        (r#"{"Name":"couriers"}"#, r#""couriers""#),
        (r#""MaxBodyBytes":100000"#, r#""MaxBodyBytes":"much""#),
    ] {
        let result = error(from, to);
        assert!(matches!(result, ConfigurationError::Json(JsonError::WrongType(..))), "{to}: {result}");
    }
    for text in ["null", "[]", "7", "\"text\"", r#"{"Version":1,"Routes":{},"Backends":[]}"#] {
        assert!(matches!(read(text), Err(ConfigurationError::Json(JsonError::WrongType(..)))), "{text}");
    }
}

#[test]
fn error_texts_that_quote_the_body_are_short() {
    let long_key = format!("{{[{}]:1}}", "1,".repeat(50_000) + "1");
    let error = read(&long_key).expect_err("a key that is a list is invalid");
    assert!(error.to_string().len() < 1_000);
}

quickcheck! {
    fn only_newer_versions_built_on_the_current_one_are_accepted(
        current: u64,
        builds_on: Option<u64>
    ) -> bool {
        let allowed = builds_on == Some(current) && current < 12;
        valid().check_against(current, builds_on).is_ok() == allowed
    }
}
