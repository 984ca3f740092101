use super::former_modules::{current_paths, replace_former_paths};
use super::level::LEVELS;
use super::rate_limit::{TokenBucket, BURST};
use super::*;

#[test]
fn limits_lines_of_one_kind_and_counts_suppressed_lines() {
    let start = Instant::now();
    let mut bucket = TokenBucket::full(start);
    let admitted = (0..200).filter(|_| bucket.admit(start).is_some()).count();
    assert_eq!(admitted, BURST as usize);
    assert_eq!(bucket.admit(start + Duration::from_millis(150)), Some(150));
    assert_eq!(bucket.admit(start + Duration::from_millis(150)), None);
    let later = start + Duration::from_secs(3600);
    assert_eq!(
        (0..200).filter(|_| bucket.admit(later).is_some()).count(),
        BURST as usize,
        "no hoard of tokens: idle time gives at most one burst"
    );
}

#[test]
fn levels_parse_from_their_displayed_names() {
    for (name, level) in LEVELS {
        assert_eq!((name.parse(), level.to_string()), (Ok(level), name.to_string()));
    }
    let wrong = "loud".parse::<Level>().unwrap_err().to_string();
    assert!(wrong.contains("\"loud\"") && wrong.contains("debug or trace"), "{wrong}");
}

#[test]
fn former_module_path_is_mapped_by_its_first_segment() {
    let current = |path: &str| current_paths(path).map(|renamed| renamed.current);
    for (former, present) in [
        ("granitethread", "sprucehatch_gateway"),
        ("granitethread::pool", "sprucehatch_gateway::pool"),
        ("granitehub::decide::servers", "gateway_decisions::decide::servers"),
        ("granitehub_protocol", "gateway_protocol"),
        ("granitehub_registry::service", "sprucehatch_registry::service"),
        ("granitehub_adapter", "sprucehatch_simulator_adapter"),
        ("shell::log", "program_support::log"),
    ] {
        assert_eq!(current(former), Some(vec![present.to_string()]), "{former}");
    }
    for present in
        ["sprucehatch_gateway::pool", "granitethreads", "granite", "shells::log", "a::shell", "log", ""]
    {
        assert_eq!(current(present), None, "{present:?}");
    }
    // A level applies to all paths that begin with its module path.
    let crates =
        ["gateway_decisions", "gateway_protocol", "sprucehatch_registry", "sprucehatch_simulator_adapter"];
    assert_eq!(current("granitehub").unwrap(), crates);
}

#[test]
fn longest_former_path_and_current_paths_take_precedence() {
    let levels = |modules: &[(&str, Level)]| -> BTreeMap<String, Level> {
        modules.iter().map(|(module, level)| (module.to_string(), *level)).collect()
    };
    let mut modules = levels(&[
        ("granitehub", Level::Debug),
        ("granitehub_protocol", Level::Error),
        ("sprucehatch_registry", Level::Off),
        ("tokio", Level::Warn),
    ]);
    let renamed = replace_former_paths(&mut modules);
    assert_eq!(
        renamed.iter().map(|r| r.former.as_str()).collect::<Vec<_>>(),
        ["granitehub_protocol", "granitehub"]
    );
    let expected = levels(&[
        ("gateway_decisions", Level::Debug),
        ("gateway_protocol", Level::Error),
        ("sprucehatch_registry", Level::Off),
        ("sprucehatch_simulator_adapter", Level::Debug),
        ("tokio", Level::Warn),
    ]);
    assert_eq!(modules, expected);
    assert_eq!(replace_former_paths(&mut modules), [], "current paths are unchanged");
    assert_eq!(modules, expected);
}

/// Collects the lines that the log of this process writes.
#[derive(Clone, Default)]
struct Written(Arc<Mutex<Vec<u8>>>);

impl Write for Written {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(line)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Written {
    /// The lines since the last call.
    fn take(&self, log: &Log) -> Vec<String> {
        log.flush();
        let text = String::from_utf8(std::mem::take(&mut *self.0.lock().unwrap())).unwrap();
        text.lines().map(str::to_string).collect()
    }
}

fn assert_one_warning(lines: &[String], former: &str, current: &str) {
    let names = |line: &&String| line.contains(former) && line.contains(current);
    let warnings: Vec<&String> = lines.iter().filter(|line| line.contains("former name")).collect();
    assert!(matches!(warnings[..], [one] if one.contains("WARN") && names(&one)), "{former}: {lines:?}");
}

/// The only test that starts a log, since a process can have only one.
#[test]
fn former_module_paths_set_the_level_and_are_warned_about_once() {
    let (written, debug) = (Written::default(), |module: &str| Options {
        modules: BTreeMap::from([(module.to_string(), Level::Debug)]),
        ..Options::default()
    });
    let log = install(&debug("granitethread::pool"), written.clone()).expect("a log");
    tracing::debug!(target: "sprucehatch_gateway::pool", "a line of the pool");
    tracing::debug!(target: "sprucehatch_gateway::driver", "a line of the driver");
    let lines = written.take(log);
    assert_one_warning(&lines, "granitethread::pool", "sprucehatch_gateway::pool");
    assert!(lines.iter().any(|line| line.contains("a line of the pool")), "{lines:?}");
    assert!(!lines.iter().any(|line| line.contains("a line of the driver")), "{lines:?}");

    log.set_level(Some("debug"), Some("granitethread::driver")).unwrap();
    tracing::debug!(target: "sprucehatch_gateway::driver", "a line of the driver");
    let lines = written.take(log);
    assert_one_warning(&lines, "granitethread::driver", "sprucehatch_gateway::driver");
    assert!(lines.iter().any(|line| line.contains("a line of the driver")), "{lines:?}");
    let modules: Vec<String> = log.options().modules.into_keys().collect();
    assert_eq!(modules, ["sprucehatch_gateway::driver", "sprucehatch_gateway::pool"]);

    log.set_options(debug("shell::log")).unwrap();
    tracing::debug!(target: "program_support::log", "a line of the log");
    let lines = written.take(log);
    assert_one_warning(&lines, "shell::log", "program_support::log");
    assert!(lines.iter().any(|line| line.contains("a line of the log")), "{lines:?}");

    log.set_level(Some("trace"), Some("sprucehatch_gateway::pool")).unwrap();
    let lines = written.take(log);
    assert!(
        !lines.iter().any(|line| line.contains("former name")),
        "no warning about a current path: {lines:?}"
    );
    let wrong = log.set_level(Some("debug"), Some("no path")).unwrap_err().to_string();
    assert_eq!(wrong, "module is \"no path\": a path as the lines show it is wanted, 32 of them at most");
    let again = install(&Options::default(), written).err().expect("a process has one log").to_string();
    assert!(again.starts_with("cannot start the log: "), "{again}");
}
