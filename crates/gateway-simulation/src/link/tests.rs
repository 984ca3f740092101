//! Tests of `link`.

use super::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn scenario() -> Scenario {
    Scenario::from_value(crate::find("calm").unwrap()).unwrap()
}

fn strike(words: &str) -> AffectedLinks {
    let (scenario, mut rng) = (scenario(), ChaCha8Rng::seed_from_u64(1));
    Link::parse(words, &scenario).unwrap().resolve(&scenario, &mut rng)
}

#[test]
fn a_line_names_the_ways_that_are_struck() {
    // Gateways and servers are of zones a, b, c in turn.
    let struck = strike("zone a except n3 -> zone b");
    assert!(struck.affects_server(0, 1, true) && !struck.affects_server(0, 1, false), "one way");
    assert!(
        !struck.affects_server(3, 1, true)
            && !struck.affects_server(0, 0, true)
            && !struck.affects_server(2, 1, true)
    );
    assert!(
        struck.affects_server(1, 0, false) && !struck.affects_server(1, 0, true),
        "a's servers do not reach b's gateways"
    );
    let struck = strike("servers <- n1, n2");
    assert!(
        struck.affects_server(1, 5, true)
            && struck.affects_server(2, 0, true)
            && !struck.affects_server(0, 0, true)
    );
    let struck = strike("gateways <-> list");
    assert!(
        struck.affects_list(7, true) && struck.affects_list(7, false) && !struck.affects_server(7, 0, true)
    );
    let struck = strike("50% of gateways -> s-4");
    let hit = (0..30).filter(|n| struck.affects_server(*n, 4, true)).count();
    assert_eq!((hit, (0..30).any(|n| struck.affects_server(n, 3, true))), (15, false));
}

#[test]
fn what_names_nobody_is_told() {
    for (words, why) in [
        ("zone a, zone b", "no arrow"),
        ("zone moon -> list", "a zone of a, b, c"),
        ("n30 -> list", "up to 29"),
        ("s-x -> n1", "up to 29"),
        ("120% of gateways -> list", "0 to 100"),
        ("moon -> list", "neither"),
    ] {
        let told = Link::parse(words, &scenario()).unwrap_err();
        assert!(told.contains(why), "{told}");
    }
}
