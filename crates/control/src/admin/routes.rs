//! HTTP routes of the administrators' API.

use super::call::{AdminCall, AdminReply, AdminRequest};
use crate::events::DriverEvent;
use crate::http_api::{json, json_error, ApiContext, REPLY_TIMEOUT};
use crate::metrics::text;
use dropshot::{
    endpoint, ApiDescription, ApiDescriptionRegisterError, Body, HttpError, Path, RequestContext,
};
use hyper::header::{CONTENT_TYPE, LOCATION};
use hyper::{Response, StatusCode};
use schemars08::JsonSchema;
use serde::Deserialize;
use tokio::sync::oneshot;
use tokio::time::timeout;

type RouteResult = Result<Response<Body>, HttpError>;

/// The path parameter of a job.
#[derive(Debug, Deserialize, JsonSchema)]
#[schemars(crate = "schemars08")]
struct JobPath {
    /// 16 hex digits.
    id: String,
}

/// Adds the routes to an API.
pub(crate) fn register(api: &mut ApiDescription<ApiContext>) -> Result<(), ApiDescriptionRegisterError> {
    api.register(status)?;
    api.register(workers)?;
    api.register(queues)?;
    api.register(job)?;
    api.register(configuration_history)?;
    api.register(transfer)?;
    api.register(snapshot)?;
    api.register(metrics)
}

/// The state of this process as a member.
#[endpoint { method = GET, path = "/v1/admin/status" }]
async fn status(context: RequestContext<ApiContext>) -> RouteResult {
    call_driver(&context, AdminRequest::Status).await
}

/// All workers and whether they may take starts.
#[endpoint { method = GET, path = "/v1/admin/workers" }]
async fn workers(context: RequestContext<ApiContext>) -> RouteResult {
    call_driver(&context, AdminRequest::Workers).await
}

/// Queues and deficits by service and plan.
#[endpoint { method = GET, path = "/v1/admin/queues" }]
async fn queues(context: RequestContext<ApiContext>) -> RouteResult {
    call_driver(&context, AdminRequest::Queues).await
}

/// One job: its attempts, and what its steps wait for.
#[endpoint { method = GET, path = "/v1/admin/jobs/{id}" }]
async fn job(context: RequestContext<ApiContext>, path: Path<JobPath>) -> RouteResult {
    match configuration::job_id::parse(&path.into_inner().id) {
        Ok(id) => call_driver(&context, AdminRequest::Job { id }).await,
        Err(error) => json_error(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

/// The accepted configurations.
#[endpoint { method = GET, path = "/v1/admin/config/history" }]
async fn configuration_history(context: RequestContext<ApiContext>) -> RouteResult {
    call_driver(&context, AdminRequest::ConfigurationHistory).await
}

/// Transfers leadership.
#[endpoint { method = POST, path = "/v1/admin/transfer" }]
async fn transfer(context: RequestContext<ApiContext>) -> RouteResult {
    call_driver(&context, AdminRequest::Transfer).await
}

/// Takes a snapshot now.
#[endpoint { method = POST, path = "/v1/admin/snapshot" }]
async fn snapshot(context: RequestContext<ApiContext>) -> RouteResult {
    call_driver(&context, AdminRequest::Snapshot).await
}

/// The metrics of this process.
#[endpoint { method = GET, path = "/v1/admin/metrics" }]
async fn metrics(context: RequestContext<ApiContext>) -> RouteResult {
    call_driver(&context, AdminRequest::Metrics).await
}

async fn call_driver(context: &RequestContext<ApiContext>, request: AdminRequest) -> RouteResult {
    let (sender, receiver) = oneshot::channel();
    let event = DriverEvent::Admin(AdminCall { request, reply: sender });
    let reply = async {
        context.context().events.send(event).await.ok()?;
        receiver.await.ok()
    };
    match timeout(REPLY_TIMEOUT, reply).await {
        Ok(reply) => respond(reply.unwrap_or(AdminReply::Unavailable), context.request.uri().path()),
        Err(_) => json_error(
            StatusCode::GATEWAY_TIMEOUT,
            "the process is too busy to answer in time, and may still do what was asked: look before asking again",
        ),
    }
}

fn respond(reply: AdminReply, path: &str) -> RouteResult {
    match reply {
        AdminReply::Document(bytes) => json(Response::builder(), bytes.into()),
        AdminReply::Metrics(text) => {
            Ok(Response::builder().header(CONTENT_TYPE, text::CONTENT_TYPE).body(text.into())?)
        }
        AdminReply::Redirect { control } => {
            let builder = Response::builder().status(StatusCode::TEMPORARY_REDIRECT);
            json(builder.header(LOCATION, format!("http://{control}{path}")), "{}".into())
        }
        AdminReply::Unavailable => {
            let text = "no leader can confirm that it leads: ask again in a second, or see /v1/admin/status";
            json_error(StatusCode::SERVICE_UNAVAILABLE, text)
        }
        AdminReply::NotFound(text) => json_error(StatusCode::NOT_FOUND, &text),
        AdminReply::Rejected(text) => json_error(StatusCode::CONFLICT, &text),
    }
}
