use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde::Deserialize;
use serde_json::json;
use std::collections::BTreeMap;

#[derive(Debug, Deserialize, JsonSchema, PartialEq)]
struct File {
    /// Where.
    listen: String,
    #[serde(default)]
    pool: Option<Pool>,
    #[serde(default)]
    #[schemars(length(max = 3))]
    zones: Vec<String>,
    #[schemars(length(min = 1))]
    plans: Vec<Plan>,
    #[serde(default)]
    levels: BTreeMap<String, Level>,
}

#[derive(Debug, Deserialize, JsonSchema, PartialEq, Default)]
#[serde(default)]
struct Pool {
    #[schemars(range(min = 1, max = 100))]
    per_server: Option<u32>,
    idle_ms: u64,
    warm: bool,
}

#[derive(Debug, Deserialize, JsonSchema, PartialEq)]
struct Plan {
    #[schemars(length(min = 1, max = 8))]
    name: String,
    #[schemars(range(min = 0.0, max = 10.0))]
    rate: f64,
    #[serde(default)]
    level: Option<Level>,
}

/// With words that have a comment of their own, and words that have none.
#[derive(Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(rename_all = "lowercase")]
enum Level {
    /// Little.
    Low,
    High,
    Off,
}

fn good() -> Value {
    json!({"listen": "a:1", "pool": {"per_server": 5, "idle_ms": 7, "warm": true}, "zones": ["x", "y"],
        "plans": [{"name": "basic", "rate": 2, "level": "low"}, {"name": "more", "rate": 0.5}],
        "levels": {"a::b": "high"}})
}

fn wrong(value: &Value) -> Vec<String> {
    check(&schema::<File>(), value, UnknownKeys::Rejected).map_or_else(|w| w.0, |()| Vec::new())
}

#[test]
fn reports_all_errors_at_once_with_key_value_and_range() {
    assert_eq!(wrong(&good()), Vec::<String>::new());
    let bad = json!({"pool": {"per_server": 0, "idle_ms": -1, "warm": "yes", "fast": 1}, "zones": ["a", "b", "c", "d"],
        "plans": [{"name": "", "rate": 11.5, "level": "middle"}, {"rate": "much"}, 5], "levels": {"odd\nname": "loud"}});
    let mut errors = wrong(&bad);
    errors.sort();
    let words = r#""high" or "off" or "low""#;
    assert_eq!(
        errors,
        [
            &format!(r#"levels."odd\nname" is "loud": {words} is wanted"#),
            r#"listen is missing: a text is wanted"#,
            r#"plans[0].level is "middle": "high" or "off" or "low" is wanted"#,
            r#"plans[0].name is "": a text with a length from 1 to 8 is wanted"#,
            r#"plans[0].rate is 11.5: a number from 0.0 to 10.0 is wanted"#,
            r#"plans[1].name is missing: a text with a length from 1 to 8 is wanted"#,
            r#"plans[1].rate is "much": a number from 0.0 to 10.0 is wanted"#,
            r#"plans[2] is 5: a table is wanted"#,
            r#"pool.fast is no key here: idle_ms, per_server, warm are"#,
            r#"pool.idle_ms is -1: a whole number from 0 to 9223372036854775807 is wanted"#,
            r#"pool.per_server is 0: a whole number from 1 to 100 is wanted"#,
            r#"pool.warm is "yes": true or false is wanted"#,
            r#"zones is ["a","b","c","d"]: a list with a length of at most 3 is wanted"#,
        ]
    );
    assert_eq!(wrong(&json!([1])), ["the whole is [1]: a table is wanted"]);
    let lenient = check(
        &schema::<File>(),
        &json!({"listen": "a", "plans": [{"name": "n", "rate": 1}], "x": 1}),
        UnknownKeys::Ignored,
    );
    assert_eq!(lenient, Ok(()), "unknown keys of the platform are ignored");
}

/// Generates variants of a valid configuration in which parts are replaced, removed or added.
fn changed() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        prop_oneof![
            Just(-1i64),
            Just(0),
            Just(1),
            Just(100),
            Just(101),
            Just(u32::MAX as i64 + 1),
            any::<i64>()
        ]
        .prop_map(Value::from),
        prop_oneof![Just(0.5), Just(9.75), Just(10.5), -1e3..1e3f64].prop_map(Value::from),
        "[a-z]{0,10}".prop_map(Value::from),
        prop_oneof![Just("low"), Just("off"), Just("High")].prop_map(Value::from),
        Just(json!({})),
        Just(json!([])),
        Just(json!([{"name": "x", "rate": 1}])),
    ];
    const PLACES: &[&str] = &[
        "/listen",
        "/pool",
        "/pool/per_server",
        "/pool/idle_ms",
        "/pool/warm",
        "/zones",
        "/zones/1",
        "/plans",
        "/plans/0",
        "/plans/0/name",
        "/plans/1/rate",
        "/plans/0/level",
        "/levels",
        "/levels/a::b",
        "",
    ];
    let change = (prop::sample::select(PLACES), leaf, any::<bool>(), any::<bool>());
    prop::collection::vec(change, 0..4).prop_map(|changes| {
        let mut value = good();
        for (place, to, remove, add) in changes {
            let (parent, key) = place.rsplit_once('/').unwrap_or_default();
            match value.pointer_mut(parent) {
                Some(Value::Object(table)) if remove => drop(table.remove(key)),
                Some(Value::Object(table)) if add => drop(table.insert(format!("{key}x"), to)),
                _ => drop(value.pointer_mut(place).map(|at| *at = to)),
            }
        }
        value
    })
}

fn run<T: std::fmt::Debug>(values: impl Strategy<Value = T>, test: impl Fn(T)) {
    let config = Config { cases: 3000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let result = runner.run(&values, |value| {
        test(value);
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("{e}"));
}

/// The check must accept the same values as a complete JSON schema validator, and the types must accept all
/// of them.
#[test]
fn check_agrees_with_the_schema_validator_and_the_types() {
    let schema = schema::<File>();
    let validator = jsonschema::validator_for(schema.as_value()).expect("a schema");
    let (good, bad) = (std::cell::Cell::new(0), std::cell::Cell::new(0));
    run(changed(), |value| {
        let passes = check(&schema, &value, UnknownKeys::Ignored).is_ok();
        assert_eq!(passes, validator.is_valid(&value), "{value}");
        if passes {
            good.set(good.get() + 1);
            if let Err(e) = File::deserialize(&value) {
                panic!("{e}: {value}");
            }
        } else {
            bad.set(bad.get() + 1);
        }
    });
    assert!(good.get() > 300 && bad.get() > 300, "{good:?} {bad:?}");
}

#[test]
fn file_overrides_the_defaults_and_errors_name_the_file() {
    let defaults = "listen = \"a:1\"\nzones = [\"x\"]\n[pool]\nidle_ms = 5\nwarm = true\n";
    let text = "zones = []\n[pool]\nidle_ms = 6\n[[plans]]\nname = \"n\"\nrate = 1\n";
    let loaded = from_text::<File>(text.as_bytes(), FileFormat::Toml, defaults).unwrap();
    assert_eq!(loaded.settings.pool, Some(Pool { per_server: None, idle_ms: 6, warm: true }));
    assert_eq!((loaded.settings.listen.as_str(), loaded.settings.zones.len()), ("a:1", 0));
    let broken = from_text::<File>(b"zones = []\n[pool\n", FileFormat::Toml, defaults).err().unwrap();
    assert!(broken.0[0].starts_with("line 2: "), "{broken}");
    let wrong = load::<File>(Path::new("/nowhere/a.toml"), "").err().unwrap();
    assert!(wrong.0[0].starts_with("/nowhere/a.toml: No such file"), "{wrong}");
    for odd in ["listen = nan", "listen = 1979-05-27", "listen = inf", "listen = \"a\"\nlisten = \"b\""] {
        assert!(from_text::<File>(odd.as_bytes(), FileFormat::Toml, "").is_err(), "{odd}");
    }
    let many = load::<File>(Path::new("/"), "").err().unwrap();
    assert_eq!(many.0, ["/: not a file"]);
}

#[test]
fn lists_differences_by_key() {
    let mut after = good();
    after["pool"]["idle_ms"] = 8.into();
    after["zones"] = json!([]);
    after["levels"] = json!({"c": "low"});
    let listed = differences(&good(), &after);
    assert_eq!(listed, [r#"levels."a::b""#, "levels.c", "pool.idle_ms", "zones"]);
    assert!(differences(&good(), &good()).is_empty());
}
