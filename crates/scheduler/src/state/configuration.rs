//! The operator's configuration: the newest in full, and digests of those accepted before.

use std::collections::{HashSet, VecDeque};

use messages::job::PutConfiguration;

use super::change::StateChange;
use super::digest::{ConfigurationDigest, ConfigurationKey};
use super::error::SnapshotError;

/// Replaced configurations whose repetition is still recognized. A day holds hundreds of changes.
const MAX_DIGESTS: usize = 16_384;

/// A configuration that was accepted, without its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcceptedConfiguration {
    /// Its version.
    pub version: u64,
    /// The version that the operator built on.
    pub builds_on: u64,
    /// Digest of its body.
    pub digest: ConfigurationDigest,
}

/// A configuration that was replaced by a newer one.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ReplacedConfiguration {
    digest: ConfigurationDigest,
    version: u64,
    builds_on: u64,
}

/// The newest configuration and what is known of older ones.
#[derive(Debug, Default, Clone, PartialEq)]
pub(super) struct ConfigurationHistory {
    newest: Option<PutConfiguration>,
    replaced: VecDeque<ReplacedConfiguration>,
    /// Digests of the newest and the replaced ones.
    accepted: HashSet<ConfigurationDigest>,
    /// Some digests come from a snapshot of format 0.
    has_format_0_digests: bool,
}

impl ConfigurationHistory {
    /// The newest configuration.
    pub(super) fn newest(&self) -> Option<&PutConfiguration> {
        self.newest.as_ref()
    }

    /// All that are remembered, the oldest first and the newest last.
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

    /// The newest version, 0 while there is none.
    pub(super) fn version(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.version)
    }

    /// Whether exactly this body was ever accepted.
    pub(super) fn was_accepted(&self, body: &[u8]) -> bool {
        let known = |digest| self.accepted.contains(&digest);
        known(ConfigurationDigest::of(body))
            || self.has_format_0_digests && known(ConfigurationDigest::format_0_of(body))
    }

    /// Accepts `put` if it builds on the newest version and is above it.
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
        self.keep(ReplacedConfiguration { digest, version: before.version, builds_on: before.builds_on });
    }

    fn keep(&mut self, replaced: ReplacedConfiguration) {
        self.accepted.insert(replaced.digest);
        self.has_format_0_digests |= matches!(replaced.digest, ConfigurationDigest::Fnv(_));
        self.replaced.push_back(replaced);
        if self.replaced.len() <= MAX_DIGESTS {
            return;
        }
        if let Some(oldest) = self.replaced.pop_front() {
            self.accepted.remove(&oldest.digest);
        }
    }

    /// Replaced configurations with their digest as body, then the newest in full.
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

    /// The inverse of `snapshot`.
    pub(super) fn restore(configurations: &[PutConfiguration]) -> Result<Self, SnapshotError> {
        let mut history = Self::default();
        let Some((newest, replaced)) = configurations.split_last() else { return Ok(history) };
        for put in replaced {
            let digest = ConfigurationDigest::from_bytes(&put.body)
                .ok_or(SnapshotError::InvalidDigest(put.version, put.body.len()))?;
            history.keep(ReplacedConfiguration { digest, version: put.version, builds_on: put.builds_on });
        }
        history.accept(newest.clone(), ConfigurationDigest::of(&newest.body));
        Ok(history)
    }
}
