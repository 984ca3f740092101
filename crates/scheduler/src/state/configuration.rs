//! The operator's configurations: the newest one in full, and digests of those that it replaced.

use std::collections::{HashSet, VecDeque};

use messages::job::PutConfiguration;

use super::change::StateChange;
use super::digest::{ConfigurationDigest, ConfigurationKey};
use super::error::SnapshotError;

/// Number of replaced configurations that are remembered, so that a repeated request for one of them is
/// recognized. A day has hundreds of changes.
const MAX_REPLACED_CONFIGURATIONS: usize = 16_384;

/// An accepted configuration, without its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcceptedConfiguration {
    /// Version of the configuration.
    pub version: u64,
    /// The version on which the operator based the change.
    pub builds_on: u64,
    /// Digest of the body.
    pub digest: ConfigurationDigest,
}

/// A configuration that was replaced by a newer one.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ReplacedConfiguration {
    digest: ConfigurationDigest,
    version: u64,
    builds_on: u64,
}

/// The newest configuration and the record of older ones.
#[derive(Debug, Default, Clone, PartialEq)]
pub(super) struct ConfigurationHistory {
    newest: Option<PutConfiguration>,
    replaced: VecDeque<ReplacedConfiguration>,
    /// Digests of the newest and of all replaced configurations.
    accepted: HashSet<ConfigurationDigest>,
    /// Whether some digests come from a snapshot of format 0.
    has_format_0_digests: bool,
}

impl ConfigurationHistory {
    /// The newest configuration.
    pub(super) fn newest(&self) -> Option<&PutConfiguration> {
        self.newest.as_ref()
    }

    /// All remembered configurations, from oldest to newest.
    pub(super) fn all(&self) -> impl Iterator<Item = AcceptedConfiguration> + '_ {
        let replaced = self.replaced.iter().map(|replaced| AcceptedConfiguration {
            version: replaced.version,
            builds_on: replaced.builds_on,
            digest: replaced.digest,
        });
        let newest = self.newest.iter().map(|newest| AcceptedConfiguration {
            version: newest.version,
            builds_on: newest.builds_on,
            digest: ConfigurationDigest::of(&newest.body),
        });
        replaced.chain(newest)
    }

    /// Version of the newest configuration, 0 if there is none.
    pub(super) fn version(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.version)
    }

    /// Whether a configuration with exactly this body was accepted before, as far as remembered.
    pub(super) fn was_accepted(&self, body: &[u8]) -> bool {
        let known = |digest| self.accepted.contains(&digest);
        known(ConfigurationDigest::of(body))
            || self.has_format_0_digests && known(ConfigurationDigest::format_0_of(body))
    }

    /// Accepts `put` if it is based on the newest version and has a higher version.
    pub(super) fn put(&mut self, put: &PutConfiguration) -> StateChange {
        let key = ConfigurationKey::of(&put.body, put.builds_on);
        let current = self.version();
        if self.was_accepted(&put.body) {
            return StateChange::ConfigurationRepeated { key };
        }
        if put.builds_on != current {
            return StateChange::ConfigurationConflict { key, current };
        }
        if put.version <= current {
            return StateChange::ConfigurationVersionTooLow { key, current };
        }
        self.accept(put.clone(), key.digest);
        StateChange::ConfigurationAccepted { key, version: put.version }
    }

    fn accept(&mut self, put: PutConfiguration, digest: ConfigurationDigest) {
        self.accepted.insert(digest);
        let Some(before) = self.newest.replace(put) else { return };
        let digest = ConfigurationDigest::of(&before.body);
        self.remember_replaced(ReplacedConfiguration {
            digest,
            version: before.version,
            builds_on: before.builds_on,
        });
    }

    fn remember_replaced(&mut self, replaced: ReplacedConfiguration) {
        self.accepted.insert(replaced.digest);
        self.has_format_0_digests |= matches!(replaced.digest, ConfigurationDigest::Fnv(_));
        self.replaced.push_back(replaced);
        if self.replaced.len() <= MAX_REPLACED_CONFIGURATIONS {
            return;
        }
        if let Some(oldest) = self.replaced.pop_front() {
            self.accepted.remove(&oldest.digest);
        }
    }

    /// The configurations for a snapshot: each replaced one with its digest as the body, then the newest
    /// one in full.
    pub(super) fn snapshot(&self) -> Vec<PutConfiguration> {
        let mut configurations = Vec::with_capacity(self.replaced.len() + 1);
        for replaced in &self.replaced {
            configurations.push(PutConfiguration {
                body: replaced.digest.to_bytes(),
                version: replaced.version,
                builds_on: replaced.builds_on,
            });
        }
        configurations.extend(self.newest.clone());
        configurations
    }

    /// Restores the history from the configurations of a snapshot; the inverse of `snapshot`.
    pub(super) fn restore(configurations: &[PutConfiguration]) -> Result<Self, SnapshotError> {
        let mut history = Self::default();
        let Some((newest, replaced)) = configurations.split_last() else { return Ok(history) };
        for put in replaced {
            let digest = ConfigurationDigest::from_bytes(&put.body)
                .ok_or(SnapshotError::InvalidDigest(put.version, put.body.len()))?;
            history.remember_replaced(ReplacedConfiguration {
                digest,
                version: put.version,
                builds_on: put.builds_on,
            });
        }
        history.accept(newest.clone(), ConfigurationDigest::of(&newest.body));
        Ok(history)
    }
}
