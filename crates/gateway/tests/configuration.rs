//! Random TOML files: a gateway starts with every file that passes the check, and a running gateway ignores
//! every file that does not.

use gateway_test_support::{ask, file, list, Backend, Discovery, Gateway, Setup};
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};
use sprucehatch_gateway::{config, Config, Host};
use std::cell::{Cell, RefCell};
use std::fs;
use std::time::Duration;

/// Values of a key: mostly valid ones, including the bounds, and some that are out of range or of another
/// type.
fn value(good: &'static [&'static str], bad: &'static [&'static str]) -> impl Strategy<Value = &'static str> {
    prop_oneof![24 => prop::sample::select(good), 1 => prop::sample::select(bad)]
}

const TIME: &[&str] = &["0", "1", "2_000_000", "86_400_000_000_000"];
const NO_TIME: &[&str] = &["-1", "86_400_000_000_001", "0.5", "\"soon\"", "nan"];
const RATE: &[&str] = &["0", "0.01", "1000", "1e9"];
const NO_RATE: &[&str] = &["-0.1", "inf", "nan", "true", "1e10"];

/// A random configuration file.
fn files() -> impl Strategy<Value = String> {
    let head = (
        value(&["\"127.0.0.1:0\""], &["\"nowhere\"", "5", "\"127.0.0.1\""]),
        value(&["[]", "[\"127.0.0.1:1\"]"], &["[5]", "[\"x\"]", "\"127.0.0.1:1\""]),
        value(&["\"0\"", "\"ffffffffffffffff\""], &["\"\"", "\"g\"", "\"10000000000000000\"", "7"]),
        value(&["\"\"", "\"n 1/ü\\n\"", "\"n\""], &["1979-05-27", "{}"]),
        value(&["80", "1024", "1_048_576"], &["79", "1_048_577", "-1"]),
        value(&["16", "64"], &["0", "1.5"]),
        value(&["\"debug\"", "\"info\""], &["\"loud\"", "1"]),
        value(&["idle_ms = 1", "per_server = 100_000", ""], &["idle_ms = 0", "idle = 5", "per_server = []"]),
    );
    let settings = (
        value(&["0", "4294967295"], &["-1", "4294967296"]),
        value(&["1", "100_000"], &["0", "100_001"]),
        value(&["\"automatic\"", "\"subscribe\""], &["\"asked\""]),
        value(&["0", "1_000_000_000"], &["1_000_000_001"]),
        value(TIME, NO_TIME),
        value(&["1_000_000", "86_400_000_000_000"], &["999_999", "[]"]),
        value(&["1", "100"], &["0", "101"]),
        value(TIME, NO_TIME),
        value(&["0", "0.2", "1"], &["1.1", "-1"]),
        value(&["0", "3.0"], &["1001"]),
    );
    let rest = (
        value(RATE, NO_RATE),
        value(RATE, NO_RATE),
        value(&["1", "86_400_000_000_000"], &["0", "-5"]),
        value(&["\"safe\"", "\"keyed\"", "\"unsafe\""], &["\"Safe\""]),
        value(&["\"quote\"", "\"ü\\t\""], &["\"\""]),
    );
    (head, settings, rest).prop_map(|(h, s, r)| {
        format!(
            "listen = {}\ndiscovery = \"DISCOVERY\"\ndiscovery_fallbacks = {}\nseed = {}\nname = {}\n\
             [limits]\nsockets = {}\nmemory_mb = {}\n[log]\nlevel = {}\n[pool]\n{}\n\
             [settings]\nme = {}\nsiblings = {}\ndiscovery = {}\ntick = {}\n\
             [settings.limits]\nkeepalive = {}\nconnect_timeout = {}\ntry_limit = {}\n\
             [settings.obligations]\ncold = {}\ncold_from = {}\nfall_multiple = {}\n\
             [[settings.plans]]\nname = \"basic\"\nquota_rate = {}\ndepth = {}\nvalue_factor = 1\n\
             [[settings.services]]\nname = {}\non_time = {}\ndeadline = 2_500_000_000\neffect = {}\npoints = 1\n",
            h.0, h.1, h.2, h.3, h.4, h.5, h.6, h.7, s.0, s.1, s.2, s.3, s.4, s.5, s.6, s.7, s.8, s.9, r.0, r.1, r.4, r.2, r.3
        )
    })
}

fn run(cases: u32, test: impl Fn(String)) {
    // A failing case waits for a log line, so shrinking would take too long.
    let config = Cases { cases, max_shrink_iters: 0, failure_persistence: None, ..Cases::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let result = runner.run(&files(), |text| {
        test(text);
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("{e}"));
}

fn load(text: &str) -> Result<Config, String> {
    let path = file("toml", &text.replace("DISCOVERY", "127.0.0.1:1"));
    let config = config::load(&path, |_| None).map_err(|wrong| wrong.to_string());
    fs::remove_file(path).expect("the file exists");
    config
}

/// Starts a gateway, accepts a connection and ends.
async fn run_briefly(config: Config) {
    let host = Host::start(config, None).await.expect("a valid configuration starts");
    let address = host.clients().expect("an address");
    let asks = async move {
        let stream = tokio::net::TcpStream::connect(address).await.expect("the gateway accepts");
        stream.writable().await.expect("the connection is open");
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    host.serve(asks).await.expect("the gateway ends without error");
}

#[test]
fn valid_configuration_starts_a_gateway() {
    let (good, bad) = (Cell::new(0), Cell::new(0));
    run(400, |text| match load(&text) {
        Err(_) => bad.set(bad.get() + 1),
        Ok(config) => {
            good.set(good.get() + 1);
            // The drain takes half a second: only a few gateways run completely, the others only start.
            let complete = good.get() % 20 == 0;
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build_local(Default::default());
            runtime.expect("an event loop").block_on(async {
                match complete {
                    true => run_briefly(config).await,
                    false => drop(Host::start(config, None).await.expect("a valid configuration starts")),
                }
            });
        }
    });
    assert!(good.get() > 50 && bad.get() > 50, "{good:?} started, {bad:?} rejected");
}

#[test]
fn reload_ignores_invalid_configuration() {
    let backend = Backend::good();
    let discovery = Discovery::new(list(1, true, &[("s-1", backend.address, "Ready")]));
    let gateway = Gateway::with(&discovery, Setup::default());
    discovery.wait_for_calls(2);
    let valid = gateway.configuration();
    let (good, bad) = (Cell::new(0), Cell::new(0));
    // The gateway closes connections that stay unused, so this one is used at once and after each reload.
    let client = RefCell::new(gateway.client());
    let assert_client_is_served = |after: &str| {
        assert_eq!(client.borrow_mut().ask(&ask("quote").text()).status(), 200, "after {after}");
    };
    assert_client_is_served("the start");
    // The gateway's file has the platform's JSON form, for which the same checks report invalid values; its
    // name ends in .json.
    let at = format!("\"{}\"", discovery.address);
    for (from, to) in [
        ("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"x\""),
        ("\"memory_mb\":192", "\"memory_mb\":\"x\""),
        ("\"tick\":2000000", "\"tick\":-1"),
        ("\"pool\":{}", "\"pool\":{\"idle_ms\":0}"),
        ("\"log\":{}", "\"log\":{\"level\":\"loud\"}"),
        ("\"effect\":\"keyed\"", "\"effect\":\"kept\""),
        (at.as_str(), "\"nowhere\""),
        ("}]}}", "}]}"),
    ] {
        let changed = valid.replace(from, to);
        assert_ne!(changed, valid, "{from}");
        gateway.reconfigure(&changed);
        gateway.wait_for_log_line("the old one stands");
        assert_client_is_served(to);
    }
    let toml = Gateway::with(&discovery, Setup { toml: Some(TOML.to_string()), ..Setup::default() });
    run(40, |text| {
        let passes = load(&text).is_ok();
        let count = if passes { &good } else { &bad };
        count.set(count.get() + 1);
        toml.reconfigure(&text.replace("DISCOVERY", &discovery.address.to_string()));
        toml.wait_for_log_line(if passes { "configuration read again" } else { "the old one stands" });
        assert_client_is_served(&text);
    });
    assert!(good.get() > 5 && bad.get() > 5, "{good:?} applied, {bad:?} rejected");
    assert_client_is_served("all reloads");
    assert_eq!(toml.client().ask(&ask("quote").text()).status(), 200);
}

const TOML: &str = r#"
listen = "127.0.0.1:0"
discovery = "DISCOVERY"
[[settings.plans]]
name = "basic"
quota_rate = 1000
depth = 1000
value_factor = 1
[[settings.services]]
name = "quote"
on_time = 600_000_000
deadline = 2_500_000_000
effect = "safe"
points = 3
"#;
