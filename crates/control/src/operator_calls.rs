//! Calls to the operator's API that wait for the leader.

use crate::events::{OperatorCall, OperatorReply, OperatorRequest};
use scheduler::leader::{ConfigurationReply, Input};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// Identifies a pending call.
pub type CallToken = u64;

struct PendingCall {
    reply: oneshot::Sender<OperatorReply>,
    is_change: bool,
}

/// Pending calls. The API's own timeout ends each of them at the latest; an answer after that is dropped.
#[derive(Default)]
pub struct OperatorCalls {
    pending: BTreeMap<CallToken, PendingCall>,
    next_token: CallToken,
}

impl OperatorCalls {
    /// Admits a call, which is pending until it is answered. Returns the input for the leader.
    pub fn admit(&mut self, call: OperatorCall) -> Input {
        self.pending.retain(|_, pending| !pending.reply.is_closed());
        self.next_token += 1;
        let token = self.next_token;
        let is_change = matches!(call.request, OperatorRequest::Put { .. });
        self.pending.insert(token, PendingCall { reply: call.reply, is_change });
        match call.request {
            OperatorRequest::Put { if_match, body } => Input::PutConfiguration { token, if_match, body },
            OperatorRequest::Get => Input::ReadConfiguration { token },
        }
    }

    /// Answers a pending call.
    pub fn answer(&mut self, token: CallToken, reply: OperatorReply) {
        if let Some(pending) = self.pending.remove(&token) {
            // Sending fails if the caller has disconnected; the caller then repeats the call.
            let _ = pending.reply.send(reply);
        }
    }

    /// Answers all pending calls because this process has stepped down.
    pub fn fail_pending(&mut self) {
        for (_, pending) in std::mem::take(&mut self.pending) {
            let reply =
                if pending.is_change { OperatorReply::OutcomeUnknown } else { OperatorReply::Unavailable };
            let _ = pending.reply.send(reply);
        }
    }

    /// Whether no call is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Converts the leader's reply to the reply of the API.
pub fn reply_of(reply: ConfigurationReply) -> OperatorReply {
    match reply {
        ConfigurationReply::Accepted => OperatorReply::Accepted,
        ConfigurationReply::Conflict { text } => OperatorReply::Conflict { text },
        ConfigurationReply::Body { body, .. } => OperatorReply::Body(body),
        ConfigurationReply::Invalid { text } => OperatorReply::Invalid(text),
        ConfigurationReply::Unavailable { .. } => OperatorReply::Unavailable,
    }
}
