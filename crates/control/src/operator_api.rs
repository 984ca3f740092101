//! The operator's API, served by `dropshot`.
//!
//! Bodies are read as untyped bytes, so that the leader validates and stores them exactly as they were sent.

use crate::event_queue::EventSender;
use crate::events::{DriverEvent, OperatorCall, OperatorReply, OperatorRequest};
use crate::http_api::{json, json_error, ApiContext, REPLY_TIMEOUT};
use configuration::VersionError;
use dropshot::{
    endpoint, ApiDescription, ApiDescriptionRegisterError, Body, BuildError, ConfigDropshot, HandlerTaskMode,
    HttpError, HttpServer, RequestContext, ServerBuilder, UntypedBody,
};
use hyper::header::{IF_MATCH, LOCATION};
use hyper::{Response, StatusCode};
use quick_error::quick_error;
use std::net::SocketAddr;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Maximum size of a request body. Hundreds of routes need only a small part of it.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
const CONFIG_PATH: &str = "/v1/config";

quick_error! {
    /// Why the operator's API cannot be served.
    #[derive(Debug)]
    pub enum ApiError {
        /// A route cannot be registered.
        Route(error: ApiDescriptionRegisterError) {
            from()
            display("the operator's API cannot be described ({error}): this is a bug in the program")
        }
        /// The server cannot start.
        Start(error: Box<BuildError>) {
            display("the operator's API cannot be served ({error}): check that the Control address is free and belongs to this machine")
        }
    }
}

/// Serves the API at `address`; calls are sent to the driver through `events`.
///
/// # Errors
///
/// Fails if a route cannot be registered, which is a bug in this program, or if the address cannot be bound.
pub fn serve(address: SocketAddr, events: EventSender) -> Result<HttpServer<ApiContext>, ApiError> {
    let mut api = ApiDescription::new();
    api.register(put_configuration)?;
    api.register(get_configuration)?;
    crate::admin::register(&mut api)?;
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let server = ServerBuilder::new(api, ApiContext { events }, log).config(config).start();
    server.map_err(|error| ApiError::Start(Box::new(error)))
}

/// Replaces the configuration.
#[endpoint { method = PUT, path = "/v1/config" }]
async fn put_configuration(
    context: RequestContext<ApiContext>,
    body: UntypedBody,
) -> Result<Response<Body>, HttpError> {
    let if_match = match read_if_match(&context) {
        Ok(if_match) => if_match,
        Err(error) => return json_error(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let request = OperatorRequest::Put { if_match, body: body.as_bytes().to_vec() };
    call_driver(context.context(), request).await
}

/// The newest configuration, as it was sent.
#[endpoint { method = GET, path = "/v1/config" }]
async fn get_configuration(context: RequestContext<ApiContext>) -> Result<Response<Body>, HttpError> {
    call_driver(context.context(), OperatorRequest::Get).await
}

/// The version in the `If-Match` header; `None` without that header.
fn read_if_match(context: &RequestContext<ApiContext>) -> Result<Option<u64>, VersionError> {
    let Some(value) = context.request.headers().get(IF_MATCH) else {
        return Ok(None);
    };
    let text = String::from_utf8_lossy(value.as_bytes());
    configuration::parse_if_match(&text).map(Some)
}

/// Sends a request to the driver and waits for the reply, for at most `REPLY_TIMEOUT`.
async fn call_driver(context: &ApiContext, request: OperatorRequest) -> Result<Response<Body>, HttpError> {
    let (sender, receiver) = oneshot::channel();
    let call = OperatorCall { request, reply: sender };
    let reply = async {
        context.events.send(DriverEvent::Operator(call)).await.ok()?;
        receiver.await.ok()
    };
    match timeout(REPLY_TIMEOUT, reply).await {
        Ok(Some(reply)) => respond(reply),
        Ok(None) => respond(OperatorReply::Unavailable),
        Err(_) => respond(OperatorReply::OutcomeUnknown),
    }
}

fn respond(reply: OperatorReply) -> Result<Response<Body>, HttpError> {
    match reply {
        OperatorReply::Accepted => json(Response::builder(), "{}".into()),
        OperatorReply::Body(bytes) => json(Response::builder(), bytes.into()),
        OperatorReply::Conflict { text } => json_error(StatusCode::PRECONDITION_FAILED, &text),
        OperatorReply::Invalid(text) => json_error(StatusCode::BAD_REQUEST, &text),
        OperatorReply::Redirect { control } => {
            let location = format!("http://{control}{CONFIG_PATH}");
            let builder = Response::builder().status(StatusCode::TEMPORARY_REDIRECT);
            json(builder.header(LOCATION, location), "{}".into())
        }
        OperatorReply::Unavailable => {
            json_error(StatusCode::SERVICE_UNAVAILABLE, "no leader is known: send the call again in a second")
        }
        OperatorReply::OutcomeUnknown => json_error(
            StatusCode::SERVICE_UNAVAILABLE,
            "the outcome is not known yet: send the same call again",
        ),
    }
}
