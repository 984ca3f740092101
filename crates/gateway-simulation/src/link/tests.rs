//! Tests of parsing and resolving links.

use super::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn scenario() -> Scenario {
    Scenario::from_value(crate::find("calm").unwrap()).unwrap()
}

fn resolve(words: &str) -> AffectedLinks {
    let (scenario, mut rng) = (scenario(), ChaCha8Rng::seed_from_u64(1));
    Link::parse(words, &scenario).unwrap().resolve(&scenario, &mut rng)
}

#[test]
fn link_text_determines_the_affected_directions() {
    // Gateways and servers are assigned to zones a, b, c in turn.
    let links = resolve("zone a except n3 -> zone b");
    assert!(links.affects_server(0, 1, true) && !links.affects_server(0, 1, false), "one way");
    assert!(
        !links.affects_server(3, 1, true)
            && !links.affects_server(0, 0, true)
            && !links.affects_server(2, 1, true)
    );
    assert!(
        links.affects_server(1, 0, false) && !links.affects_server(1, 0, true),
        "a's servers do not reach b's gateways"
    );
    let links = resolve("servers <- n1, n2");
    assert!(
        links.affects_server(1, 5, true)
            && links.affects_server(2, 0, true)
            && !links.affects_server(0, 0, true)
    );
    let links = resolve("gateways <-> list");
    assert!(links.affects_list(7, true) && links.affects_list(7, false) && !links.affects_server(7, 0, true));
    let links = resolve("50% of gateways -> s-4");
    let affected = (0..30).filter(|n| links.affects_server(*n, 4, true)).count();
    assert_eq!((affected, (0..30).any(|n| links.affects_server(n, 3, true))), (15, false));
}

#[test]
fn reports_links_that_name_nothing() {
    for (words, expected) in [
        ("zone a, zone b", "no arrow"),
        ("zone moon -> list", "a zone of a, b, c"),
        ("n30 -> list", "up to 29"),
        ("s-x -> n1", "up to 29"),
        ("120% of gateways -> list", "0 to 100"),
        ("moon -> list", "neither"),
    ] {
        let error = Link::parse(words, &scenario()).unwrap_err();
        assert!(error.contains(expected), "{error}");
    }
}
