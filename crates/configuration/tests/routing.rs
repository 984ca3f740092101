//! Routing by host and longest path prefix.

mod documents;

use configuration::OperatorConfiguration;
use documents::CONFIGURATION;
use quickcheck::{quickcheck, TestResult};

const ID: &str = "00000000000000af";

fn example() -> OperatorConfiguration {
    OperatorConfiguration::read(CONFIGURATION.as_bytes()).expect("the example is valid")
}

/// Returns the name of the route and the rest of the path.
fn route(host: &str, path: &str) -> Option<(String, String)> {
    let configuration = example();
    let (route, rest) = configuration.route(host, path)?;
    Some((route.name.clone(), rest.to_owned()))
}

fn found(name: &str, rest: &str) -> Option<(String, String)> {
    Some((name.to_owned(), rest.to_owned()))
}

#[test]
fn longest_prefix_wins() {
    assert_eq!(route("post.example", "/letters/00af"), found("letters", "00af"));
    assert_eq!(route("post.example", "/letters/express/00af"), found("express", "00af"));
    assert_eq!(route("post.example", "/letters/expres"), found("letters", "expres"));
    assert_eq!(route("post.example", "/letters/"), found("letters", ""));
}

#[test]
fn case_and_port_of_the_host_are_ignored() {
    for host in ["post.example", "POST.example", "post.example:80", "Post.Example:8080", " post.example "] {
        assert_eq!(route(host, "/letters/"), found("letters", ""), "{host}");
    }
    for host in ["", ":", "example", "post.example.org", "apost.example", "post.example:x"] {
        assert_eq!(route(host, "/letters/"), None, "{host}");
    }
}

#[test]
fn other_paths_have_no_route() {
    for path in ["", "/", "/letters", "letters/", "/Letters/", "/lettersx/", "/other/"] {
        assert_eq!(route("post.example", path), None, "{path}");
    }
    assert_eq!(route("parcels.example", "/letters/"), None);
}

#[test]
fn prefix_without_trailing_slash_matches_only_at_a_boundary() {
    assert_eq!(route("parcels.example", "/in"), found("parcels", ""));
    assert_eq!(route("parcels.example", "/in/"), found("parcels", ""));
    assert_eq!(route("parcels.example", &format!("/in/{ID}")), found("parcels", ID));
    assert_eq!(route("parcels.example", &format!("/in{ID}")), found("parcels", ID));
    assert_eq!(route("parcels.example", "/inner"), None);
    assert_eq!(route("parcels.example", &format!("/inner/{ID}")), None);
}

#[test]
fn query_is_ignored() {
    assert_eq!(route("post.example", "/letters/00af?x=/letters/express/"), found("letters", "00af"));
    assert_eq!(route("parcels.example", "/in?x"), found("parcels", ""));
}

#[test]
fn host_may_be_an_ipv6_address() {
    let text = r#"{"Version":1,"Backends":[{"Name":"s"}],"Routes":[
        {"Name":"r","Host":"[::1]:80","PathPrefix":"/","TimeoutMs":1,"Backend":"s"}]}"#;
    let configuration = OperatorConfiguration::read(text.as_bytes()).expect("valid");
    assert!(configuration.route("[::1]", "/x").is_some());
    assert!(configuration.route("[::1]:8080", "/x").is_some());
    assert!(configuration.route("::1", "/x").is_none());
}

/// Creates a configuration with one route for each prefix.
fn with_prefixes(prefixes: &[String]) -> Option<OperatorConfiguration> {
    let routes: Vec<String> = prefixes
        .iter()
        .enumerate()
        .map(|(number, prefix)| {
            format!(
                r#"{{"Name":"r{number}","Host":"h","PathPrefix":"{prefix}","TimeoutMs":1,"Backend":"s"}}"#
            )
        })
        .collect();
    let text = format!(r#"{{"Version":1,"Backends":[{{"Name":"s"}}],"Routes":[{}]}}"#, routes.join(","));
    OperatorConfiguration::read(text.as_bytes()).ok()
}

/// Creates a path from segments of two letters, so that paths are often prefixes of each other.
fn path(shape: &[bool]) -> String {
    let mut path = String::from("/");
    for &is_first in shape.iter().take(5) {
        path.push_str(if is_first { "a/" } else { "b/" });
    }
    path
}

quickcheck! {
    fn route_has_the_longest_prefix(shapes: Vec<Vec<bool>>, request_shape: Vec<bool>) -> TestResult {
        let mut prefixes: Vec<String> = shapes.iter().map(|shape| path(shape)).collect();
        prefixes.sort();
        prefixes.dedup();
        let Some(configuration) = with_prefixes(&prefixes) else {
            return TestResult::failed();
        };
        let request_path = path(&request_shape) + ID;
        let longest = prefixes
            .iter()
            .filter(|prefix| request_path.starts_with(*prefix))
            .max_by_key(|prefix| prefix.len());
        let expected = longest.map(|prefix| (prefix.as_str(), &request_path[prefix.len()..]));
        let found = configuration
            .route("h", &request_path)
            .map(|(route, rest)| (route.path_prefix.as_str(), rest));
        TestResult::from_bool(found == expected)
    }

    fn any_host_and_path_are_routed_without_panic(host: String, path: String) -> bool {
        let configuration = example();
        configuration.route(&host, &path);
        configuration.route("post.example", &path);
        configuration.route("parcels.example", &format!("/in{path}")).is_none_or(|(_, rest)| path.contains(rest))
    }
}
