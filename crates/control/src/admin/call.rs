//! Calls to the administrators' API and the replies to them.

use tokio::sync::oneshot;

/// A call of an administrator, pending until its reply is sent.
#[derive(Debug)]
pub struct AdminCall {
    /// The request.
    pub request: AdminRequest,
    /// Where the reply is sent.
    pub reply: oneshot::Sender<AdminReply>,
}

/// A request of an administrator. Only the leader reports on the group and its jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdminRequest {
    /// The state of this process as a member.
    Status,
    /// All workers; leader only.
    Workers,
    /// Queues and deficits; leader only.
    Queues,
    /// One job; leader only.
    Job {
        /// Identity of the job.
        id: u64,
    },
    /// The accepted configurations; leader only.
    ConfigurationHistory,
    /// Transfer leadership; leader only.
    Transfer,
    /// Take a snapshot of this process now.
    Snapshot,
    /// The metrics of this process.
    Metrics,
}

/// The reply to an administrator.
#[derive(Debug, PartialEq, Eq)]
pub enum AdminReply {
    /// A JSON document of crate `admin`.
    Document(Vec<u8>),
    /// Metrics in the OpenMetrics format.
    Metrics(String),
    /// Another process leads.
    Redirect {
        /// The leader's `Control` address.
        control: String,
    },
    /// No leader is known, or the leader cannot confirm that it leads.
    Unavailable,
    /// The requested item does not exist; the text says what to do.
    NotFound(String),
    /// The request cannot be executed now; the text says what to do.
    Rejected(String),
}
