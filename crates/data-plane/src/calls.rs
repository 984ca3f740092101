//! Parses the head and the body of a client's HTTP request into a request to forward.

use crate::upstream::ForwardRequest;
use bytes::Bytes;
use configuration::{job_body, job_id, JobError};
use hyper::header::{HeaderName, HOST};
use hyper::http::request::Parts;
use hyper::Method;
use messages::peer::mod_ClientRequest::OneOfcall;
use messages::peer::{CancelRequest, CountRequest, ReadRequest, SubmitRequest};
use quick_error::quick_error;
use std::time::Instant;

/// Header that holds the client's timeout in milliseconds.
const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Timeout of a request without the timeout header, in milliseconds.
const DEFAULT_CLIENT_TIMEOUT_MS: u32 = 3_000;
/// Upper limit of a client's timeout, in milliseconds; a longer one is reduced to this.
const MAX_CLIENT_TIMEOUT_MS: u32 = 60_000;
/// Maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 262_144;
/// Estimated memory that a request takes besides its path and body, in bytes.
const REQUEST_OVERHEAD_BYTES: usize = 1_024;
/// Upper bound of the memory that a job takes for each byte of its body, in bytes.
const JOB_BYTES_PER_BODY_BYTE: usize = 4;

quick_error! {
    /// Why a request is not forwarded.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CallError {
        /// The path names neither a job nor a queue.
        NoJobPath {
            display("no job can stand here: the path must be a queue's prefix, followed by 16 hex digits in lower case")
        }
        /// The method is not supported.
        Method {
            display("the method is not served: use GET, POST or DELETE")
        }
        /// The body is not a valid job.
        Job(error: JobError) {
            from()
            display("{error}")
        }
        /// The body is longer than `MAX_BODY_BYTES`.
        BodyTooLong {
            display("the body is over {MAX_BODY_BYTES} bytes: split the job into several")
        }
        /// The body was not received completely within its timeout.
        BodyLate {
            display("the body did not come in time: send the request again")
        }
        /// The connection failed while the body was being received.
        BodyBroken(reason: String) {
            display("the body cannot be read ({reason}): send the request again")
        }
    }
}

/// The call that a request's method and path select.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Submit the job that the body describes.
    Submit(u64),
    /// Read the job's state.
    Read(u64),
    /// Cancel the job.
    Cancel(u64),
    /// Count the pending jobs of a queue.
    Count,
}

/// The parsed head of a request to forward.
#[derive(Debug)]
pub struct RequestHead {
    /// The call that the method and the path select.
    pub call: Call,
    /// The client's timeout in milliseconds, counted from `arrived`.
    timeout_ms: u32,
    arrived: Instant,
    host: String,
    path: String,
}

impl RequestHead {
    /// Parses a head.
    ///
    /// # Errors
    ///
    /// The path names neither a job nor a queue, or the method is not supported.
    pub fn read(head: &Parts) -> Result<Self, CallError> {
        let path = head.uri.path();
        Ok(RequestHead {
            call: read_call(&head.method, path)?,
            timeout_ms: timeout_ms(head),
            arrived: Instant::now(),
            host: host(head).to_owned(),
            path: path.to_owned(),
        })
    }

    /// Builds the request to forward. `body` is parsed only for a submit.
    ///
    /// # Errors
    ///
    /// The body of a submit is not a valid job.
    pub fn into_request(self, body: &Bytes) -> Result<ForwardRequest, CallError> {
        let call = match self.call {
            Call::Submit(id) => {
                let job = job_body::read(body)?;
                OneOfcall::submit(SubmitRequest { id, job: Some(job) })
            }
            Call::Read(id) => OneOfcall::read(ReadRequest { id }),
            Call::Cancel(id) => OneOfcall::cancel(CancelRequest { id }),
            Call::Count => OneOfcall::count(CountRequest {}),
        };
        let size_bytes = REQUEST_OVERHEAD_BYTES + self.path.len() + body.len() * JOB_BYTES_PER_BODY_BYTE;
        let elapsed_ms = u32::try_from(self.arrived.elapsed().as_millis()).unwrap_or(u32::MAX);
        let timeout_ms = self.timeout_ms.saturating_sub(elapsed_ms).max(1);
        Ok(ForwardRequest { host: self.host, path: self.path, timeout_ms, call, size_bytes })
    }
}

fn read_call(method: &Method, path: &str) -> Result<Call, CallError> {
    let name = path.rsplit_once('/').map_or("", |(_, last)| last);
    let id = job_id::parse(name);
    match (method, id) {
        (&Method::POST, Ok(id)) => Ok(Call::Submit(id)),
        (&Method::GET, Ok(id)) => Ok(Call::Read(id)),
        (&Method::DELETE, Ok(id)) => Ok(Call::Cancel(id)),
        (&Method::GET, Err(_)) if name.is_empty() => Ok(Call::Count),
        (&Method::POST | &Method::GET | &Method::DELETE, Err(_)) => Err(CallError::NoJobPath),
        _ => Err(CallError::Method),
    }
}

fn timeout_ms(head: &Parts) -> u32 {
    let text = head.headers.get(TIMEOUT_HEADER).and_then(|value| value.to_str().ok());
    let client_timeout_ms = text.and_then(|text| text.trim().parse::<u64>().ok());
    let client_timeout_ms = client_timeout_ms.unwrap_or(u64::from(DEFAULT_CLIENT_TIMEOUT_MS));
    u32::try_from(client_timeout_ms).unwrap_or(MAX_CLIENT_TIMEOUT_MS).clamp(1, MAX_CLIENT_TIMEOUT_MS)
}

/// Returns the host of the request URI or of the `Host` header, without the port.
fn host(head: &Parts) -> &str {
    if let Some(host) = head.uri.host() {
        return host;
    }
    let value = head.headers.get(HOST).and_then(|value| value.to_str().ok()).unwrap_or("");
    value.split_once(':').map_or(value, |(host, _port)| host)
}
