//! The outcome of an attempt.

use crate::backends::download::Download;
use crate::pool::connection::Unavailable;
use bytes::Bytes;
use gateway_decisions::{Ending, Load, Via};
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use serde::Deserialize;

/// The outcome of an attempt: how it ended, and the backend's answer.
pub struct Outcome {
    pub ending: Ending,
    /// The answer of a backend that served the request.
    pub served: Option<Served>,
    pub actual_units: f64,
    pub metered_share: Option<f64>,
    pub load: Option<Load>,
    /// How the attempt got its connection.
    pub via: Via,
}

/// The body of an answer: buffered, or streamed.
pub enum ServedBody {
    Buffered(Bytes),
    Stream(Box<Download>),
}

/// The answer of a backend that served its request, for the client.
pub struct Served {
    pub body: ServedBody,
    pub content_type: Option<HeaderValue>,
    pub content_encoding: Option<HeaderValue>,
}

impl Outcome {
    pub fn without_answer(ending: Ending) -> Self {
        Outcome {
            ending,
            served: None,
            actual_units: 0.0,
            metered_share: None,
            load: None,
            via: Via::Unknown,
        }
    }

    /// The outcome of an attempt without a connection: nothing was written. A cause within this gateway, such
    /// as its limits or the list, says nothing about the server.
    pub fn unconnected(why: Unavailable) -> Self {
        match why {
            Unavailable::Refused => Outcome { via: Via::Refused, ..Outcome::without_answer(Ending::NoRoute) },
            Unavailable::ConnectTimeout => Outcome::without_answer(Ending::NoRoute),
            Unavailable::NotAccepting | Unavailable::AtCapacity | Unavailable::OutOfDescriptors => {
                Outcome::without_answer(Ending::Stale)
            }
        }
    }
}

/// Derives the outcome from the head of an answer; `body` is present if the status was 200 and its body could
/// be read or streamed.
pub fn outcome(head: &Parts, body: Option<ServedBody>) -> Outcome {
    let headers = &head.headers;
    let status = head.status.as_u16();
    let not_started = headers.get("not-started").is_some_and(|v| v == "1");
    let ending = match status {
        200 => Ending::Pass,
        503 | 504 if not_started => Ending::Full,
        _ => Ending::Fault,
    };
    let number = |name: &str| {
        let text = headers.get(name)?.to_str().ok()?;
        text.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0)
    };
    let (settled, metered, load) =
        (number("billed-units"), number("usage-percent"), headers.get("server-load").and_then(parse_load));
    let served = body.filter(|_| ending == Ending::Pass).map(|body| Served {
        content_type: headers.get("content-type").cloned(),
        content_encoding: headers.get("content-encoding").cloned(),
        body,
    });
    Outcome {
        ending,
        actual_units: settled.filter(|_| served.is_some()).unwrap_or(0.0),
        metered_share: metered.map(|percent| percent / 100.0),
        load,
        served,
        via: Via::Unknown,
    }
}

fn parse_load(report: &HeaderValue) -> Option<Load> {
    #[derive(Deserialize)]
    struct Report {
        inflight: Option<f64>,
        queue: Option<f64>,
        latency_ms: Option<f64>,
    }
    let r: Report = serde_json::from_slice(report.as_bytes()).ok()?;
    Some(Load { inflight: r.inflight, queue: r.queue, latency_ms: r.latency_ms })
}
