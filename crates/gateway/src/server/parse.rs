//! Parsing of the headers of a client's request.

use crate::backends::outgoing::Outgoing;
use crate::bodies::RequestBody;
use crate::driver::request::ClientRequest;
use crate::driver::Driver;
use bytes::Bytes;
use gateway_decisions::Effect;
use hyper::header::{HeaderMap, CONTENT_TYPE, HOST};
use hyper::http::request::Parts;
use hyper::Method;
use std::time::Duration;
use tokio::time::Instant;

/// Customer ids are below this.
const CUSTOMER_ID_LIMIT: u64 = 1 << 33;

/// Parses a request's headers. Returns None if one is missing or malformed, or if the method does not match
/// the class.
pub fn parse(driver: &Driver, head: Parts, empty: bool) -> Option<ClientRequest> {
    let h = &head.headers;
    let class_name = text(h, "request-class")?;
    let class = driver.classes.iter().position(|(name, ..)| name == class_name)?;
    let (_, effect, longest) = driver.classes[class];
    let keyed = h.contains_key("idempotency-key");
    let fits = match effect {
        Effect::Safe => head.method == Method::GET && empty,
        Effect::Keyed => head.method == Method::POST && keyed,
        Effect::Unsafe => head.method == Method::POST && !keyed,
    };
    if !fits {
        return None;
    }
    let plan_name = text(h, "plan")?;
    let plan = driver.plans.iter().position(|name| name == plan_name)?;
    let account = text(h, "account")?;
    hex(account).filter(|a| *a < CUSTOMER_ID_LIMIT)?;
    let timeout = client_timeout(text(h, "request-timeout")?)?.min(longest);
    let Quota { units, spread } = quota(driver, text(h, "quota-info")?)?;
    Some(ClientRequest {
        id: hex(text(h, "request-id")?)?,
        class,
        plan,
        customer: account.into(),
        arrived: Instant::now(),
        timeout,
        units,
        spread,
        is_retry: h.get("client-retry").is_some_and(|v| v == "1"),
        outgoing: Outgoing {
            request_id: h.get("request-id")?.clone(),
            idempotency_key: h.get("idempotency-key").cloned(),
            content_type: h.get(CONTENT_TYPE).cloned(),
            host: h.get(HOST)?.clone(),
            method: head.method,
            // A roll server is not a proxy: it gets only path and query, even if the client sent an absolute
            // URI.
            uri: head.uri.into_parts().path_and_query?.into(),
            // The body is read later.
            body: RequestBody::Buffered(Bytes::new()),
            wait: timeout,
        },
    })
}

/// Parses the client's timeout, in seconds.
fn client_timeout(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok().filter(|timeout| !timeout.is_zero())
}

/// The quota information of a request.
struct Quota {
    /// The cost of the request.
    units: f64,
    /// The number of gateways over which the client spreads its requests.
    spread: u32,
}

/// Parses `units=U, spread=S, first=F`. Returns None if a part is missing, malformed or out of range.
fn quota(driver: &Driver, text: &str) -> Option<Quota> {
    let field = |key: &str| text.split(',').find_map(|f| f.trim().strip_prefix(key)?.strip_prefix('='));
    let units: f64 = field("units")?.parse().ok()?;
    let spread: u32 = field("spread")?.parse().ok()?;
    let first: u32 = field("first")?.parse().ok()?;
    // Values that no legitimate client sends would distort the engine's estimates for all requests.
    let most = if driver.max_units > 0.0 { driver.max_units } else { f64::MAX };
    let gateways = driver.gateways;
    let in_range = units > 0.0 && units <= most && (1..=gateways).contains(&spread) && first < gateways;
    in_range.then_some(Quota { units, spread })
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parses 16 hex digits.
fn hex(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    if digits {
        u64::from_str_radix(text, 16).ok()
    } else {
        None
    }
}
