//! Reading of the settings file of a process.

mod documents;

use std::net::Ipv4Addr;
use std::path::PathBuf;

use configuration::{
    Bounds, JsonError, Location, OrderDelivery, ProcessLimits, ProcessSettings, SettingsError,
};
use documents::{changed, SETTINGS};

const MINIMUM: &str = r#"{"NodeId":"n","Ip":"10.0.0.1","PortRange":[1,1]}"#;

fn valid(text: &str) -> ProcessSettings {
    ProcessSettings::read(text).unwrap_or_else(|error| panic!("{text}: {error}"))
}

fn error(from: &str, to: &str) -> SettingsError {
    ProcessSettings::read(&changed(SETTINGS, from, to)).expect_err("the change makes it invalid")
}

#[test]
fn every_field_is_read() {
    let settings = valid(SETTINGS);
    assert_eq!((settings.node_id.as_str(), settings.role.as_str()), ("core-a-1", "control"));
    assert_eq!((settings.machine_class.as_str(), settings.serves.len()), ("core", 1));
    assert_eq!(settings.ip, Ipv4Addr::new(10, 9, 0, 5));
    assert_eq!((settings.zone.as_str(), settings.region.as_str()), ("a", "north"));
    assert_eq!(settings.zones.get("b").map(String::as_str), Some("south"));
    assert_eq!(settings.listen.control.map(|address| address.port()), Some(9000));
    assert_eq!((settings.listen.clients, settings.listen.readiness), (None, None));
    assert_eq!(settings.port_range, 7000..=7015);
    assert_eq!(settings.seed_nodes.len(), 2);
    assert!(settings.bootstrap && settings.counts_for_quorum);
    let limits = ProcessLimits {
        cpu_share: 0.3,
        cores: 2.0,
        memory_mb: 200,
        max_file_descriptors: 4000,
        bandwidth_mbps: 500.5,
        disk_mb: 64,
    };
    assert_eq!(settings.limits, limits);
    assert_eq!(settings.data_directory, Some(PathBuf::from("/data/control")));
    assert_eq!((settings.discovery.as_str(), settings.entry.as_str()), ("cloud_api", "vip"));
    assert_eq!((settings.heartbeat_ms, settings.invariants.len()), (1200, 2));
    let tolerance = settings.fault_tolerance;
    assert_eq!((tolerance.machines, tolerance.zones, tolerance.regions), (2, 1, 0));
    assert_eq!(settings.order_delivery, OrderDelivery::Calls);
    let cloud = settings.cloud_api.expect("a platform");
    assert_eq!((cloud.address.port(), cloud.rate_per_s, cloud.lag_ms), (8000, 20.5, 900));
    assert!(cloud.duties.is_empty());
}

#[test]
fn bounds_are_read_in_milliseconds_and_have_defaults() {
    let expected = Bounds {
        seed_lag_ms: 2_500,
        contact_ms: 3_100,
        grace_ms: 7_000,
        max_worker_lease_ms: 5_000,
        far_factor: 3.0,
        save_ms: 1_000,
        ..Bounds::default()
    };
    assert_eq!(valid(SETTINGS).bounds, expected);
    assert_eq!(valid(MINIMUM).bounds, Bounds::default());
}

#[test]
fn optional_fields_may_be_empty_null_or_missing() {
    let missing = valid(MINIMUM);
    assert!(!missing.bootstrap && !missing.counts_for_quorum);
    assert_eq!((&missing.data_directory, &missing.cloud_api), (&None, &None));
    let null = valid(
        r#"{"NodeId":"n","Ip":"10.0.0.1","PortRange":[1,1],"Serves":null,"Zones":null,"ListenAddrs":null,
            "SeedNodes":null,"Bootstrap":null,"Limits":null,"DataDir":null,"Discovery":null,"HeartbeatMs":null,
            "Invariants":null,"FaultTolerance":null,"Bounds":null,"Commands":null,"CloudApi":null}"#,
    );
    assert_eq!(null, missing);
    let empty = valid(
        r#"{"NodeId":"n","Ip":"10.0.0.1","PortRange":[1,1],"Serves":[],"Zones":{},"ListenAddrs":{"Front":""},
            "SeedNodes":[],"DataDir":"","Discovery":"","Entry":"","Invariants":[],"FaultTolerance":{},"Bounds":{},
            "Limits":{},"Commands":"","CloudApi":{"Address":""},"Unknown":[{"a":1}]}"#,
    );
    assert_eq!(empty, missing);
}

#[test]
fn order_delivery_is_read_and_unknown_values_are_errors() {
    let settings = valid(&changed(SETTINGS, r#""Commands":"rpc""#, r#""Commands":"heartbeat""#));
    assert_eq!(settings.order_delivery, OrderDelivery::Heartbeats);
    let unknown = error(r#""Commands":"rpc""#, r#""Commands":"post""#);
    assert_eq!(unknown, SettingsError::UnknownOrderDelivery("post".into()));
}

#[test]
fn missing_required_fields_are_errors() {
    for field in ["NodeId", "Ip", "PortRange"] {
        let result = error(&format!("\"{field}\":"), "\"Other\":");
        assert_eq!(result, SettingsError::Json(JsonError::Missing(Location::DOCUMENT, field)));
    }
}

#[test]
fn invalid_addresses_and_ports_are_errors() {
    for (from, to) in [
        (r#""Ip":"10.9.0.5""#, r#""Ip":"here""#),
        (r#""Control":"10.9.0.5:9000""#, r#""Control":"10.9.0.5""#),
        (r#""10.9.1.5:9000""#, r#""10.9.1.5:99999""#),
        (r#""10.200.0.9:8000""#, r#""cloud:8000""#),
    ] {
        assert!(matches!(error(from, to), SettingsError::BadAddress(..)), "{to}");
    }
    for range in ["[]", "[7000]", "[7015,7000]", "[7000,65536]", "[1,2,3]", r#"["7000","7015"]"#, "[-1,5]"] {
        assert_eq!(error("[7000,7015]", range), SettingsError::BadPortRange, "{range}");
    }
}

#[test]
fn truncated_file_is_an_error() {
    for length in 0..SETTINGS.len() {
        let result = ProcessSettings::read(&SETTINGS[..length]);
        assert!(
            matches!(result, Err(SettingsError::Json(JsonError::Malformed(_)))),
            "truncated to {length} bytes"
        );
    }
}
