//! Configuration changes by the operator: validated here and active once committed. Repeating an accepted
//! change is always accepted again.

use std::sync::Arc;

use configuration::{OperatorConfiguration, VersionError};
use messages::job::mod_Command::OneOfkind;
use messages::job::PutConfiguration;

use crate::state::{ConfigurationKey, State};

use super::event_loop::Leader;
use super::interface::{ConfigurationReply, Output};

/// Retry delay for the operator while there is no configuration.
const RETRY_MS: u32 = 500;

impl Leader {
    pub(super) fn put_configuration(
        &mut self,
        state: &State,
        token: u64,
        if_match: Option<u64>,
        body: Vec<u8>,
        out: &mut Vec<Output>,
    ) {
        if let Some(reply) = self.check_configuration(state, token, if_match, body) {
            out.push(Output::ConfigurationReply { token, reply });
        }
    }

    /// Returns the reply to a change, or `None` if the change waits for its commit.
    fn check_configuration(
        &mut self,
        state: &State,
        token: u64,
        if_match: Option<u64>,
        body: Vec<u8>,
    ) -> Option<ConfigurationReply> {
        let key = ConfigurationKey::of(&body, if_match.unwrap_or(0));
        if state.was_configuration_accepted(&body) {
            return Some(ConfigurationReply::Accepted);
        }
        if let Some(tokens) = self.pending_configurations.tokens.get_mut(&key) {
            tokens.push(token);
            return None;
        }
        let configuration = match OperatorConfiguration::read(&body) {
            Ok(configuration) => configuration,
            Err(error) => return Some(ConfigurationReply::Invalid { text: error.to_string() }),
        };
        match configuration.check_against(state.configuration_version(), if_match) {
            Ok(()) => {}
            Err(error @ VersionError::NotCurrent(..)) => {
                return Some(ConfigurationReply::Conflict { text: error.to_string() })
            }
            Err(error) => return Some(ConfigurationReply::Invalid { text: error.to_string() }),
        }
        let put = PutConfiguration { body, version: configuration.version(), builds_on: key.builds_on };
        self.batch.command(OneOfkind::put_configuration(put));
        self.pending_configurations.tokens.insert(key, vec![token]);
        None
    }

    pub(super) fn read_configuration(&self, state: &State, token: u64, out: &mut Vec<Output>) {
        let reply = match state.configuration() {
            Some(newest) => ConfigurationReply::Body { version: newest.version, body: newest.body.clone() },
            None => ConfigurationReply::Unavailable { retry_after_ms: RETRY_MS },
        };
        out.push(Output::ConfigurationReply { token, reply });
    }

    /// Answers all requests that wait for this change.
    pub(super) fn reply_configuration(
        &mut self,
        key: &ConfigurationKey,
        reply: &ConfigurationReply,
        out: &mut Vec<Output>,
    ) {
        for token in self.pending_configurations.tokens.remove(key).unwrap_or_default() {
            out.push(Output::ConfigurationReply { token, reply: reply.clone() });
        }
    }

    /// Activates the newest configuration of the state.
    pub(super) fn load_configuration(&mut self, state: &State) {
        let Some(newest) = state.configuration() else { return };
        // Only bodies that parse are ever proposed.
        let Ok(configuration) = OperatorConfiguration::read(&newest.body) else { return };
        for service in configuration.services() {
            self.service_position(&service.name);
        }
        self.configuration = Some(Arc::new(configuration));
    }
}
