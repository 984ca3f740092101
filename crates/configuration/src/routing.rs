//! Finds the route of a request by host and longest matching path prefix.

use crate::job_id;
use crate::route::Route;

/// Routes grouped by host. The routes of one host are ordered by the length of their prefixes, the longest
/// first.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RouteIndex {
    hosts: Vec<HostRoutes>,
}

#[derive(Debug, Clone, PartialEq)]
struct HostRoutes {
    host: String,
    /// Indices of the routes in the configuration.
    routes: Vec<usize>,
}

/// The indices of two routes with the same host and prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DuplicateHostAndPrefix {
    pub(crate) first: usize,
    pub(crate) second: usize,
}

impl RouteIndex {
    pub(crate) fn new(routes: &[Route]) -> Result<Self, DuplicateHostAndPrefix> {
        let mut order: Vec<usize> = (0..routes.len()).collect();
        order.sort_by(|&a, &b| compare(&routes[a], &routes[b]).then(a.cmp(&b)));
        for pair in order.windows(2) {
            let (first, second) = (pair[0], pair[1]);
            if compare(&routes[first], &routes[second]).is_eq() {
                return Err(DuplicateHostAndPrefix { first, second });
            }
        }
        let mut hosts: Vec<HostRoutes> = Vec::new();
        for number in order {
            let host = &routes[number].host;
            match hosts.last_mut() {
                Some(last) if last.host == *host => last.routes.push(number),
                _ => hosts.push(HostRoutes { host: host.clone(), routes: vec![number] }),
            }
        }
        Ok(RouteIndex { hosts })
    }

    /// Returns the index of the route in `routes`, which must be the routes that the index was built from,
    /// and the rest of the path after the prefix.
    pub(crate) fn find<'p>(&self, routes: &[Route], host: &str, path: &'p str) -> Option<(usize, &'p str)> {
        let host = without_port(host);
        let of_host = self.hosts.iter().find(|entry| entry.host.eq_ignore_ascii_case(host))?;
        let path = without_query(path);
        of_host.routes.iter().find_map(|&number| {
            let prefix = &routes.get(number)?.path_prefix;
            Some((number, rest_of_path(prefix, path)?))
        })
    }
}

fn compare(a: &Route, b: &Route) -> std::cmp::Ordering {
    let by_host = a.host.cmp(&b.host);
    let by_length = b.path_prefix.len().cmp(&a.path_prefix.len());
    by_host.then(by_length).then_with(|| a.path_prefix.cmp(&b.path_prefix))
}

/// Removes white space and the port from a host.
pub(crate) fn without_port(host: &str) -> &str {
    let host = host.trim();
    match host.rsplit_once(':') {
        Some((name, port)) if is_port(port) && !is_bare_ipv6(name) => name,
        _ => host,
    }
}

fn is_port(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_digit())
}

/// Whether the colons belong to an IPv6 address without brackets, so that no port follows the last one.
fn is_bare_ipv6(name: &str) -> bool {
    name.contains(':') && !name.ends_with(']')
}

fn without_query(path: &str) -> &str {
    path.split(['?', '#']).next().unwrap_or(path)
}

/// Returns the part of the path after the prefix; none if the prefix does not match. A prefix without a slash
/// at its end must not match the beginning of a longer name: it may be followed only by nothing, a slash, or
/// a job ID.
fn rest_of_path<'p>(prefix: &str, path: &'p str) -> Option<&'p str> {
    let rest = path.strip_prefix(prefix)?;
    if prefix.is_empty() || prefix.ends_with('/') || rest.is_empty() {
        return Some(rest);
    }
    if let Some(below) = rest.strip_prefix('/') {
        return Some(below);
    }
    job_id::parse(rest).ok().map(|_| rest)
}
