//! Requests of clients and the operator that wait for the commit of their command.

use std::collections::HashMap;

use crate::state::ConfigurationKey;

/// A job ID together with the host and path prefix of the request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct JobName {
    pub(super) id: u64,
    pub(super) prefix_key: String,
}

/// Client requests whose commands are not yet committed, by token.
#[derive(Debug, Default)]
pub(super) struct PendingClients {
    pub(super) submits: HashMap<JobName, Vec<u64>>,
    pub(super) cancels: HashMap<JobName, Vec<u64>>,
    /// Number of tasks of each submitted job that is not yet committed.
    pub(super) submitted_tasks: HashMap<u64, u64>,
}

impl PendingClients {
    pub(super) fn take_submits(&mut self, name: &JobName) -> Vec<u64> {
        self.submitted_tasks.remove(&name.id);
        self.submits.remove(name).unwrap_or_default()
    }

    pub(super) fn take_cancels(&mut self, name: &JobName) -> Vec<u64> {
        self.cancels.remove(name).unwrap_or_default()
    }

    /// Total number of tasks in jobs that are not yet committed.
    pub(super) fn tasks(&self) -> u64 {
        self.submitted_tasks.values().sum()
    }
}

/// Configuration changes that are not yet committed, with the tokens of the requests that wait for each.
#[derive(Debug, Default)]
pub(super) struct PendingConfigurations {
    pub(super) tokens: HashMap<ConfigurationKey, Vec<u64>>,
}
